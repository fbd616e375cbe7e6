// Distributes placement queries over all daemons.
#include <cranberrydock/fleet_daemon/advisor_pool.hpp>

#include <spdlog/spdlog.h>

#include <set>

namespace cranberrydock::fleet_daemon {
namespace {

const char* const own_name = "";

}  // namespace

advisor_pool::advisor_pool(fleet::placement_advisor& own, base::metrics& metrics)
    : own_(own), metrics_(metrics) {
    choice_.set_daemons({own_name});
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
    const std::string name = choice_.select(now, placement.service_time, placement.is_long);
    const auto timeout = choice_.timeout(name, now, placement.service_time);
    const auto number = choice_.query_sent(name, now, placement.service_time);
    const auto daemon = peers_.find(name);
    fleet::placement_advisor& target = daemon == peers_.end() ? own_ : *daemon->second;
    target.query(
        placement, timeout, lifetime_.guard([this, name, number, now, done](const auto& answer) {
            const auto answered_at = clock_.now();
            const auto elapsed = std::chrono::duration_cast<base::milliseconds>(answered_at - now);
            metrics_.observe("cranberrydock_advice_ms", "", static_cast<double>(elapsed.count()));
            choice_.query_completed(name, number, answered_at, answer.has_value());
            if (!answer) {
                spdlog::info("event=adviser_failed through={} reason={} took_ms={}",
                             name.empty() ? "self" : name, fleet::to_string(answer.error()),
                             elapsed.count());
            }
            done(answer);
        }));
}

}  // namespace cranberrydock::fleet_daemon
