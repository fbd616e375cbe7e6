// The waiting tasks of one kind and one size class, in the order of their queue's policy. Each size
// class has a lane of its own, so that a large task that finds no room does not block the small
// tasks behind it.
#pragma once

#include "records.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberrydock::policy {

struct demand_group;

// The place of a task or of a complete gang in a lane. The entry is live while its task's
// entry_number refers to it, and stale otherwise. Task records are reused but never freed, so the
// check is always safe.
struct queue_entry {
    std::int64_t position = 0;
    std::uint64_t number = 0;  // unique, in order of arrival
    task_record* task = nullptr;

    bool live() const { return task->entry_number == number; }
};

class task_lane {
public:
    task_lane(kind_record& kind, int size_class, std::uint32_t number)
        : kind_(&kind), size_class_(size_class), number_(number) {}

    kind_record& kind() const { return *kind_; }
    int size_class() const { return size_class_; }
    std::uint32_t number() const { return number_; }

    void push(const queue_entry& entry);
    // Records that one entry has become stale. Stale entries are dropped when they reach the top,
    // or all at once when they are the majority, which costs amortised O(1) per entry.
    void record_withdrawal();
    // Returns the first live entry, or null if there is none.
    const queue_entry* head();
    void pop_head();
    std::size_t size() const { return entries_.size() - withdrawn_; }

    // Place in the order of lanes; maintained by `ready_order` and `task_queues`.
    demand_group* group = nullptr;  // null if the lane is not in the order
    std::int64_t position = 0;      // of the head
    std::uint64_t head_number = 0;  // number of the entry that the order has as head, 0 if none
    // True while the team's allowance has no room for the head; maintained by `task_queues`.
    bool parked = false;
    std::optional<base::time_point> parked_since;

private:
    void compact();

    kind_record* kind_;
    int size_class_;
    std::uint32_t number_;
    std::vector<queue_entry> entries_;  // heap, the first entry on top
    std::size_t withdrawn_ = 0;         // stale entries
};

// Returns true if `a` goes before `b`: by the shares of their kinds, then by the positions of their
// heads. Both lanes must be of the same team.
bool precedes(const task_lane& a, const task_lane& b);

}  // namespace cranberrydock::policy
