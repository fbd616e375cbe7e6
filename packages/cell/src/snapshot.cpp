// The work book as the shortest list of records that rebuilds it.
#include "snapshot.hpp"

#include "stage_finish.hpp"

namespace cranberrydock::cell {
namespace {

// Phases in which an attempt's intent is surely written down.
bool intent_stands(const task_state& task) {
    return task.phase == task_phase::starting || task.phase == task_phase::running ||
           task.phase == task_phase::unresolved;
}

void add_intents(const work_state& work, std::vector<work_record>& out) {
    for (const auto& it : work.tasks) {
        if (it.current && intent_stands(it)) {
            out.push_back(intent_record{work.what.job, work.what.team, work.what.digest, it.id,
                                        it.current->id, it.current->vm, it.current->incarnation,
                                        it.current->number});
        }
    }
}

bool being_accepted(const work_state& work) {
    return !work.tasks.empty() && work.tasks.front().phase == task_phase::recording;
}

}  // namespace

std::vector<work_record> records_of(const work_book& book) {
    std::vector<work_record> out;
    for (const auto& it : book.works()) {
        const work_state& work = it.second;
        // What is still on its way to the journal stands in rows that stay.
        if (!needs_record(work.what) || being_accepted(work)) {
            continue;
        }
        if (work.what.durable && work.known && !work.outcome_recorded) {
            out.push_back(accepted_record{work.what});
        }
        if (!work.what.repeatable) {
            add_intents(work, out);
        }
        if (work.outcome_recorded) {
            out.push_back(
                outcome_record{work.what.job, work.what.team, work.what.digest, *work.outcome});
        }
    }
    return out;
}

}  // namespace cranberrydock::cell
