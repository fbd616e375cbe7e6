// A lane as a binary heap with entries that go stale when they are withdrawn.
#include "lane.hpp"

#include <algorithm>
#include <tuple>

namespace cranberrydock::policy {
namespace {

// A queue this short is not worth compacting.
constexpr std::size_t fewest_to_compact = 64;

// Puts the first entry on top of the heap.
bool goes_later(const queue_entry& a, const queue_entry& b) {
    return std::tie(a.position, a.number) > std::tie(b.position, b.number);
}

}  // namespace

bool goes_before(const lane& a, const lane& b) {
    return std::make_tuple(a.kind().share, a.position, a.number()) <
           std::make_tuple(b.kind().share, b.position, b.number());
}

void lane::push(const queue_entry& one) {
    entries_.push_back(one);
    std::push_heap(entries_.begin(), entries_.end(), goes_later);
}

void lane::note_withdrawn() {
    ++withdrawn_;
    if (entries_.size() >= fewest_to_compact && withdrawn_ * 2 > entries_.size()) {
        compact();
    }
}

const queue_entry* lane::head() {
    while (!entries_.empty() && !entries_.front().counts()) {
        pop_head();
        --withdrawn_;
    }
    return entries_.empty() ? nullptr : &entries_.front();
}

void lane::pop_head() {
    std::pop_heap(entries_.begin(), entries_.end(), goes_later);
    entries_.pop_back();
}

void lane::compact() {
    entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                  [](const queue_entry& it) { return !it.counts(); }),
                   entries_.end());
    std::make_heap(entries_.begin(), entries_.end(), goes_later);
    withdrawn_ = 0;
}

}  // namespace cranberrydock::policy
