// A heap whose items go stale instead of being searched for when their tasks leave early.
#include "expiry.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

constexpr std::size_t fewest_to_compact = 1024;

}  // namespace

bool expiry::item::counts() const {
    return task->stay == number;
}

void expiry::add(base::time_point when, task_record& task, std::uint64_t number) {
    items_.push_back({when, number, &task});
    std::push_heap(items_.begin(), items_.end(), later);
}

task_record* expiry::first_due(base::time_point now) {
    while (!items_.empty()) {
        if (!items_.front().counts()) {
            std::pop_heap(items_.begin(), items_.end(), later);
            items_.pop_back();
            gone_ -= gone_ > 0 ? 1 : 0;
            continue;
        }
        return items_.front().when <= now ? items_.front().task : nullptr;
    }
    return nullptr;
}

void expiry::note_gone() {
    ++gone_;
    if (items_.size() < fewest_to_compact || gone_ * 2 <= items_.size()) {
        return;
    }
    items_.erase(
        std::remove_if(items_.begin(), items_.end(), [](const item& it) { return !it.counts(); }),
        items_.end());
    std::make_heap(items_.begin(), items_.end(), later);
    gone_ = 0;
}

}  // namespace cranberrydock::policy
