// The program cranberrydock: reads its settings and runs a daemon until a signal stops it.
#include <cranberrydock/base/log.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/daemon/daemon.hpp>
#include <cranberrydock/daemon/fleet_member.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>

DEFINE_string(settings, "", "the TOML file with this daemon's settings (docs/OPERATIONS.md)");
DEFINE_string(log, "", "log level; overrides the level of the settings");
DEFINE_string(
    platform, "",
    "memory: a single process without a platform, for trials; shared: a member of a fleet "
    "on the users' platform, which writes the settings");
DEFINE_string(listen, "127.0.0.1:8080",
              "with --platform=memory: the ADDRESS:PORT to listen on for callers");
DEFINE_string(workers, "",
              "with --platform=memory: ADDRESS:PORT of each worker VM, separated by commas");
DEFINE_bool(refuse_overloaded, false,
            "with --platform=shared: as the owner of the fleet, have the entries refuse new jobs "
            "of queues that are not expected to serve them in time");

namespace {

using namespace cranberrydock;

constexpr int exit_usage = 2;
constexpr int exit_start_failed = 1;

// The settings of a daemon without a platform; its region and zone are named "local".
config::daemon_settings memory_settings() {
    config::daemon_settings out;
    out.identity = {base::vm_id("local"), base::region_name("local"), base::zone_name("local")};
    out.listen.http = net::parse_endpoint(FLAGS_listen);
    out.listen.mesh = {out.listen.http.address, 0};
    out.platform.kind = config::platform_kind::memory;
    std::istringstream list(FLAGS_workers);
    for (std::string it; std::getline(list, it, ',');) {
        out.platform.workers.push_back(net::parse_endpoint(it));
    }
    return out;
}

// Whether --listen and --workers were valid.
bool is_usable(const config::daemon_settings& settings) {
    const auto& workers = settings.platform.workers;
    return !settings.listen.http.address.empty() &&
           std::none_of(workers.begin(), workers.end(),
                        [](const net::endpoint& it) { return it.port == 0; });
}

// Reads the settings file and the mesh secret that it names. Prints every fault of them.
bool read_settings_and_secret(config::daemon_settings& settings, std::string& secret) {
    const auto read = config::read_settings_file(FLAGS_settings);
    if (!read) {
        std::fprintf(stderr, "%s", read.error().text().c_str());
        return false;
    }
    settings = *read;
    const auto mesh_secret = config::load_mesh_secret(settings.mesh);
    if (mesh_secret) {
        secret = *mesh_secret;
        return true;
    }
    if (settings.platform.kind == config::platform_kind::memory) {
        return true;
    }
    std::fprintf(stderr, "%s", mesh_secret.error().text().c_str());
    return false;
}

int run(const config::daemon_settings& settings, const std::string& secret) {
    net::event_loop loop;
    daemon::daemon member(loop, settings, secret);
    const auto terminate = loop.on_signal(SIGTERM, [&] { member.stop(); });
    const auto interrupt = loop.on_signal(SIGINT, [&] { member.stop(); });
    std::printf("listening %s\n", member.http_address().text().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}

// Reads the settings file that the platform has written and runs a member of the fleet.
int run_on_shared_platform() {
    net::block_signals({SIGHUP});
    const char* const path = std::getenv(shared_platform::settings_path_variable);
    if (path == nullptr) {
        std::fprintf(stderr, "cranberrydock: expected the settings file's path in %s\n",
                     shared_platform::settings_path_variable);
        return exit_usage;
    }
    std::ifstream in(path);
    std::stringstream buf;
    buf << in.rdbuf();
    const auto settings = shared_platform::read_site_settings(buf.str());
    if (!settings) {
        std::fprintf(stderr, "%s: %s", path, settings.error().text().c_str());
        return exit_usage;
    }
    base::init_async_log(settings->vm_name, FLAGS_log.empty() ? "info" : FLAGS_log);
    try {
        return daemon::run_fleet_member(*settings, path, FLAGS_refuse_overloaded);
    } catch (const std::exception& error) {
        spdlog::critical("event=start_failed error=\"{}\"", error.what());
        return exit_start_failed;
    }
}

}  // namespace

int main(int argc, char** argv) {
    net::block_signals({SIGTERM, SIGINT});
    gflags::SetUsageMessage(
        "runs one daemon of a cranberrydock cluster\n  cranberrydock --settings=FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_platform == "shared" && FLAGS_settings.empty()) {
        return run_on_shared_platform();
    }
    config::daemon_settings settings;
    std::string secret;
    if (FLAGS_platform == "memory" && FLAGS_settings.empty()) {
        settings = memory_settings();
        if (!is_usable(settings)) {
            std::fprintf(stderr,
                         "cranberrydock: expected --listen and --workers as ADDRESS:PORT\n");
            return exit_usage;
        }
    } else if (FLAGS_settings.empty() || !FLAGS_platform.empty()) {
        std::fprintf(stderr,
                     "cranberrydock: expected --settings=FILE or --platform=memory, and not both; "
                     "etc/ has examples\n");
        return exit_usage;
    } else if (!read_settings_and_secret(settings, secret)) {
        return exit_usage;
    }
    base::init_log("cranberrydock", FLAGS_log.empty() ? settings.log.level : FLAGS_log);
    try {
        return run(settings, secret);
    } catch (const std::exception& error) {
        spdlog::critical("event=start_failed error=\"{}\"", error.what());
        return exit_start_failed;
    }
}
