// One daemon's settings: what a process must know before it can reach anything. They are read once,
// at start, from a TOML file, and checked as a whole. What may change while the cluster runs is in
// the configuration instead.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace cranberrydock::config {

// [identity]: all required.
struct identity_settings {
    base::vm_id vm;  // the VM that this daemon runs on, as the member list names it
    base::region_name region;
    base::zone_name zone;
};

// [listen]: required. Port 0 takes a free one.
struct listen_settings {
    net::endpoint http;  // callers and operators
    net::endpoint mesh;  // other daemons
};

enum class platform_kind {
    http,    // the platform's service
    memory,  // everything in this process, for trying out; nothing outlives it
};

// [platform]
struct platform_settings {
    platform_kind kind = platform_kind::http;
    net::endpoint address;  // required for kind http
    // Of kind memory: the worker VMs that its member list holds, all in the daemon's own zone.
    // Given on the command line only.
    std::vector<net::endpoint> workers;
};

// [mesh]. Invariant: heartbeat * 2 <= silence_deadline <= ownership lease.
struct mesh_link_settings {
    // One of the two; none is needed for the platform kind memory.
    std::string secret;
    std::string secret_file;  // read by load_mesh_secret()
    base::milliseconds heartbeat{500};
    base::milliseconds silence_deadline{2'000};
    // See mesh::mesh_settings: a large fleet paces its links. 0: every link has heartbeats at the
    // full rate, and usage goes with the first heartbeat after it changes.
    std::size_t near_peers = 0;
    base::milliseconds far_period{30'000};
    base::milliseconds usage_period{0};
};

// [ownership]: see cell::ownership_settings. Invariant: renew + safety_margin < lease, and scan and
// rank_delay are shorter than the lease.
struct lease_settings {
    base::milliseconds renew{1'000};
    base::milliseconds lease{3'000};
    base::milliseconds scan{500};
    base::milliseconds safety_margin{500};
    base::milliseconds rank_delay{300};
};

// [limits] on what callers may send.
struct request_limits {
    base::byte_count max_body{8 * 1024 * 1024};
    base::byte_count max_headers{16 * 1024};
    base::seconds slow_sender_timeout{30};
    std::size_t max_open_requests = 10'000;
};

// [vm]: task leases. Invariant: watch + command_timeout < lease, so that a lost watch can be
// repeated before leases lapse.
struct vm_link_settings {
    base::milliseconds lease{10'000};
    base::milliseconds watch{1'000};  // the longest wait of one watch command
    base::milliseconds command_timeout{2'000};
    int drift_percent = 5;  // by which a VM's clock may differ in speed
    // How long an owner that can't show its ownership any more still renews running tasks' leases;
    // a new owner counts what may run on a VM that it has not heard as running for as long.
    base::milliseconds unproven_renewal{120'000};
    // How long work that may not be repeated waits for its silent VM to tell what became of it.
    base::milliseconds unknown_wait{30'000};
};

// [configuration]. Invariant: poll < freshness.
struct configuration_settings {
    // Keyed work is refused when the version in force can't be shown to be this young.
    base::milliseconds freshness{5'000};
    base::milliseconds poll{2'000};
};

// [log]
struct log_settings {
    std::string level = "info";  // trace, debug, info, warn, error or off
};

struct daemon_settings {
    identity_settings identity;
    listen_settings listen;
    platform_settings platform;
    mesh_link_settings mesh;
    lease_settings ownership;
    request_limits limits;
    vm_link_settings vm;
    configuration_settings configuration;
    log_settings log;
};

// The shortest secret that daemons may share, in characters.
constexpr std::size_t min_secret_length = 16;

// Reads and checks a settings file's text. Each finding's place is "FILE:LINE TABLE.KEY".
tl::expected<daemon_settings, base::findings> read_settings(const std::string& text,
                                                            const std::string& file_name);

// Reads the file, then as above.
tl::expected<daemon_settings, base::findings> read_settings_file(const std::string& path);

// The secret itself, from wherever `settings` has it; one newline at the file's end is left out.
tl::expected<std::string, base::findings> load_mesh_secret(const mesh_link_settings& settings);

}  // namespace cranberrydock::config
