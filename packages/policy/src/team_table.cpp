// Teams, queues, kinds and lanes are created when first named and never removed.
#include "team_table.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

constexpr double min_weight = 1e-3;
// Callers choose the names of kinds. Further kinds of a team share one record, so that no caller
// can make the scheduler's memory grow without bound.
constexpr std::size_t max_kinds_per_team = 64;
const base::kind_name other_kinds("other");

constexpr int max_size_class = 7;
constexpr int gang_size_class = max_size_class + 1;
constexpr std::int64_t millicores_per_step = 1000;
constexpr std::int64_t mebibytes_per_step = 4096;

// Tasks whose sizes are within a factor of two of each other are in the same class.
int size_class(const base::resources& need) {
    std::int64_t steps = std::max({need.cores.value() / millicores_per_step,
                                   need.memory.value() / mebibytes_per_step,
                                   need.accelerators.value(), need.slots.value()});
    int n = 0;
    while (steps > 1 && n < max_size_class) {
        steps /= 2;
        ++n;
    }
    return n;
}

double weight_of(const team_record& team) {
    return std::max(team.rules.share, min_weight);
}

}  // namespace

void team_table::set_queues(const std::vector<queue_settings>& queues) {
    for (auto& [name, it] : queues_) {
        it->configured = false;
    }
    for (const queue_settings& rules : queues) {
        queue_record& it = queue_of(rules.name);
        if (!it.policy || it.rules.kind != rules.kind) {
            it.policy = make_queue_policy(rules.kind);
        }
        it.rules = rules;
        it.configured = true;
    }
}

void team_table::set_teams(const std::vector<team_settings>& teams) {
    for (auto& [id, it] : teams_) {
        it->configured = false;
        it->rules.allowance = base::slot_count(0);
        it->rules.slots_used_elsewhere = base::slot_count(0);
    }
    for (const team_settings& rules : teams) {
        team_record& it = team_of(rules.team);
        it.rules = rules;
        it.configured = true;
    }
    refresh_all_shares();
}

void team_table::set_capacity(const base::resources& total) {
    shares_.set_capacity(total);
    refresh_all_shares();
}

queue_record* team_table::configured_queue(const base::queue_name& name) {
    const auto it = queues_.find(name);
    return it != queues_.end() && it->second->configured ? it->second.get() : nullptr;
}

team_record* team_table::configured_team(const base::team_id& id) {
    const auto it = teams_.find(id);
    return it != teams_.end() && it->second->configured ? it->second.get() : nullptr;
}

kind_record& team_table::kind_of(const base::team_id& team_id, const base::queue_name& queue_name,
                                 const base::kind_name& kind) {
    team_record& team = team_of(team_id);
    queue_record& queue = queue_of(queue_name);
    const auto find = [&](const base::kind_name& name) {
        return std::find_if(team.kinds.begin(), team.kinds.end(), [&](const auto& it) {
            return it->queue == &queue && it->name == name;
        });
    };
    auto it = find(kind);
    const bool full = team.kinds.size() >= max_kinds_per_team;
    if (it == team.kinds.end() && full) {
        it = find(other_kinds);
    }
    if (it != team.kinds.end()) {
        return **it;
    }
    auto& added = team.kinds.emplace_back(std::make_unique<kind_record>());
    added->team = &team;
    added->queue = &queue;
    added->name = full ? other_kinds : kind;
    return *added;
}

task_lane& team_table::lane_of(kind_record& kind, const base::resources& need, bool gang) {
    const int wanted = gang ? gang_size_class : size_class(need);
    for (const auto& it : kind.lanes) {
        if (it->size_class() == wanted) {
            return *it;
        }
    }
    return *kind.lanes.emplace_back(std::make_unique<task_lane>(kind, wanted, next_lane_number_++));
}

std::size_t team_table::queued_in(const team_record& team, const queue_record& queue) {
    std::size_t n = 0;
    for (const auto& it : team.kinds) {
        n += it->queue == &queue ? it->tasks_queued : 0;
    }
    return n;
}

void team_table::refresh_share(kind_record& kind) {
    team_record& team = *kind.team;
    kind.share = shares_.kind_share(kind.used, kind.queue->policy->weight());
    team.share = shares_.team_share(team.used, team.rules.slots_used_elsewhere, weight_of(team));
}

void team_table::refresh_activity(const team_record& team, bool was_active) {
    if (team.active() == was_active) {
        return;
    }
    active_weight_ += team.active() ? weight_of(team) : -weight_of(team);
}

bool team_table::below_share(const team_record& team) const {
    return team.share < fair_share::entitled_share(active_weight_);
}

bool team_table::above_share(const team_record& team, double times) const {
    return team.share > times * fair_share::entitled_share(active_weight_);
}

team_record& team_table::team_of(const base::team_id& id) {
    auto& it = teams_[id];
    if (!it) {
        it = std::make_unique<team_record>();
        it->rules.team = id;
    }
    return *it;
}

queue_record& team_table::queue_of(const base::queue_name& name) {
    auto& it = queues_[name];
    if (!it) {
        it = std::make_unique<queue_record>();
        it->rules.name = name;
        it->policy = make_queue_policy(it->rules.kind);
    }
    return *it;
}

void team_table::refresh_all_shares() {
    active_weight_ = 0;
    for (auto& [id, team] : teams_) {
        active_weight_ += team->active() ? weight_of(*team) : 0;
        for (auto& kind : team->kinds) {
            kind->share = shares_.kind_share(kind->used, kind->queue->policy->weight());
        }
        team->share =
            shares_.team_share(team->used, team->rules.slots_used_elsewhere, weight_of(*team));
    }
}

}  // namespace cranberrydock::policy
