// Reads a settings file: each table key by key, then the constraints between settings.
#include <cranberrydock/config/json_reader.hpp>
#include <cranberrydock/config/settings.hpp>

#include "settings_reader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

namespace cranberrydock::config {
namespace {

using detail::table_reader;

constexpr std::int64_t highest_ms = 600'000;
constexpr std::int64_t highest_bytes = std::int64_t{1} << 30U;
constexpr std::int64_t highest_open_requests = 1'000'000;
constexpr std::int64_t highest_drift_percent = 50;
constexpr std::int64_t highest_near_peers = 1'000;

const std::vector<std::string> table_names = {
    "identity", "listen", "platform", "mesh", "ownership", "limits", "vm", "configuration", "log"};

// A duration from the settings, with the name that messages use for it.
struct named_duration {
    std::string key;
    base::milliseconds value;
};

// For example "ownership.lease_ms (3000 ms)".
std::string text_of(const named_duration& limit) {
    return limit.key + " (" + std::to_string(limit.value.count()) + " ms)";
}

class settings_file_reader {
public:
    settings_file_reader(const toml::table& root, std::string file_name, base::findings& found)
        : root_(root), file_name_(std::move(file_name)), findings_(found) {}

    daemon_settings read() {
        report_unknown_tables();
        daemon_settings out;
        read_identity(out.identity);
        read_listen(out.listen);
        read_platform(out.platform);
        read_mesh(out.mesh, out.platform.kind);
        read_ownership(out.ownership);
        read_limits(out.limits);
        read_vm(out.vm);
        read_configuration(out.configuration);
        read_log(out.log);
        check_across_tables(out);
        return out;
    }

private:
    table_reader open_table(const std::string& name) const {
        const toml::node* const node = root_.get(name);
        return {file_name_, name, node == nullptr ? nullptr : node->as_table(), findings_};
    }

    void report_unknown_tables() {
        std::string expected;
        for (const auto& it : table_names) {
            expected += (expected.empty() ? "one of the tables [" : ", [") + it + "]";
        }
        for (const auto& it : root_) {
            const std::string name(it.first.str());
            const std::string place = detail::place_of(file_name_, it.first.source()) + " " + name;
            const bool known =
                std::find(table_names.begin(), table_names.end(), name) != table_names.end();
            if (!known) {
                findings_.add({place, expected,
                               it.second.is_table() ? "an unknown table" : "a key outside of them",
                               detail::spelling_hint(name, table_names)});
            } else if (!it.second.is_table()) {
                // Don't show the value: it may be the mesh secret.
                findings_.add({place, "the table [" + name + "]", "a value", ""});
            }
        }
    }

    static void read_duration(table_reader& from, const std::string& key,
                              base::milliseconds& target) {
        target = base::milliseconds(
            from.integer(key, {1, highest_ms, "milliseconds"}).value_or(target.count()));
    }

    static void require_less(table_reader& reader, const named_duration& smaller,
                             const named_duration& larger) {
        if (smaller.value >= larger.value) {
            reader.add_finding(smaller.key, "less than " + text_of(larger),
                               std::to_string(smaller.value.count()) + " ms",
                               "lower it, or raise " + larger.key);
        }
    }

    void read_identity(identity_settings& out) {
        auto reader = open_table("identity");
        out.vm = base::vm_id(reader.required_name("vm", "the name of this VM in the member list"));
        out.region = base::region_name(reader.required_name("region", "this VM's region"));
        out.zone = base::zone_name(reader.required_name("zone", "this VM's availability zone"));
        reader.report_unknown_keys();
    }

    void read_listen(listen_settings& out) {
        auto reader = open_table("listen");
        out.http = reader.required_endpoint("http", "\"ADDRESS:PORT\" for callers and operators");
        out.mesh = reader.required_endpoint("mesh", "\"ADDRESS:PORT\" for other daemons");
        if (out.http.port != 0 && out.http == out.mesh) {
            reader.add_finding("mesh", "another address or port than listen.http",
                               "'" + out.mesh.text() + "' for both",
                               "give one of them another port");
        }
        reader.report_unknown_keys();
    }

