// Selects running tasks to stop for urgent work that finds no room. This is the last resort, since
// the work of the stopped tasks is lost. Only repeatable batch tasks are stopped, of teams above
// their share or of the urgent work's own team, and those first that have run for the shortest
// time.
#pragma once

#include "task_lane.hpp"
#include "task_store.hpp"
#include "team_table.hpp"
#include "vm_table.hpp"

#include <vector>

namespace cranberrydock::policy {

class preemptor {
public:
    preemptor(task_store& tasks, const vm_table& vms, const team_table& teams)
        : tasks_(&tasks), vms_(&vms), team_table_(&teams) {}

    // Returns the tasks to stop so that up to `max_tasks` tasks that need `need` find room, each on
    // a different VM.
    std::vector<task_record*> select_victims(const kind_record& urgent, const base::resources& need,
                                             std::size_t max_tasks, base::time_point now) const;

private:
    // The tasks that would have to be stopped on one VM.
    struct victim_set {
        std::vector<task_record*> victims;
        base::duration lost_run_time{0};  // sum over the victims
    };

    bool may_preempt(const task_record& record, const kind_record& urgent) const;
    victim_set victims_on_vm(std::vector<task_record*> candidates, const base::resources& need,
                             base::time_point now) const;

    task_store* tasks_;
    const vm_table* vms_;
    const team_table* team_table_;
};

}  // namespace cranberrydock::policy
