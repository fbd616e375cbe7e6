// The part of the configuration in force that a cell uses.
#include "cell_rules.hpp"

#include "routing_table.hpp"

#include <algorithm>

namespace cranberrydock::daemon {
namespace {

policy::queue_kind kind_of(config::queue_policy_kind kind) {
    switch (kind) {
        case config::queue_policy_kind::latency:
            return policy::queue_kind::latency;
        case config::queue_policy_kind::must_finish:
            return policy::queue_kind::must_finish;
        case config::queue_policy_kind::batch:
            return policy::queue_kind::batch;
        case config::queue_policy_kind::gang:
            return policy::queue_kind::gang;
        case config::queue_policy_kind::service:
            return policy::queue_kind::service;
    }
    return policy::queue_kind::batch;
}

}  // namespace

base::slot_count even_part(const config::configuration& current, const config::team& team,
                           const base::cell_id& cell) {
    const std::vector<base::cell_id> cells = home_cells(current, team.id);
    const auto it = std::find(cells.begin(), cells.end(), cell);
    if (it == cells.end()) {
        return base::slot_count(0);
    }
    const auto n = static_cast<std::int64_t>(cells.size());
    const std::int64_t index = it - cells.begin();
    const std::int64_t limit = team.upper_limit.value();
    return base::slot_count(limit / n + (index < limit % n ? 1 : 0));
}

std::vector<cell::team_limit> limits_for(const config::configuration& current,
                                         const base::cell_id& cell) {
    std::vector<cell::team_limit> out;
    for (const auto& it : current.teams) {
        out.push_back({it.id, it.upper_limit, even_part(current, it, cell)});
    }
    return out;
}

cell::rules_changed rules_for(const config::configuration& current,
                              const std::vector<mesh::team_usage>& elsewhere) {
    cell::rules_changed out;
    for (const auto& it : current.queues) {
        out.queues.push_back({it.name, kind_of(it.policy), it.max_queued_per_team});
        out.limits.push_back({it.name, it.max_attempts});
    }
    for (const auto& it : current.teams) {
        policy::team_settings rules;
        rules.team = it.id;
        rules.share = it.share;
        for (const auto& usage : elsewhere) {
            rules.slots_used_elsewhere += usage.team == it.id ? usage.running : base::slot_count(0);
        }
        out.teams.push_back(rules);
    }
    return out;
}

}  // namespace cranberrydock::daemon
