// The records of all queued and running tasks, and of their gangs.
#pragma once

#include "records.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

// Task records stay at their address and are reused, never freed: entries of lanes may point to one
// that has gone.
class task_store {
public:
    // Null when no such task is queued or runs.
    task_record* find(const base::task_id& id);
    const task_record* find(const base::task_id& id) const;

    // A record for the task, which must be new here; neither queued nor running yet.
    task_record& add(const task& one, kind_record& kind);
    // Forgets a task that is neither queued nor running any more.
    void remove(task_record& one);

    // Calls `visit` with each task.
    template <typename Visit>
    void for_each(Visit visit) {
        for (auto& [id, one] : index_) {
            visit(*one);
        }
    }

private:
    gang_record& gang_of(const task& one);

    std::unordered_map<base::task_id, task_record*> index_;
    std::unordered_map<base::job_id, gang_record> gangs_;
    std::deque<task_record> records_;
    std::vector<task_record*> unused_;
};

// A task occupies at least one slot.
base::resources with_a_slot(base::resources need);

}  // namespace cranberrydock::policy
