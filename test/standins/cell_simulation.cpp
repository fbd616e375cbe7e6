// The event queue of a simulated cell, and the texts of its faults and callers.
#include "cell_simulation_detail.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {

using namespace detail;

std::ostream& operator<<(std::ostream& out, const cell_fault& injected) {
    static const char* const names[] = {"owner_killed", "owner_frozen",   "owner_drained",
                                        "vm_silent",    "vm_frozen",      "vm_replaced",
                                        "vm_fails",     "commands_lossy", "store_down",
                                        "store_lossy",  "limit_lowered"};
    return out << names[static_cast<int>(injected.kind)] << "(vm " << injected.vm << ", at "
               << injected.start_time.count() << " ms, lasting " << injected.duration.count()
               << " ms)";
}

std::ostream& operator<<(std::ostream& out, const caller_plan& planned) {
    return out << "caller(at " << planned.start_time.count() << " ms, task "
               << planned.task_time.count() << " ms" << (planned.repeatable ? "" : ", once")
               << (planned.job ? ", job" : "") << (planned.gang ? ", gang" : "")
               << (planned.cancelled ? ", cancelled" : "") << ")";
}

cell_simulation::cell_simulation(std::uint64_t seed, std::size_t vms)
    : random_(seed), limit_(first_limit) {
    now_ += milliseconds{1};
    for (std::size_t i = 0; i < vms; ++i) {
        vm_settings settings;
        settings.id = vm_name(i);
        settings.capacity.slots = base::slot_count(slots_per_vm);
        settings.capacity.cores = base::millicores(slots_per_vm * 1'000);
        settings.capacity.memory = base::mebibytes(1'024);
        vms_.push_back(std::make_unique<vm_agent>(settings, checker_, now_));
    }
    unresponsive_.resize(vms);
    suspended_.resize(vms);
    deferred_commands_.resize(vms);
    start_owner();
}

cell_simulation::~cell_simulation() = default;

void cell_simulation::add(const cell_fault& fault) {
    after(fault.start_time, [this, fault] { begin(fault); });
    after(fault.start_time + fault.duration, [this, fault] { end(fault); });
}

void cell_simulation::add(const caller_plan& plan) {
    callers_.push_back(std::make_unique<caller_state>());
    caller_state& caller = *callers_.back();
    caller.index = callers_.size() - 1;
    caller.plan = plan;
    caller.submission = make_work(caller.index, plan);
    after(plan.start_time, [this, &caller] { send(caller); });
    if (plan.cancelled) {
        after(plan.start_time + cancel_delay, [this, &caller] {
            deliver(*owners_.back(), cell::cancel_job{team_name, caller.submission.job});
        });
    }
}

void cell_simulation::run_until(milliseconds end) {
    const base::time_point last = base::time_point{} + end;
    while (true) {
        base::time_point next = event_queue_.empty() ? last : std::min(last, event_queue_.top().at);
        for (const auto& it : vms_) {
            if (const auto at = it->next_event()) {
                next = std::min(next, std::max(*at, now_));
            }
        }
        now_ = next;
        for (const auto& it : vms_) {
            it->advance(now_);
        }
        check_limit();
        if (now_ >= last) {
            return;
        }
        while (!event_queue_.empty() && event_queue_.top().at <= now_) {
            const action run = event_queue_.top().run;
            event_queue_.pop();
            run();
        }
    }
}

void cell_simulation::after(base::duration delay, action run) {
    event_queue_.push({now_ + delay, next_sequence_number_++, std::move(run)});
}

base::duration cell_simulation::random_delay(base::duration longest) {
    return base::duration(std::uniform_int_distribution<std::int64_t>(1, longest.count())(random_));
}

bool cell_simulation::chance(int permille) {
    return std::uniform_int_distribution<int>(0, 999)(random_) < permille;
}

}  // namespace cranberrydock::standins
