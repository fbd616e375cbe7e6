// The stage of a graceful hand-over.
#include "stage_drain.hpp"

#include <algorithm>

namespace cranberrydock::cell {

void drain_stage::begin() {
    context_.draining = true;
    for (auto& it : context_.table.works()) {
        work_state& work = it.second;
        base::refusal refused;
        refused.reason = base::refusal_reason::shutting_down;
        refused.not_run = never_dispatched(work);
        refused.detail =
            "the cell is being handed over; the same request joins its work at the next owner";
        for (const auto& waiter : work.waiters) {
            finish_.refuse_at_once(waiter, refused);
        }
        work.waiters.clear();
        for (auto& task : work.tasks) {
            if (task.phase == task_phase::queued) {
                context_.scheduler.cancel(task.id);
                task.phase = task_phase::held;
            }
        }
    }
}

void drain_stage::check() {
    if (!context_.draining || reported_ || !context_.records.empty()) {
        return;
    }
    const bool starting =
        std::any_of(context_.commands.begin(), context_.commands.end(),
                    [](const auto& it) { return it.second.type == pending_command::kind::start; });
    if (starting) {
        return;
    }
    reported_ = true;
    context_.out.emplace_back(drained{});
}

}  // namespace cranberrydock::cell
