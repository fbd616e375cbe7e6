// The start deadlines of the waiting tasks, ordered so that the earliest is found without a search.
#pragma once

#include "records.hpp"

#include <vector>

namespace cranberrydock::policy {

class expiry_queue {
public:
    // The task expires at `when`. `number` is the task's stay_number: the record may be reused for
    // another task by then.
    void add(base::time_point when, task_record& task, std::uint64_t number);

    // Returns a task that has expired by `now`, or null. The same task is returned until it is
    // removed from its queue.
    task_record* earliest_expired(base::time_point now);

    // Records that a task has left its queue; its item, if any, is now stale.
    void record_removal();

private:
    struct item {
        base::time_point when{};
        std::uint64_t number = 0;
        task_record* task = nullptr;

        bool live() const;
    };
    static bool later(const item& a, const item& b) { return a.when > b.when; }

    std::vector<item> items_;      // heap, the earliest on top
    std::size_t stale_items_ = 0;  // estimate: also counts tasks without an item
};

}  // namespace cranberrydock::policy
