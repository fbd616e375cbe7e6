// Teams, queues, kinds and lanes come into being when first named and stay.
#include "roster.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

constexpr double least_weight = 1e-3;
// Kinds are named by callers. A team's kinds beyond these share one record, so that no caller can
// make the scheduler's memory grow.
constexpr std::size_t most_kinds_per_team = 64;
const base::kind_name other_kinds("other");

constexpr int most_size_class = 7;
constexpr int gang_class = most_size_class + 1;
constexpr std::int64_t millicores_a_step = 1000;
constexpr std::int64_t mebibytes_a_step = 4096;

// Tasks within a factor of two of each other are of one class.
int size_class(const base::resources& need) {
    std::int64_t steps =
        std::max({need.cores.value() / millicores_a_step, need.memory.value() / mebibytes_a_step,
                  need.accelerators.value(), need.slots.value()});
    int n = 0;
    while (steps > 1 && n < most_size_class) {
        steps /= 2;
        ++n;
    }
    return n;
}

double weight_of(const team_record& team) {
    return std::max(team.rules.share, least_weight);
}

}  // namespace

void roster::set_queues(const std::vector<queue_rules>& queues) {
    for (auto& [name, it] : queues_) {
        it->configured = false;
    }
    for (const queue_rules& rules : queues) {
        queue_record& it = queue_of(rules.name);
        if (!it.policy || it.rules.kind != rules.kind) {
            it.policy = make_queue_policy(rules.kind);
        }
        it.rules = rules;
        it.configured = true;
    }
}

void roster::set_teams(const std::vector<team_rules>& teams) {
    for (auto& [id, it] : teams_) {
        it->configured = false;
        it->rules.allowance = base::slot_count(0);
        it->rules.used_elsewhere = base::slot_count(0);
    }
    for (const team_rules& rules : teams) {
        team_record& it = team_of(rules.team);
        it.rules = rules;
        it.configured = true;
    }
    refresh_all_shares();
}

void roster::set_capacity(const base::resources& total) {
    shares_.set_capacity(total);
    refresh_all_shares();
}

queue_record* roster::configured_queue(const base::queue_name& name) {
    const auto it = queues_.find(name);
    return it != queues_.end() && it->second->configured ? it->second.get() : nullptr;
}

team_record* roster::configured_team(const base::team_id& id) {
    const auto it = teams_.find(id);
    return it != teams_.end() && it->second->configured ? it->second.get() : nullptr;
}

kind_record& roster::kind_of(const base::team_id& team_id, const base::queue_name& queue_name,
                             const base::kind_name& kind) {
    team_record& team = team_of(team_id);
    queue_record& queue = queue_of(queue_name);
    const auto find = [&](const base::kind_name& name) {
        return std::find_if(team.kinds.begin(), team.kinds.end(), [&](const auto& it) {
            return it->queue == &queue && it->name == name;
        });
    };
    auto it = find(kind);
    const bool full = team.kinds.size() >= most_kinds_per_team;
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

lane& roster::lane_of(kind_record& kind, const base::resources& need, bool gang) {
    const int wanted = gang ? gang_class : size_class(need);
    for (const auto& it : kind.lanes) {
        if (it->size_class() == wanted) {
            return *it;
        }
    }
    return *kind.lanes.emplace_back(std::make_unique<lane>(kind, wanted, lanes_++));
}

std::size_t roster::queued_in(const team_record& team, const queue_record& queue) {
    std::size_t n = 0;
    for (const auto& it : team.kinds) {
        n += it->queue == &queue ? it->tasks_queued : 0;
    }
    return n;
}

void roster::refresh_share(kind_record& kind) {
    team_record& team = *kind.team;
    kind.share = shares_.of_kind(kind.used, kind.queue->policy->weight());
    team.share = shares_.of_team(team.used, team.rules.used_elsewhere, weight_of(team));
}

void roster::refresh_activity(const team_record& team, bool was_active) {
    if (team.active() == was_active) {
        return;
    }
    active_weight_ += team.active() ? weight_of(team) : -weight_of(team);
}

bool roster::below_share(const team_record& team) const {
    return team.share < fair_share::entitled(active_weight_);
}

bool roster::above_share(const team_record& team, double times) const {
    return team.share > times * fair_share::entitled(active_weight_);
}

team_record& roster::team_of(const base::team_id& id) {
    auto& it = teams_[id];
    if (!it) {
        it = std::make_unique<team_record>();
        it->rules.team = id;
    }
    return *it;
}

queue_record& roster::queue_of(const base::queue_name& name) {
    auto& it = queues_[name];
    if (!it) {
        it = std::make_unique<queue_record>();
        it->rules.name = name;
        it->policy = make_queue_policy(it->rules.kind);
    }
    return *it;
}

void roster::refresh_all_shares() {
    active_weight_ = 0;
    for (auto& [id, team] : teams_) {
        active_weight_ += team->active() ? weight_of(*team) : 0;
        for (auto& kind : team->kinds) {
            kind->share = shares_.of_kind(kind->used, kind->queue->policy->weight());
        }
        team->share = shares_.of_team(team->used, team->rules.used_elsewhere, weight_of(*team));
    }
}

}  // namespace cranberrydock::policy
