// A daemon on the users' shared platform.
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/daemon/fleet_member.hpp>
#include <cranberrydock/fleet_daemon/daemon.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/net/listener_probe.hpp>
#include <cranberrydock/shared_platform/http_row_store.hpp>
#include <cranberrydock/shared_platform/http_vm_control.hpp>
#include <cranberrydock/shared_platform/json_platform_rows.hpp>
#include <cranberrydock/shared_platform/request_handlers.hpp>

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

// A VM accepts 64 connections, and several commands to one VM are in flight at once in a burst.
constexpr net::http_client_limits connection_limits{8, base::milliseconds{20'000}, false};
// Reads the responses of the store first: late updates lead to decisions on outdated data.
constexpr net::http_client_limits store_connection_limits{8, base::milliseconds{20'000}, true};
// The share of the longest lease that a renewal grants. Lost work starts again sooner after a
// shorter lease, and a longer lease lasts through a change of owner.
constexpr double lease_share = 0.75;
// An upper limit, since long-running tasks on an unresponsive VM are started again only when their
// lease has expired.
constexpr base::milliseconds renewed_lease_limit{5'500};
// The share of the time for which VMs wait for a complete gang. The rest is left for stopping the
// gang.
constexpr double gang_start_share = 0.6;
// The longest time from a decision to the start at the VM, with a relay and a retry.
constexpr base::milliseconds max_start_delay{1'800};
// Changes of the jobs are read every 0.7 s, so a shorter limit would hold starts all the time.
constexpr base::milliseconds min_job_feed_age{2'000};
constexpr base::milliseconds max_drain{3'000};
// Shares of the time between SIGTERM and SIGKILL: the first for serving requests while callers move
// to other daemons, the second for answering the last open requests.
constexpr double drain_share = 0.6;
constexpr double answer_share = 0.3;
constexpr base::milliseconds open_requests_poll_period{50};
constexpr base::milliseconds ended_job_margin{30'000};
// More parts do not raise the write rate, since the owner has to write to all of them.
constexpr std::size_t max_job_parts = 8;

base::milliseconds share_of(base::milliseconds duration, double share) {
    return base::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(duration.count()) * share));
}

std::string make_run_name() {
    return std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

fleet_daemon::daemon_settings daemon_settings_of(const shared_platform::site_settings& site) {
    fleet_daemon::daemon_settings out;
    out.vm_name = site.vm_name;
    out.run = make_run_name();
    out.peers = site.peers;
    out.zone = fleet::zone_name(site.zone);
    for (const auto& it : site.region_zones) {
        out.region_zones.insert(fleet::zone_name(it));
    }
    out.cores = site.cores;
    // As many parts as it takes to use the full write rate of the store, which is the bottleneck
    // while the store is slow.
    out.job_parts = std::clamp<std::size_t>(
        site.max_store_writes_per_s / std::max<std::size_t>(1, site.max_part_writes_per_s), 1,
        max_job_parts);
    out.drain = std::min(max_drain, share_of(site.stop_grace, drain_share));
    out.owner.session.leases.max_lease = site.max_lease;
    out.owner.session.leases.max_stop_time = site.max_stop_time;
    out.owner.session.leases.lease =
        std::min(renewed_lease_limit, share_of(site.max_lease, lease_share));
    out.owner.scheduler.gang_start_timeout = share_of(site.gang_timeout, gang_start_share);
    out.owner.max_job_feed_age = std::max(min_job_feed_age, site.cancel_deadline - max_start_delay);
    out.owner.cancel_deadline = site.cancel_deadline;
    if (site.max_row_bytes > 0) {
        out.owner.limits.row_bytes =
            std::min(site.max_row_bytes, out.owner.limits.transaction_bytes);
    }
    out.owner.ended_job_retention = site.ended_job_retention + ended_job_margin;
    return out;
}

// Checks the settings file that has changed, and logs the outcome.
void recheck_settings(const std::string& path) {
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
                     const std::string& settings_path, bool refuse_overloaded) {
    net::event_loop loop;
    base::metrics metrics;
    const auto http = net::make_http_client(loop, connection_limits);
    const auto store_http = net::make_http_client(loop, store_connection_limits);
    const auto store = shared_platform::make_row_store(*store_http, settings.store);
    const auto probe = net::make_listener_probe(loop);
    const auto vms = shared_platform::make_vm_control(*http, *probe);
    const auto advisor = shared_platform::make_placement_advisor(*http, settings.advisor);
    const auto rows = shared_platform::make_platform_rows();
    std::function<void()> stop_when_answered;
    fleet_daemon::daemon_settings member_settings = daemon_settings_of(settings);
    member_settings.owner.refuse_overloaded = refuse_overloaded;
    fleet_daemon::daemon member(loop, *http, *store, *vms, *advisor, *rows, member_settings,
                                metrics, [&stop_when_answered] { stop_when_answered(); });
    shared_platform::caller_request_handler callers(member.callers(),
                                                    [&member] { return member.shutting_down(); });
    shared_platform::readiness_request_handler readiness([&member] { return member.ready(); });
    fleet_daemon::peer_request_handler peers(member.services_for_peers(), metrics);
    // Nothing is sent before the loop runs: an announced daemon has taken the addresses of any
    // earlier process.
    const net::http_server caller_server(loop, settings.callers, {}, callers);
    const net::http_server readiness_server(loop, settings.readiness, {}, readiness);
    const net::http_server peer_server(loop, settings.peers, {}, peers);
    // The process ends when all open requests have been answered, or when their share of the grace
    // period is over.
    base::monotonic_clock clock;
    std::optional<base::time_point> answer_deadline;
    std::unique_ptr<net::timer> poll_timer;
    stop_when_answered = [&] {
        if (!answer_deadline) {
            answer_deadline = clock.now() + share_of(settings.stop_grace, answer_share);
        }
        if (caller_server.open_requests() == 0 || clock.now() >= *answer_deadline) {
            loop.stop();
            return;
        }
        poll_timer =
            loop.after(open_requests_poll_period, [&stop_when_answered] { stop_when_answered(); });
    };
    const auto terminate = loop.on_signal(SIGTERM, [&] { member.stop(); });
    const auto interrupt = loop.on_signal(SIGINT, [&] { member.stop(); });
    const auto hangup = loop.on_signal(SIGHUP, [&] { recheck_settings(settings_path); });
    spdlog::info("event=started vm={} zone={} callers={}", settings.vm_name, settings.zone,
                 settings.callers.text());
    loop.run();
    spdlog::info("event=stopped vm={} open_requests={}", settings.vm_name,
                 caller_server.open_requests());
    spdlog::shutdown();
    return 0;
}

}  // namespace cranberrydock::daemon
