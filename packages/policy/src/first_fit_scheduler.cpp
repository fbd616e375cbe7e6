// A plain scheduler: teams take turns, each team's tasks run in order of acceptance, and each task
// goes to the first VM that has room. Correct before fast; it scans its queues and VMs.
#include <cranberrydock/policy/scheduler.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace cranberrydock::policy {
namespace {

using base::refusal;
using base::refusal_reason;
using base::resources;
using base::time_point;

constexpr base::milliseconds retry_when_full{1000};

struct placed_task {
    task what;
    base::vm_id where;
    resources reserved;
};

struct vm_record {
    vm what;
    resources used;  // sum of `reserved` over the tasks that run here
};

struct team_record {
    team_rules rules;
    std::deque<task> queued;   // in order of acceptance
    base::slot_count running;  // sum of `reserved.slots` over the team's running tasks
    std::size_t tasks_running = 0;
};

refusal not_run(refusal_reason reason, std::string detail, base::milliseconds retry_after = {}) {
    return {reason, true, retry_after, std::move(detail)};
}

// A task occupies at least one slot.
resources with_a_slot(resources need) {
    need.slots = std::max(need.slots, base::slot_count(1));
    return need;
}

class first_fit_scheduler final : public scheduler {
public:
    void set_queues(const std::vector<queue_rules>& queues) override {
        queues_.clear();
        for (const queue_rules& it : queues) {
            queues_[it.name] = it;
        }
    }

    void set_teams(const std::vector<team_rules>& teams) override {
        for (auto& [id, it] : teams_) {
            it.rules.allowance = base::slot_count(0);
        }
        for (const team_rules& it : teams) {
            teams_[it.team].rules = it;
        }
    }

    void put_vm(const vm& one) override {
        auto [it, added] = vms_.try_emplace(one.id);
        it->second.what = one;
        if (!added) {
            return;
        }
        for (const auto& [id, running] : running_) {
            if (running.where == one.id) {
                it->second.used += running.reserved;
            }
        }
    }

    void remove_vm(const base::vm_id& id) override { vms_.erase(id); }

    void report_usage(const base::task_id&, const resources&) override {}

    tl::expected<void, refusal> enqueue(const task& one, time_point now) override {
        if (running_.count(one.id) != 0 || queued_in_.count(one.id) != 0) {
            return {};
        }
        const auto queue = queues_.find(one.queue);
        if (queue == queues_.end()) {
            return tl::unexpected(
                not_run(refusal_reason::unknown_queue,
                        "expected a configured queue, found \"" + one.queue.str() + "\""));
        }
        const auto team = teams_.find(one.team);
        if (team == teams_.end()) {
            return tl::unexpected(
                not_run(refusal_reason::unknown_team,
                        "expected a configured team, found \"" + one.team.str() + "\""));
        }
        if (one.deadline && *one.deadline <= now) {
            return tl::unexpected(not_run(refusal_reason::deadline_unreachable,
                                          "the deadline has passed on arrival"));
        }
        if (!can_ever_fit(one)) {
            return tl::unexpected(not_run(refusal_reason::can_never_fit,
                                          "no VM of the cell has the capacity that a task asks "
                                          "for; ask for less"));
        }
        if (team->second.queued.size() >= queue->second.max_queued_per_team) {
            return tl::unexpected(not_run(refusal_reason::queue_full,
                                          "the team has its most tasks queued; try again later",
                                          retry_when_full));
        }
        team->second.queued.push_back(one);
        team->second.queued.back().need = with_a_slot(one.need);
        queued_in_[one.id] = one.team;
        return {};
    }

    void adopt(const task& one, const base::vm_id& where, const resources& reserved) override {
        cancel(one.id);
        if (running_.count(one.id) == 0) {
            start(one, where, with_a_slot(reserved));
        }
    }

    bool cancel(const base::task_id& id) override {
        const auto it = queued_in_.find(id);
        if (it == queued_in_.end()) {
            return false;
        }
        auto& queued = teams_[it->second].queued;
        queued.erase(std::find_if(queued.begin(), queued.end(),
                                  [&](const task& one) { return one.id == id; }));
        queued_in_.erase(it);
        return true;
    }

    void ended(const task_ended& what, time_point /*now*/) override {
        const auto it = running_.find(what.id);
        if (it == running_.end()) {
            return;
        }
        release(it->second);
        running_.erase(it);
    }

    std::vector<decision> decide(time_point now, std::size_t max_decisions) override {
        std::vector<decision> decided;
        give_up_late(now, max_decisions, decided);
        bool placed = true;
        while (placed && decided.size() < max_decisions) {
            placed = false;
            for (auto& [id, team] : teams_) {
                if (decided.size() < max_decisions) {
                    placed |= place_next(team, max_decisions, decided);
                }
            }
        }
        return decided;
    }

