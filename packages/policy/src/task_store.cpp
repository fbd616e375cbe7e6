// Index of task records. Records are reused.
#include "task_store.hpp"

#include <algorithm>

namespace cranberrydock::policy {

base::resources with_at_least_one_slot(base::resources need) {
    need.slots = std::max(need.slots, base::slot_count(1));
    return need;
}

task_record* task_store::find(const base::task_id& id) {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : it->second;
}

const task_record* task_store::find(const base::task_id& id) const {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : it->second;
}

task_record& task_store::add(const task& new_task, kind_record& kind) {
    if (unused_.empty()) {
        unused_.push_back(&records_.emplace_back());
    }
    task_record& it = *unused_.back();
    unused_.pop_back();
    it = task_record{};
    it.id = &index_.emplace(new_task.id, &it).first->first;
    it.job = new_task.job;
    it.kind = &kind;
    it.need = with_at_least_one_slot(new_task.need);
    it.timing = {new_task.accepted, new_task.deadline, new_task.expected_time};
    it.avoid = new_task.avoid;
    it.repeatable = new_task.repeatable;
    it.gang = new_task.gang_size > 1 ? &gang_of(new_task) : nullptr;
    return it;
}

void task_store::remove(task_record& record) {
    if (record.gang != nullptr && record.gang->queued.empty() && record.gang->running == 0) {
        gangs_.erase(base::job_id(record.gang->job));
    }
    index_.erase(base::task_id(*record.id));
    record = task_record{};
    unused_.push_back(&record);
}

gang_record& task_store::gang_of(const task& new_task) {
    gang_record& it = gangs_[new_task.job];
    it.job = new_task.job;
    it.size = std::max<std::size_t>(new_task.gang_size, 1);
    return it;
}

}  // namespace cranberrydock::policy
