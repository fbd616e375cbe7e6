// Which running tasks to stop for urgent work that finds no room: the last means, since work is
// lost. Only batch that may be run again, of teams above their share or of the urgent work's own
// team, and those first that have run least.
#pragma once

#include "lane.hpp"
#include "roster.hpp"
#include "task_store.hpp"
#include "vm_table.hpp"

#include <vector>

namespace cranberrydock::policy {

class preemptor {
public:
    preemptor(task_store& tasks, const vm_table& vms, const roster& who)
        : tasks_(&tasks), vms_(&vms), roster_(&who) {}

    // Tasks to stop so that up to `most` tasks of `need` find room, each on a VM of its own.
    std::vector<task_record*> pick(const kind_record& urgent, const base::resources& need,
                                   std::size_t most, base::time_point now) const;

private:
    // What would have to be stopped on one VM.
    struct option {
        std::vector<task_record*> victims;
        base::duration lost{0};  // run time that is thrown away
    };

    bool may_stop(const task_record& one, const kind_record& urgent) const;
    option on_vm(std::vector<task_record*> stoppable, const base::resources& need,
                 base::time_point now) const;

    task_store* tasks_;
    const vm_table* vms_;
    const roster* roster_;
};

}  // namespace cranberrydock::policy
