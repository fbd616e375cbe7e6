// The faults of a simulated cell, and the judgement of every step.
#include "cell_world_parts.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {

using namespace detail;

void cell_world::begin(const cell_fault& fault) {
    owner& one = *owners_.back();
    const std::size_t vm = fault.vm % vms_.size();
    const bool can_change = one.alive && one.rightful && !one.frozen_until && !one.draining;
    switch (fault.kind) {
        case cell_fault_kind::owner_killed:
            if (can_change) {
                one.alive = false;
                end_owner(one);
            }
            return;
        case cell_fault_kind::owner_frozen:
            if (can_change && fault.lasting > evidence_length) {
                one.frozen_until = now_ + fault.lasting;
                end_owner(one);
                after(fault.lasting, [&one] {
                    one.frozen_until.reset();
                    for (const auto& it : std::exchange(one.asleep, {})) {
                        it();
                    }
                });
            }
            return;
        case cell_fault_kind::owner_drained:
            if (can_change && one.live) {
                one.draining = true;
                deliver(one, cell::drain_requested{});
            }
            return;
        case cell_fault_kind::vm_silent:
            silent_[vm] = true;
            return;
        case cell_fault_kind::vm_frozen:
            if (!frozen_[vm]) {
                frozen_[vm] = true;
                vms_[vm]->freeze(now_);
            }
            return;
        case cell_fault_kind::vm_replaced:
            if (!frozen_[vm]) {
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
            lowered_from_ = first_limit;
            lowered_at_ = now_;
            return;
    }
}

void cell_world::end(const cell_fault& fault) {
    const std::size_t vm = fault.vm % vms_.size();
    switch (fault.kind) {
        case cell_fault_kind::vm_silent:
            silent_[vm] = false;
            return;
        case cell_fault_kind::vm_frozen:
            if (frozen_[vm]) {
                frozen_[vm] = false;
                vms_[vm]->unfreeze(now_);
                for (const auto& it : std::exchange(arrived_[vm], {})) {
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
            lowered_from_ = 0;
            return;
        default:
            return;
    }
}

void cell_world::judge_now() {
    std::int64_t running = 0;
    std::int64_t standing = 0;  // on frozen VMs: may run on, unless its lease lapses before
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        (frozen_[i] ? standing : running) += static_cast<std::int64_t>(vms_[i]->running());
    }
    if (running + standing <= limit_ && now_ >= lowered_at_ + limit_delay) {
        lowered_from_ = 0;
    }
    if (running > std::max(limit_, lowered_from_)) {
        breach("the team runs " + std::to_string(running) + " slots, its limit is " +
               std::to_string(limit_));
    }
}

void cell_world::breach(const std::string& what) {
    constexpr std::size_t most = 20;
    if (breaches_.size() < most) {
        const auto at = std::chrono::duration_cast<milliseconds>(now_ - base::time_point{});
        breaches_.push_back(std::to_string(at.count()) + " ms: " + what);
    }
}

std::string cell_world::breaches() const {
    std::string out;
    for (const auto& it : breaches_) {
        out += it + "\n";
    }
    // Nothing but the simulated faults went wrong, and none of them breaks a promise.
    for (const auto& one : owners_) {
        for (const auto& it : one->machine.broken_promises()) {
            out += "alarm of epoch " + std::to_string(one->epoch.value()) + ": " + it.promise +
                   ": " + it.evidence + "\n";
        }
    }
    for (const auto& it : judge_.evidence()) {
        out += "judge: " + it + "\n";
    }
    return out;
}

std::string cell_world::unanswered() const {
    std::string out;
    for (const auto& it : callers_) {
        if (it->outcome) {
            continue;
        }
        const auto view = owners_.back()->machine.view(team_name, it->what.job);
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