    std::vector<team_load> loads() const override {
        std::vector<team_load> result;
        for (const auto& [id, team] : teams_) {
            team_load load;
            load.team = id;
            load.running = team.running;
            load.tasks_running = team.tasks_running;
            load.tasks_queued = team.queued.size();
            for (const task& it : team.queued) {
                load.queued += it.need.slots;
            }
            result.push_back(load);
        }
        return result;
    }

    waiting_reason why_waiting(const base::task_id& id) const override {
        const auto it = queued_in_.find(id);
        if (it == queued_in_.end()) {
            return {running_.count(id) != 0 ? "it runs" : "it is not queued here"};
        }
        const team_record& team = teams_.at(it->second);
        if (team.running >= team.rules.allowance) {
            return {"the team has its allowance of this cell in use"};
        }
        return {"no VM has room for it yet, or tasks before it wait"};
    }

private:
    bool can_ever_fit(const task& one) const {
        if (vms_.empty()) {
            return true;
        }
        const resources need = with_a_slot(one.need);
        return std::any_of(vms_.begin(), vms_.end(), [&](const auto& it) {
            return base::fits(need, it.second.what.capacity);
        });
    }

    void give_up_late(time_point now, std::size_t max_decisions, std::vector<decision>& decided) {
        for (auto& [id, team] : teams_) {
            for (auto it = team.queued.begin();
                 it != team.queued.end() && decided.size() < max_decisions;) {
                if (!it->deadline || *it->deadline > now) {
                    ++it;
                    continue;
                }
                decided.emplace_back(giving_up{
                    it->id, not_run(refusal_reason::deadline_passed,
                                    "the deadline passed while the task waited in the queue")});
                queued_in_.erase(it->id);
                it = team.queued.erase(it);
            }
        }
    }

    // Places the team's first task that can start, with its whole gang; false when none can.
    bool place_next(team_record& team, std::size_t max_decisions, std::vector<decision>& decided) {
        for (std::size_t i = 0; i < team.queued.size(); ++i) {
            const std::vector<task> group = gang_of(team, team.queued[i]);
            if (group.empty() || decided.size() + group.size() > max_decisions) {
                continue;
            }
            std::vector<placement> places = places_for(team, group);
            if (places.empty()) {
                continue;
            }
            for (std::size_t k = 0; k < group.size(); ++k) {
                cancel(group[k].id);
                start(group[k], places[k].vm, places[k].reserve);
                decided.emplace_back(std::move(places[k]));
            }
            return true;
        }
        return false;
    }

    // The tasks that must start with `one`; empty while some of them are still to be queued.
    static std::vector<task> gang_of(const team_record& team, const task& one) {
        if (one.gang_size <= 1) {
            return {one};
        }
        std::vector<task> group;
        for (const task& it : team.queued) {
            if (it.job == one.job && group.size() < one.gang_size) {
                group.push_back(it);
            }
        }
        return group.size() == one.gang_size ? group : std::vector<task>{};
    }

    // A place for each of the group, or none at all. Leaves the books as they were.
    std::vector<placement> places_for(const team_record& team, const std::vector<task>& group) {
        base::slot_count slots;
        std::map<base::vm_id, resources> taken;
        std::vector<placement> places;
        for (const task& it : group) {
            slots += it.need.slots;
            for (const auto& [id, vm] : vms_) {
                const bool avoided =
                    std::find(it.avoid.begin(), it.avoid.end(), id) != it.avoid.end();
                if (!avoided && vm.what.state == vm_state::usable &&
                    base::fits(it.need + taken[id] + vm.used, vm.what.capacity)) {
                    taken[id] += it.need;
                    places.push_back({it.id, id, it.need});
                    break;
                }
            }
        }
        const bool allowed = team.running + slots <= team.rules.allowance;
        return allowed && places.size() == group.size() ? places : std::vector<placement>{};
    }

    void start(const task& one, const base::vm_id& where, const resources& reserved) {
        team_record& team = teams_[one.team];
        team.rules.team = one.team;
        team.running += reserved.slots;
        ++team.tasks_running;
        const auto vm = vms_.find(where);
        if (vm != vms_.end()) {
            vm->second.used += reserved;
        }
        running_[one.id] = {one, where, reserved};
    }

    void release(const placed_task& one) {
        team_record& team = teams_[one.what.team];
        team.running -= one.reserved.slots;
        --team.tasks_running;
        const auto vm = vms_.find(one.where);
        if (vm != vms_.end()) {
            vm->second.used -= one.reserved;
        }
    }

    std::unordered_map<base::queue_name, queue_rules> queues_;
    std::map<base::team_id, team_record> teams_;
    std::map<base::vm_id, vm_record> vms_;
    std::unordered_map<base::task_id, placed_task> running_;
    std::unordered_map<base::task_id, base::team_id> queued_in_;  // tasks in some team's queue
};

}  // namespace

std::unique_ptr<scheduler> make_scheduler() {
    return std::make_unique<first_fit_scheduler>();
}

}  // namespace cranberrydock::policy
