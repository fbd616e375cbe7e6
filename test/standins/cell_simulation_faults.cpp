// The faults of a simulated cell, and the checks at each step.
#include "cell_simulation_detail.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {

using namespace detail;

void cell_simulation::begin(const cell_fault& fault) {
    owner_state& owner = *owners_.back();
    const std::size_t vm = fault.vm % vms_.size();
    const bool can_change =
        owner.alive && owner.rightful && !owner.suspended_until && !owner.draining;
    switch (fault.kind) {
        case cell_fault_kind::owner_killed:
            if (can_change) {
                owner.alive = false;
                end_ownership(owner);
            }
            return;
        case cell_fault_kind::owner_suspended:
            if (can_change && fault.duration > evidence_length) {
                owner.suspended_until = now_ + fault.duration;
                end_ownership(owner);
                after(fault.duration, [&owner] {
                    owner.suspended_until.reset();
                    for (const auto& it : std::exchange(owner.deferred, {})) {
                        it();
                    }
                });
            }
            return;
        case cell_fault_kind::owner_drained:
            if (can_change && owner.live) {
                owner.draining = true;
                deliver(owner, cell::drain_requested{});
            }
            return;
        case cell_fault_kind::vm_unresponsive:
            unresponsive_[vm] = true;
            return;
        case cell_fault_kind::vm_suspended:
            if (!suspended_[vm]) {
                suspended_[vm] = true;
                vms_[vm]->suspend(now_);
            }
            return;
        case cell_fault_kind::vm_replaced:
            if (!suspended_[vm]) {
                vms_[vm]->replace(now_);
            }
            return;
        case cell_fault_kind::vm_fails:
            vms_[vm]->set_fails_everything(true);
            return;
        case cell_fault_kind::commands_lossy:
            commands_lossy_ = true;
            return;
        case cell_fault_kind::store_down:
            store_down_ = true;
            return;
        case cell_fault_kind::store_lossy:
            store_lossy_ = true;
            return;
        case cell_fault_kind::limit_lowered:
            limit_ = std::max<std::int64_t>(1, first_limit / limit_divisor);
            limit_before_lowering_ = first_limit;
            lowered_at_ = now_;
            return;
    }
}

void cell_simulation::end(const cell_fault& fault) {
    const std::size_t vm = fault.vm % vms_.size();
    switch (fault.kind) {
        case cell_fault_kind::vm_unresponsive:
            unresponsive_[vm] = false;
            return;
        case cell_fault_kind::vm_suspended:
            if (suspended_[vm]) {
                suspended_[vm] = false;
                vms_[vm]->resume(now_);
                for (const auto& it : std::exchange(deferred_commands_[vm], {})) {
                    it();
                }
            }
            return;
        case cell_fault_kind::vm_fails:
            vms_[vm]->set_fails_everything(false);
            return;
        case cell_fault_kind::commands_lossy:
            commands_lossy_ = false;
            return;
        case cell_fault_kind::store_down:
            store_down_ = false;
            return;
        case cell_fault_kind::store_lossy:
            store_lossy_ = false;
            return;
        case cell_fault_kind::limit_lowered:
            limit_ = first_limit;
            limit_before_lowering_ = 0;
            return;
        default:
            return;
    }
}

void cell_simulation::check_limit() {
    std::int64_t running = 0;
    std::int64_t running_suspended =
        0;  // on suspended VMs: goes on when resumed, unless the lease expires first
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        (suspended_[i] ? running_suspended : running) +=
            static_cast<std::int64_t>(vms_[i]->running());
    }
    if (running + running_suspended <= limit_ && now_ >= lowered_at_ + limit_delay) {
        limit_before_lowering_ = 0;
    }
    if (running > std::max(limit_, limit_before_lowering_)) {
        add_violation("the team runs " + std::to_string(running) + " slots, its limit is " +
                      std::to_string(limit_));
    }
}

void cell_simulation::add_violation(const std::string& description) {
    constexpr std::size_t max_violations = 20;
    if (violations_.size() < max_violations) {
        const auto at = std::chrono::duration_cast<milliseconds>(now_ - base::time_point{});
        violations_.push_back(std::to_string(at.count()) + " ms: " + description);
    }
}

std::string cell_simulation::violations() const {
    std::string out;
    for (const auto& it : violations_) {
        out += it + "\n";
    }
    // No simulated fault breaks a promise, so that each report of a broken one is a violation.
    for (const auto& owner : owners_) {
        for (const auto& it : owner->machine.broken_promises()) {
            out += "broken promise reported under epoch " + std::to_string(owner->epoch.value()) +
                   ": " + it.promise + ": " + it.evidence + "\n";
        }
    }
    for (const auto& it : checker_.evidence()) {
        out += "checker: " + it + "\n";
    }
    return out;
}

std::string cell_simulation::describe_unanswered_callers() const {
    std::string out;
    for (const auto& it : callers_) {
        if (it->outcome) {
            continue;
        }
        const auto view = owners_.back()->machine.view(team_name, it->submission.job);
        out += "caller " + std::to_string(it->index) + ": " +
               (view ? to_string(view->state) + ", " + view->why : "unknown to the owner") + "\n";
        for (const auto& step : view ? view->trace : std::vector<base::trace_step>{}) {
            out += "  " + std::to_string(step.at.count()) + " us " + step.stage + " " + step.where +
                   " " + step.note + "\n";
        }
    }
    return out;
}

}  // namespace cranberrydock::standins
