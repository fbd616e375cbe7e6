// Maintains the order of the open steps.
#include "step_order.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberrydock::fleet::detail {

bool step_order::goes_before::operator()(const open_step_entry* a, const open_step_entry* b) const {
    const auto key = [](const open_step_entry& it) {
        return std::make_tuple(it.rank.tier, it.rank.urgency, it.rank.start_by.value(), it.number);
    };
    return key(*a) < key(*b);
}

bool step_order::open(const step_ref& ref, job_record& job, step_state& step) {
    auto& entry = entries_[&step];
    if (entry) {
        return false;
    }
    entry = std::make_unique<open_step_entry>();
    entry->ref = ref;
    entry->job = &job;
    entry->step = &step;
    entry->number = ++last_number_;
    by_number_.emplace(entry->number, entry.get());
    unranked_.insert(entry.get());
    return true;
}

void step_order::close(const step_state& step) {
    const auto it = entries_.find(&step);
    if (it == entries_.end()) {
        return;
    }
    open_step_entry* const entry = it->second.get();
    if (unranked_.erase(entry) + put_off_.erase(entry) == 0) {
        remove_rank(*entry);
    }
    by_number_.erase(entry->number);
    due_.erase(entry);
    entries_.erase(it);
}

void step_order::remove_rank(open_step_entry& entry) {
    ranked_.erase(&entry);
    tier_ends_.erase({entry.rank.tier_until, &entry});
}

std::vector<open_step_entry*> step_order::take_unranked(unix_time now) {
    while (!tier_ends_.empty() && tier_ends_.begin()->first < now) {
        open_step_entry* const entry = tier_ends_.begin()->second;
        remove_rank(*entry);
        unranked_.insert(entry);
    }
    const auto unranked = std::exchange(unranked_, {});
    return {unranked.begin(), unranked.end()};
}

void step_order::rank(open_step_entry& entry, const step_rank& rank, base::time_point now) {
    remove_rank(entry);
    entry.rank = rank;
    entry.ranked_at = now;
    ranked_.insert(&entry);
    tier_ends_.insert({rank.tier_until, &entry});
}

void step_order::rank_put_off_steps() {
    unranked_.insert(put_off_.begin(), put_off_.end());
    put_off_.clear();
}

void step_order::set_due(const step_state& step) {
    const auto it = entries_.find(&step);
    if (it != entries_.end()) {
        due_.insert(it->second.get());
    }
}

void step_order::rank_all_again() {
    unranked_.insert(ranked_.begin(), ranked_.end());
    ranked_.clear();
    tier_ends_.clear();
}

std::vector<open_step_entry*> step_order::next_steps(std::size_t most_urgent, std::size_t sampled) {
    std::vector<open_step_entry*> out;
    auto it = ranked_.begin();
    while (it != ranked_.end() && out.size() < most_urgent) {
        out.push_back(*it++);
    }
    const auto rest = it;
    if (rest == ranked_.end()) {
        due_.clear();
        return out;
    }
    const auto first_sampled =
        goes_before()(*rest, &sample_from_) ? ranked_.lower_bound(&sample_from_) : rest;
    it = first_sampled;
    std::size_t n = 0;
    for (; it != ranked_.end() && n < sampled; ++n) {
        out.push_back(*it++);
    }
    // Wraps around; the steps stay in their order.
    const auto wrapped = out.begin() + static_cast<std::ptrdiff_t>(most_urgent);
    if (it == ranked_.end()) {
        std::vector<open_step_entry*> front;
        for (it = rest; it != first_sampled && n < sampled; ++n) {
            front.push_back(*it++);
        }
        out.insert(wrapped, front.begin(), front.end());
    }
    for (open_step_entry* const due : std::exchange(due_, {})) {
        if (ranked_.count(due) > 0) {
            out.push_back(due);
        }
    }
    std::sort(out.begin(), out.end(), goes_before());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    sample_from_.rank = it == ranked_.end() ? step_rank{} : (*it)->rank;
    sample_from_.number = it == ranked_.end() ? 0 : (*it)->number;
    return out;
}

std::vector<const open_step_entry*> step_order::next_opened(std::size_t n) {
    std::vector<const open_step_entry*> out;
    const std::size_t count = std::min(n, by_number_.size());
    while (out.size() < count) {
        auto it = by_number_.upper_bound(last_returned_);
        it = it == by_number_.end() ? by_number_.begin() : it;
        last_returned_ = it->first;
        out.push_back(it->second);
    }
    return out;
}

std::vector<const open_step_entry*> step_order::sample(std::size_t stride) {
    std::vector<const open_step_entry*> out;
    out.reserve(by_number_.size() / stride + 1);
    std::size_t i = sample_count_++;
    for (const auto& it : by_number_) {
        if (i++ % stride == 0) {
            out.push_back(it.second);
        }
    }
    return out;
}

void step_order::for_each(const std::function<void(open_step_entry&)>& action) const {
    for (const auto& it : entries_) {
        action(*it.second);
    }
}

}  // namespace cranberrydock::fleet::detail
