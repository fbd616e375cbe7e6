// A daemon on the users' shared platform.
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/daemon/fleet_member.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/net/listener_probe.hpp>
#include <cranberrydock/shared_platform/ports.hpp>
#include <cranberrydock/shared_platform/rows.hpp>
#include <cranberrydock/shared_platform/store_calls.hpp>
#include <cranberrydock/shared_platform/vm_calls.hpp>
#include <cranberrydock/steward/daemon.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>

namespace cranberrydock::daemon {
namespace {

// A VM takes 64 connections; several orders to one VM are under way at once in a burst.
constexpr net::http_client_limits connection_limits{8, base::milliseconds{20'000}, false};
// Late news of the store means decisions on old knowledge.
constexpr net::http_client_limits store_connection_limits{8, base::milliseconds{20'000}, true};
// Of the longest lease, what a renewal gives: shorter leases let lost work start again sooner, and
// longer ones outlive a change of owners.
constexpr double lease_share = 0.75;
// Lasting work on a VM that has fallen silent is started again when its lease has lapsed.
constexpr base::milliseconds most_lease{5'500};
// Of the time that VMs wait for a gang to be complete; the rest is for stopping it.
constexpr double gang_share = 0.6;
// From a decision to a start at the VM, relayed and repeated.
constexpr base::milliseconds start_takes{1'000};
constexpr base::milliseconds longest_drain{3'000};
// Of the time between SIGTERM and SIGKILL: serving on, and waiting for the last answers.
constexpr double drain_share = 0.6;
constexpr double wait_share = 0.3;
constexpr base::milliseconds answer_poll{50};
constexpr base::milliseconds ended_margin{30'000};
// More parts than this carry no more, for the owner has to write to all of them.
constexpr std::size_t most_job_parts = 8;

base::milliseconds share_of(base::milliseconds whole, double share) {
    return base::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

std::string name_of_this_run() {
    return std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

steward::daemon_settings daemon_settings_of(const shared_platform::site_settings& site) {
    steward::daemon_settings out;
    out.vm_name = site.vm_name;
    out.run = name_of_this_run();
    out.peers = site.peers;
    out.zone = fleet::zone_name(site.zone);
    for (const auto& it : site.region_zones) {
        out.region_zones.insert(fleet::zone_name(it));
    }
    out.strength = site.cores;
    // As many as the store can write to at its full rate: while it is slow, that is what counts.
    out.job_parts = std::clamp<std::size_t>(
        site.store_writes_per_s / std::max<std::size_t>(1, site.part_writes_per_s), 1,
        most_job_parts);
    out.drain = std::min(longest_drain, share_of(site.stop_grace, drain_share));
    out.owner.session.longest_lease = site.longest_lease;
    out.owner.session.lease = std::min(most_lease, share_of(site.longest_lease, lease_share));
    out.owner.scheduler.gang_patience = share_of(site.gang_wait, gang_share);
    out.owner.start_on_news_for =
        std::max(base::milliseconds{0}, site.cancelled_within - start_takes);
    out.owner.keep_ended = site.keep_ended + ended_margin;
    return out;
}

void reread(const std::string& path) {
    std::ifstream in(path);
    std::stringstream buf;
    buf << in.rdbuf();
    const auto read = shared_platform::read_site_settings(buf.str());
    if (read) {
        spdlog::info("event=settings_reread path={} outcome=ok", path);
    } else {
        spdlog::error("event=settings_reread path={} outcome=kept_the_old error=\"{}\"", path,
                      read.error().text());
    }
}

}  // namespace

int run_fleet_member(const shared_platform::site_settings& settings,
                     const std::string& settings_path) {
    net::event_loop loop;
    base::metrics metrics;
    const auto http = net::make_http_client(loop, connection_limits);
    const auto store_http = net::make_http_client(loop, store_connection_limits);
    const auto store = shared_platform::make_store(*store_http, settings.store);
    const auto probe = net::make_listener_probe(loop);
    const auto vms = shared_platform::make_vm_control(*http, *probe);
    const auto adviser = shared_platform::make_adviser(*http, settings.adviser);
    const auto rows = shared_platform::make_platform_rows();
    std::function<void()> stop_when_answered;
    steward::daemon one(loop, *http, *store, *vms, *adviser, *rows, daemon_settings_of(settings),
                        metrics, [&stop_when_answered] { stop_when_answered(); });
    shared_platform::caller_port callers(one.callers(), [&one] { return one.shutting_down(); });
    shared_platform::readiness_port readiness([&one] { return one.ready(); });
    steward::peer_port peers(one.for_peers(), metrics);
    const net::http_server caller_server(loop, settings.callers, {}, callers);
    const net::http_server readiness_server(loop, settings.readiness, {}, readiness);
    const net::http_server peer_server(loop, settings.peers, {}, peers);
    // Open requests are answered before the process ends, as far as the time allows.
    base::monotonic_clock clock;
    std::optional<base::time_point> last_moment;
    std::unique_ptr<net::timer> waiting;
    stop_when_answered = [&] {
        if (!last_moment) {
            last_moment = clock.now() + share_of(settings.stop_grace, wait_share);
        }
        if (caller_server.open_requests() == 0 || clock.now() >= *last_moment) {
            loop.stop();
            return;
        }
        waiting = loop.after(answer_poll, [&stop_when_answered] { stop_when_answered(); });
    };
    const auto terminate = loop.on_signal(SIGTERM, [&] { one.stop(); });
    const auto interrupt = loop.on_signal(SIGINT, [&] { one.stop(); });
    const auto hangup = loop.on_signal(SIGHUP, [&] { reread(settings_path); });
    spdlog::info("event=started vm={} zone={} callers={}", settings.vm_name, settings.zone,
                 settings.callers.text());
    loop.run();
    spdlog::info("event=stopped vm={} open_requests={}", settings.vm_name,
                 caller_server.open_requests());
    spdlog::shutdown();
    return 0;
}

}  // namespace cranberrydock::daemon
