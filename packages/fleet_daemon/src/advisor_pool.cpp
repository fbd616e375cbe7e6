// Distributes placement queries over all daemons.
#include <cranberrydock/fleet_daemon/advisor_pool.hpp>

#include <spdlog/spdlog.h>

#include <set>

namespace cranberrydock::fleet_daemon {
namespace {

const char* const own_name = "";
constexpr base::milliseconds tick_period{50};
// A query that times out is not held against the daemon if this process was late by at least this
// much in the meantime.
constexpr base::milliseconds min_own_lateness{100};

}  // namespace

advisor_pool::advisor_pool(net::event_loop& loop, fleet::placement_advisor& own,
                           base::metrics& metrics)
    : own_(own), metrics_(metrics), listening_(tick_period) {
    choice_.set_daemons({own_name});
    listening_.restart(clock_.now());
    tick_ = loop.every(tick_period, [this] { listening_.tick(clock_.now()); });
}

void advisor_pool::set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers) {
    peers_ = peers;
    std::set<std::string> names{own_name};
    for (const auto& it : peers) {
        names.insert(it.first);
    }
    choice_.set_daemons(names);
}

void advisor_pool::ask(const fleet::placement_query& placement,
                       const fleet::placement_callback& done) {
    const auto now = clock_.now();
    const auto sent = listening_time();
    const auto late_when_sent = listening_.late(now);
    const std::string name = choice_.select(sent, placement.service_time, placement.is_long);
    const auto timeout = choice_.timeout(name, sent, placement.service_time);
    const auto number = choice_.query_sent(name, sent, placement.service_time);
    const auto daemon = peers_.find(name);
    fleet::placement_advisor& target = daemon == peers_.end() ? own_ : *daemon->second;
    target.query(
        placement, timeout,
        lifetime_.guard([this, name, number, now, late_when_sent, done](const auto& answer) {
            const auto answered_at = clock_.now();
            const base::duration own_lateness = listening_.late(answered_at) - late_when_sent;
            const auto elapsed = std::chrono::duration_cast<base::milliseconds>(answered_at - now);
            metrics_.observe("cranberrydock_advice_ms", "", static_cast<double>(elapsed.count()));
            const bool missed = !answer && answer.error() == fleet::command_failure::answer_lost &&
                                own_lateness >= min_own_lateness;
            if (missed) {
                choice_.query_missed(name, number, listening_time());
            } else {
                choice_.query_completed(name, number, listening_time(), answer.has_value());
            }
            if (!answer) {
                spdlog::info("event=adviser_failed through={} reason={} took_ms={} own_late_ms={}",
                             name.empty() ? "self" : name, fleet::to_string(answer.error()),
                             elapsed.count(),
                             std::chrono::duration_cast<base::milliseconds>(own_lateness).count());
            }
            done(answer);
        }));
}

}  // namespace cranberrydock::fleet_daemon
