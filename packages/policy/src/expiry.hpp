// When waiting tasks become useless: the earliest first, without a look at the others.
#pragma once

#include "records.hpp"

#include <vector>

namespace cranberrydock::policy {

class expiry {
public:
    // From `when` on the queued task is useless. `number` names this stay in the queue, since the
    // record may serve another task by then.
    void add(base::time_point when, task_record& task, std::uint64_t number);

    // A task that is useless by `now`, or null. The same one is returned until it is taken out of
    // its queue.
    task_record* first_due(base::time_point now);

    // A task that was added has left its queue before its time.
    void note_gone();

private:
    struct item {
        base::time_point when{};
        std::uint64_t number = 0;
        task_record* task = nullptr;

        bool counts() const;
    };
    static bool later(const item& a, const item& b) { return a.when > b.when; }

    std::vector<item> items_;  // a heap, the earliest on top
    std::size_t gone_ = 0;     // items that no longer count, as far as is known
};

}  // namespace cranberrydock::policy
