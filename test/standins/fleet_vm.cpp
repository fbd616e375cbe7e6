// Carries out commands and ends runs in simulated time.
#include "fleet_vm.hpp"

#include <algorithm>

namespace cranberrydock::standins {

using fleet::command_failure;

tl::expected<fleet::vm_time, command_failure> fleet_vm::start(fleet::fencing_token owner,
                                                              const fleet::start_command& order) {
    if (owner < fencing_token_) {
        return tl::make_unexpected(command_failure::stale_fencing_token);
    }
    fencing_token_ = owner;
    if (order.lease_until < now_) {
        return tl::make_unexpected(command_failure::too_late);
    }
    extend_lease(order.lease_until);
    const auto current = running_.find(order.task);
    if (current != running_.end()) {
        if (current->second.number == order.run) {
            return now_;
        }
        return tl::make_unexpected(command_failure::superseded);
    }
    const auto ended = highest_ended_.find(order.task);
    if (ended != highest_ended_.end() && order.run <= ended->second) {
        return tl::make_unexpected(command_failure::superseded);
    }
    const auto behavior = behavior_(order.task, order.run);
    running_[order.task] = {order.run, behavior.run_time, behavior, {}, {}, {}};
    return now_;
}

tl::expected<fleet::vm_time, command_failure> fleet_vm::stop(fleet::fencing_token owner,
                                                             const fleet::task_ref& task,
                                                             fleet::run_number run) {
    if (owner < fencing_token_) {
        return tl::make_unexpected(command_failure::stale_fencing_token);
    }
    fencing_token_ = owner;
    auto& highest_ended = highest_ended_[task];
    highest_ended = std::max(highest_ended, run);
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number <= run) {
        if (stop_time_.count() == 0) {
            end_run(task, fleet::completion_kind::stopped);
        } else if (!it->second.ends_at) {
            it->second.end_kind = fleet::completion_kind::stopped;
            it->second.ends_at = fleet::vm_time(now_.value() + stop_time_.count());
        }
    }
    return now_;
}

tl::expected<fleet::vm_report, command_failure> fleet_vm::watch(fleet::fencing_token owner,
                                                                const fleet::watch_command& order) {
    if (owner < fencing_token_) {
        return tl::make_unexpected(command_failure::stale_fencing_token);
    }
    fencing_token_ = owner;
    extend_lease(order.lease_until);
    completions_.erase(
        std::remove_if(completions_.begin(), completions_.end(),
                       [&](const auto& it) { return it.number <= order.acknowledged; }),
        completions_.end());
    fleet::vm_report out;
    out.now = now_;
    out.boot = facts_.boot;
    for (const auto& it : running_) {
        out.running.push_back({it.first, it.second.number, {}, 0});
    }
    const auto listed = std::min(completions_.size(), fleet::max_listed_completions);
    out.completions.assign(completions_.begin(),
                           completions_.begin() + static_cast<std::ptrdiff_t>(listed));
    return out;
}

void fleet_vm::extend_lease(fleet::vm_time until) {
    const auto granted =
        max_lease_ ? std::min(until, fleet::vm_time(now_.value() + max_lease_->count())) : until;
    lease_until_ = std::max(lease_until_, granted);
}

void fleet_vm::end_run(const fleet::task_ref& task, fleet::completion_kind kind) {
    end_run(task, kind, now_);
}

void fleet_vm::end_run(const fleet::task_ref& task, fleet::completion_kind kind,
                       fleet::vm_time at) {
    const auto it = running_.find(task);
    if (it == running_.end()) {
        return;
    }
    last_completion_ = last_completion_.next();
    completions_.push_back({last_completion_, task, it->second.number, kind, {}});
    auto& highest_ended = highest_ended_[task];
    highest_ended = std::max(highest_ended, it->second.number);
    running_.erase(it);
    if (on_run_end_) {
        on_run_end_({task, kind, at});
    }
}

void fleet_vm::pause(base::milliseconds time) {
    if (!paused()) {
        paused_from_ = now_;
        paused_until_ = fleet::vm_time(now_.value() + time.count());
    }
}

void fleet_vm::advance(base::milliseconds by) {
    now_ = fleet::vm_time(now_.value() + by.count());
    std::vector<run_end> ended_runs;
    const auto add_end = [&](const fleet::task_ref& task, fleet::completion_kind kind,
                             fleet::vm_time due) {
        const bool held_up = due >= paused_from_ && due < paused_until_;
        ended_runs.push_back({task, kind, held_up ? paused_until_ : due});
    };
    for (auto& it : running_) {
        it.second.age += by;
        // The simulation, which sees all members of a gang, ends the runs of gangs.
        it.second.remaining -= it.second.behavior.gang_size > 0 ? base::milliseconds{0} : by;
        if (!it.second.ends_at && now_ > lease_until_) {
            it.second.end_kind = fleet::completion_kind::lease_expired;
            it.second.ends_at = fleet::vm_time(lease_until_.value() + stop_time_.count());
        }
        if (it.second.ends_at) {
            if (now_ > *it.second.ends_at && !paused()) {
                add_end(it.first, it.second.end_kind, *it.second.ends_at);
            }
        } else if (it.second.remaining.count() <= 0 && !paused()) {
            add_end(it.first,
                    it.second.behavior.fails ? fleet::completion_kind::failed
                                             : fleet::completion_kind::done,
                    fleet::vm_time(now_.value() + it.second.remaining.count()));
        }
    }
    for (const auto& it : ended_runs) {
        end_run(it.task, it.kind, it.at);
    }
}

void fleet_vm::crash() {
    if (on_run_end_) {
        for (const auto& it : running_) {
            on_run_end_({it.first, fleet::completion_kind::stopped, now_});
        }
    }
    running_.clear();
    highest_ended_.clear();
    completions_.clear();
    last_completion_ = {};
    fencing_token_ = {};
    lease_until_ = {};
    paused_from_ = {};
    paused_until_ = {};
    now_ = fleet::vm_time(0);
    facts_.boot = facts_.boot.next();
}

}  // namespace cranberrydock::standins
