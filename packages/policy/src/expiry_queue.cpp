// A binary heap with lazy deletion: items of tasks that left their queue become stale and are
// dropped later.
#include "expiry_queue.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

constexpr std::size_t min_entries_to_compact = 1024;

}  // namespace

bool expiry_queue::item::live() const {
    return task->stay_number == number;
}

void expiry_queue::add(base::time_point when, task_record& task, std::uint64_t number) {
    items_.push_back({when, number, &task});
    std::push_heap(items_.begin(), items_.end(), later);
}

task_record* expiry_queue::earliest_expired(base::time_point now) {
    while (!items_.empty()) {
        if (!items_.front().live()) {
            std::pop_heap(items_.begin(), items_.end(), later);
            items_.pop_back();
            stale_items_ -= stale_items_ > 0 ? 1 : 0;
            continue;
        }
        return items_.front().when <= now ? items_.front().task : nullptr;
    }
    return nullptr;
}

void expiry_queue::record_removal() {
    ++stale_items_;
    if (items_.size() < min_entries_to_compact || stale_items_ * 2 <= items_.size()) {
        return;
    }
    items_.erase(
        std::remove_if(items_.begin(), items_.end(), [](const item& it) { return !it.live(); }),
        items_.end());
    std::make_heap(items_.begin(), items_.end(), later);
    stale_items_ = 0;
}

}  // namespace cranberrydock::policy