    void read_platform(platform_settings& out) {
        auto reader = open_table("platform");
        if (reader.choice("kind", {"http", "memory"}).value_or("http") == "memory") {
            out.kind = platform_kind::memory;
            out.address = reader.endpoint("address").value_or(net::endpoint{});
        } else {
            out.address = reader.required_endpoint("address", "\"ADDRESS:PORT\" of the platform");
        }
        reader.report_unknown_keys();
    }

    void read_mesh(mesh_link_settings& out, platform_kind platform) {
        auto reader = open_table("mesh");
        out.secret = reader.text("secret").value_or("");
        out.secret_file = reader.text("secret_file").value_or("");
        if (reader.has("secret") && reader.has("secret_file")) {
            reader.add_finding("secret", "either secret or secret_file", "both",
                               "remove one of them");
        } else if (reader.has("secret") && out.secret.size() < min_secret_length) {
            reader.add_finding("secret",
                               "at least " + std::to_string(min_secret_length) + " characters",
                               std::to_string(out.secret.size()),
                               "take a random one; it must be the same for every daemon");
        } else if (!reader.has("secret") && !reader.has("secret_file") &&
                   platform == platform_kind::http) {
            reader.add_finding("secret", "secret or secret_file", "neither",
                               "daemons authenticate each other with a shared secret");
        }
        read_duration(reader, "heartbeat_ms", out.heartbeat);
        read_duration(reader, "silence_deadline_ms", out.silence_deadline);
        out.near_peers = static_cast<std::size_t>(
            reader.integer("near_peers", {0, highest_near_peers, "daemons"})
                .value_or(static_cast<std::int64_t>(out.near_peers)));
        read_duration(reader, "far_period_ms", out.far_period);
        read_duration(reader, "usage_period_ms", out.usage_period);
        if (out.silence_deadline < 2 * out.heartbeat) {
            reader.add_finding("silence_deadline_ms",
                               "at least twice " + text_of({"mesh.heartbeat_ms", out.heartbeat}),
                               std::to_string(out.silence_deadline.count()) + " ms",
                               "one lost heartbeat must not make a link count as unresponsive");
        }
        reader.report_unknown_keys();
    }

    void read_ownership(lease_settings& out) {
        auto reader = open_table("ownership");
        read_duration(reader, "renew_ms", out.renew);
        read_duration(reader, "lease_ms", out.lease);
        read_duration(reader, "scan_ms", out.scan);
        read_duration(reader, "safety_margin_ms", out.safety_margin);
        read_duration(reader, "rank_delay_ms", out.rank_delay);
        const base::milliseconds lower_bound = out.renew + out.safety_margin;
        if (out.lease <= lower_bound) {
            reader.add_finding("lease_ms",
                               "more than renew_ms + safety_margin_ms (" +
                                   std::to_string(lower_bound.count()) + " ms)",
                               std::to_string(out.lease.count()) + " ms",
                               "an owner must be able to renew before it stops placing");
        }
        require_less(reader, {"scan_ms", out.scan}, {"ownership.lease_ms", out.lease});
        require_less(reader, {"rank_delay_ms", out.rank_delay}, {"ownership.lease_ms", out.lease});
        reader.report_unknown_keys();
    }

