// The waiting tasks of one kind and about one size, in their policy's order. Sizes have lanes of
// their own so that a large task that finds no room does not hold up the small ones behind it.
#pragma once

#include "records.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberrydock::policy {

struct demand_group;

// A task's, or a whole gang's, place in a lane. It counts while its task still names it; task
// records are reused and never freed, so that asking is safe at any time.
struct queue_entry {
    std::int64_t position = 0;
    std::uint64_t number = 0;  // unique; in order of arrival
    task_record* task = nullptr;

    bool counts() const { return task->entry == number; }
};

class lane {
public:
    lane(kind_record& kind, int size_class, std::uint32_t number)
        : kind_(&kind), size_class_(size_class), number_(number) {}

    kind_record& kind() const { return *kind_; }
    int size_class() const { return size_class_; }
    std::uint32_t number() const { return number_; }

    void push(const queue_entry& one);
    // One entry no longer counts. It is dropped when it comes up, or all such entries at once when
    // they are the larger part, so that each costs O(1) amortised.
    void note_withdrawn();
    // The first entry that counts; null when there is none.
    const queue_entry* head();
    void pop_head();
    std::size_t size() const { return entries_.size() - withdrawn_; }

    // Where it stands in the order; kept by `ready_order`.
    demand_group* group = nullptr;  // null: not in the order
    std::int64_t position = 0;      // of its head
    std::uint64_t head_number = 0;  // the entry that it stands there for; 0: none
    // Its team's allowance has no room for the head; kept by the scheduler.
    bool parked = false;
    std::optional<base::time_point> parked_since;

private:
    void compact();

    kind_record* kind_;
    int size_class_;
    std::uint32_t number_;
    std::vector<queue_entry> entries_;  // a heap, the first on top
    std::size_t withdrawn_ = 0;         // entries that no longer count
};

// Whether `a` is next before `b`: by the kinds' shares, then by the heads' positions. Both are
// lanes of one team.
bool goes_before(const lane& a, const lane& b);

}  // namespace cranberrydock::policy
