// The program cranberrydock: reads its settings, runs a daemon until it is told to stop.
#include <cranberrydock/base/log.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/daemon/daemon.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

DEFINE_string(settings, "", "the TOML file with this daemon's settings (docs/OPERATING.md)");
DEFINE_string(log, "", "log level, in place of the settings' own");

namespace {

using namespace cranberrydock;

constexpr int usage_error = 2;
constexpr int start_failed = 1;

int run(const config::daemon_settings& settings, const std::string& secret) {
    net::event_loop loop;
    daemon::daemon one(loop, settings, secret);
    const auto terminate = loop.on_signal(SIGTERM, [&] { one.stop(); });
    const auto interrupt = loop.on_signal(SIGINT, [&] { one.stop(); });
    std::printf("listening %s\n", one.http_address().text().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "runs one daemon of a cranberrydock cluster\n  cranberrydock --settings=FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::fprintf(stderr,
                     "cranberrydock: expected --settings=FILE, found none; etc/ has examples\n");
        return usage_error;
    }
    const auto settings = config::read_settings_file(FLAGS_settings);
    if (!settings) {
        std::fprintf(stderr, "%s", settings.error().text().c_str());
        return usage_error;
    }
    const auto secret = config::load_mesh_secret(settings->mesh);
    const bool needs_secret = settings->platform.kind == config::platform_kind::http;
    if (!secret && needs_secret) {
        std::fprintf(stderr, "%s", secret.error().text().c_str());
        return usage_error;
    }
    base::start_log("cranberrydock", FLAGS_log.empty() ? settings->log.level : FLAGS_log);
    try {
        return run(*settings, secret ? *secret : std::string{});
    } catch (const std::exception& error) {
        spdlog::critical("event=start_failed error=\"{}\"", error.what());
        return start_failed;
    }
}