    void read_limits(request_limits& out) {
        auto reader = open_table("limits");
        out.max_body =
            base::byte_count(reader.integer("max_body_bytes", {1'024, highest_bytes, "bytes"})
                                 .value_or(out.max_body.value()));
        out.max_headers =
            base::byte_count(reader.integer("max_headers_bytes", {1'024, highest_bytes, "bytes"})
                                 .value_or(out.max_headers.value()));
        out.slow_sender_timeout =
            base::seconds(reader.integer("slow_sender_timeout_s", {1, 3'600, "seconds"})
                              .value_or(out.slow_sender_timeout.count()));
        out.max_open_requests = static_cast<std::size_t>(
            reader.integer("max_open_requests", {1, highest_open_requests, "requests"})
                .value_or(static_cast<std::int64_t>(out.max_open_requests)));
        reader.report_unknown_keys();
    }

    void read_vm(vm_link_settings& out) {
        auto reader = open_table("vm");
        read_duration(reader, "lease_ms", out.lease);
        read_duration(reader, "watch_ms", out.watch);
        read_duration(reader, "command_timeout_ms", out.command_timeout);
        read_duration(reader, "unproven_renewal_ms", out.unproven_renewal);
        read_duration(reader, "unknown_wait_ms", out.unknown_wait);
        out.drift_percent =
            static_cast<int>(reader.integer("drift_percent", {0, highest_drift_percent, "percent"})
                                 .value_or(out.drift_percent));
        const base::milliseconds lower_bound = out.watch + out.command_timeout;
        if (out.lease <= lower_bound) {
            reader.add_finding("lease_ms",
                               "more than watch_ms + command_timeout_ms (" +
                                   std::to_string(lower_bound.count()) + " ms)",
                               std::to_string(out.lease.count()) + " ms",
                               "a lost watch must be repeated before task leases lapse");
        }
        reader.report_unknown_keys();
    }

    void read_configuration(configuration_settings& out) {
        auto reader = open_table("configuration");
        read_duration(reader, "freshness_ms", out.freshness);
        read_duration(reader, "poll_ms", out.poll);
        require_less(reader, {"poll_ms", out.poll}, {"configuration.freshness_ms", out.freshness});
        reader.report_unknown_keys();
    }

    void read_log(log_settings& out) {
        auto reader = open_table("log");
        out.level = reader.choice("level", {"trace", "debug", "info", "warn", "error", "off"})
                        .value_or(out.level);
        reader.report_unknown_keys();
    }

    void check_across_tables(const daemon_settings& all_settings) {
        auto mesh_reader = open_table("mesh");
        if (all_settings.mesh.silence_deadline > all_settings.ownership.lease) {
            mesh_reader.add_finding(
                "silence_deadline_ms",
                "at most " + text_of({"ownership.lease_ms", all_settings.ownership.lease}),
                std::to_string(all_settings.mesh.silence_deadline.count()) + " ms",
                "a silent owner must be noticed by the end of its lease");
        }
        require_less(mesh_reader, {"heartbeat_ms", all_settings.mesh.heartbeat},
                     {"configuration.freshness_ms", all_settings.configuration.freshness});
    }

    const toml::table& root_;
    std::string file_name_;
    base::findings& findings_;
};

tl::unexpected<base::findings> single_finding(base::finding fault) {
    base::findings out;
    out.add(std::move(fault));
    return tl::unexpected(std::move(out));
}

}  // namespace

tl::expected<daemon_settings, base::findings> read_settings(const std::string& text,
                                                            const std::string& file_name) {
    toml::table root;
    try {
        root = toml::parse(text, file_name);
    } catch (const toml::parse_error& e) {
        return single_finding({detail::place_of(file_name, e.source()), "TOML 1.0",
                               std::string(e.description()), "correct the syntax at this line"});
    }
    base::findings found;
    daemon_settings out = settings_file_reader(root, file_name, found).read();
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    return out;
}

tl::expected<daemon_settings, base::findings> read_settings_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in) {
        return single_finding(
            {path, "a readable settings file", "none", "check path and permissions"});
    }
    return read_settings(text, path);
}

tl::expected<std::string, base::findings> load_mesh_secret(const mesh_link_settings& settings) {
    if (settings.secret_file.empty()) {
        return settings.secret;
    }
    std::ifstream in(settings.secret_file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in) {
        return single_finding({settings.secret_file, "a readable file with the shared secret",
                               "none", "check mesh.secret_file and the file's permissions"});
    }
    if (!text.empty() && text.back() == '\n') {
        text.pop_back();
    }
    if (text.size() < min_secret_length) {
        return single_finding({settings.secret_file,
                               "at least " + std::to_string(min_secret_length) + " characters",
                               std::to_string(text.size()), "take a random one"});
    }
    return text;
}

}  // namespace cranberrydock::config
