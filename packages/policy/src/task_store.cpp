// The index of task records, which are reused.
#include "task_store.hpp"

#include <algorithm>

namespace cranberrydock::policy {

base::resources with_a_slot(base::resources need) {
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

task_record& task_store::add(const task& one, kind_record& kind) {
    if (unused_.empty()) {
        unused_.push_back(&records_.emplace_back());
    }
    task_record& it = *unused_.back();
    unused_.pop_back();
    it = task_record{};
    it.id = &index_.emplace(one.id, &it).first->first;
    it.job = one.job;
    it.kind = &kind;
    it.need = with_a_slot(one.need);
    it.timing = {one.accepted, one.deadline, one.expected_time};
    it.avoid = one.avoid;
    it.repeatable = one.repeatable;
    it.gang = one.gang_size > 1 ? &gang_of(one) : nullptr;
    return it;
}

void task_store::remove(task_record& one) {
    if (one.gang != nullptr && one.gang->queued.empty() && one.gang->running == 0) {
        gangs_.erase(base::job_id(one.gang->job));
    }
    index_.erase(base::task_id(*one.id));
    one = task_record{};
    unused_.push_back(&one);
}

gang_record& task_store::gang_of(const task& one) {
    gang_record& it = gangs_[one.job];
    it.job = one.job;
    it.size = std::max<std::size_t>(one.gang_size, 1);
    return it;
}

}  // namespace cranberrydock::policy
