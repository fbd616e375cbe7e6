// A lane is a binary heap with lazy deletion: withdrawn entries become stale and are dropped later.
#include "task_lane.hpp"

#include <algorithm>
#include <tuple>

namespace cranberrydock::policy {
namespace {

// Smaller heaps are not worth compacting.
constexpr std::size_t min_entries_to_compact = 64;

// Heap comparison: puts the entry with the lowest position on top.
bool follows(const queue_entry& a, const queue_entry& b) {
    return std::tie(a.position, a.number) > std::tie(b.position, b.number);
}

}  // namespace

bool precedes(const task_lane& a, const task_lane& b) {
    return std::make_tuple(a.kind().share, a.position, a.number()) <
           std::make_tuple(b.kind().share, b.position, b.number());
}

void task_lane::push(const queue_entry& entry) {
    entries_.push_back(entry);
    std::push_heap(entries_.begin(), entries_.end(), follows);
}

void task_lane::record_withdrawal() {
    ++withdrawn_;
    if (entries_.size() >= min_entries_to_compact && withdrawn_ * 2 > entries_.size()) {
        compact();
    }
}

const queue_entry* task_lane::head() {
    while (!entries_.empty() && !entries_.front().live()) {
        pop_head();
        --withdrawn_;
    }
    return entries_.empty() ? nullptr : &entries_.front();
}

void task_lane::pop_head() {
    std::pop_heap(entries_.begin(), entries_.end(), follows);
    entries_.pop_back();
}

void task_lane::compact() {
    entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                  [](const queue_entry& it) { return !it.live(); }),
                   entries_.end());
    std::make_heap(entries_.begin(), entries_.end(), follows);
    withdrawn_ = 0;
}

}  // namespace cranberrydock::policy
