// Owns the records of all queued and running tasks and of their gangs.
#pragma once

#include "records.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

// Task records keep their address and are reused but never freed: lane entries may still point to
// the record of a task that has been removed.
class task_store {
public:
    // Returns null if no such task is queued or running.
    task_record* find(const base::task_id& id);
    const task_record* find(const base::task_id& id) const;

    // Adds a record for a task that has none yet. The task is neither queued nor running at first.
    task_record& add(const task& new_task, kind_record& kind);
    // Removes a task that is neither queued nor running.
    void remove(task_record& record);

    // Calls `visit` for each task.
    template <typename Visit>
    void for_each(Visit visit) {
        for (auto& [id, record] : index_) {
            visit(*record);
        }
    }

private:
    gang_record& gang_of(const task& new_task);

    std::unordered_map<base::task_id, task_record*> index_;
    std::unordered_map<base::job_id, gang_record> gangs_;
    std::deque<task_record> records_;
    std::vector<task_record*> unused_;
};

// Raises the slots of `need` to at least one, which is what every task occupies.
base::resources with_at_least_one_slot(base::resources need);

}  // namespace cranberrydock::policy
