// The settings of one daemon: everything that the process needs before it can connect to the
// cluster. They are read once, at start, from a TOML file, and validated together. Values that may
// change while the cluster runs belong to the configuration instead (configuration.hpp).
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace cranberrydock::config {

// [identity]: all keys are required.
struct identity_settings {
    base::vm_id vm;  // name of the VM that this daemon runs on, as in the member list
    base::region_name region;
    base::zone_name zone;
};

// [listen]: all keys are required. Port 0 selects a free port.
struct listen_settings {
    net::endpoint http;  // for callers and operators
    net::endpoint mesh;  // for other daemons
};

enum class platform_kind {
    http,    // the platform's HTTP service
    memory,  // a platform inside this process, for trials; its state is lost at exit
};

// [platform]
struct platform_settings {
    platform_kind kind = platform_kind::http;
    net::endpoint address;  // required if kind is http
    // The worker VMs in the member list if kind is memory, all in the daemon's own availability
    // zone. Set on the command line only.
    std::vector<net::endpoint> workers;
};

// [mesh]. Invariant: heartbeat * 2 <= silence_deadline <= ownership.lease.
struct mesh_link_settings {
    // The shared secret, or the file that contains it: exactly one of them must be set. The
    // platform kind memory needs neither.
    std::string secret;
    std::string secret_file;  // read by load_mesh_secret()
    base::milliseconds heartbeat{500};
    base::milliseconds silence_deadline{2'000};  // a link without messages this long is reopened
    // Reduce the heartbeat traffic of a large fleet; see mesh::mesh_settings. near_peers 0: every
    // link has heartbeats at the full rate. usage_period 0: usage is sent with the first heartbeat
    // after it changes.
    std::size_t near_peers = 0;
    base::milliseconds far_period{30'000};
    base::milliseconds usage_period{0};
};

// [ownership]; see cell::ownership_settings. Invariant: renew + safety_margin < lease,
// scan < lease and rank_delay < lease.
struct lease_settings {
    base::milliseconds renew{1'000};
    base::milliseconds lease{3'000};
    base::milliseconds scan{500};
    base::milliseconds safety_margin{500};
    base::milliseconds rank_delay{300};
};

// [limits]: limits on the HTTP requests of callers.
struct request_limits {
    base::byte_count max_body{8 * 1024 * 1024};
    base::byte_count max_headers{16 * 1024};
    base::seconds slow_sender_timeout{30};
    std::size_t max_open_requests = 10'000;
};

// [vm]: task leases. Invariant: watch + command_timeout < lease, so that a lost watch command can
// be repeated before the leases expire.
struct vm_link_settings {
    base::milliseconds lease{10'000};
    base::milliseconds watch{1'000};  // longest time that a VM may hold one watch command
    base::milliseconds command_timeout{2'000};
    int drift_percent = 5;  // maximum difference in speed between the clocks of VM and daemon
    // How long an owner that can no longer prove its ownership still renews the leases of running
    // tasks. For the same time a new owner counts tasks that may run on a VM as running, if the VM
    // has not reported to it yet.
    base::milliseconds unproven_renewal{120'000};
    // How long work that may not be repeated waits for the report of an unresponsive VM before its
    // outcome is unknown.
    base::milliseconds unknown_wait{30'000};
};

// [configuration]. Invariant: poll < freshness.
struct configuration_settings {
    // Work with a key is refused if the last proof that the version in force was the newest is
    // older than this.
    base::milliseconds freshness{5'000};
    base::milliseconds poll{2'000};  // interval between reads of the newest version's number
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

// Minimum length of the shared mesh secret, in characters.
constexpr std::size_t min_secret_length = 16;

// Parses and validates the text of a settings file. On failure returns every fault as a finding,
// with the place "FILE:LINE TABLE.KEY".
tl::expected<daemon_settings, base::findings> read_settings(const std::string& text,
                                                            const std::string& file_name);

// Reads the file and passes its text to read_settings().
tl::expected<daemon_settings, base::findings> read_settings_file(const std::string& path);

// Returns the secret, from `secret` or from the file `secret_file`. One newline at the end of the
// file is not part of the secret.
tl::expected<std::string, base::findings> load_mesh_secret(const mesh_link_settings& settings);

}  // namespace cranberrydock::config
