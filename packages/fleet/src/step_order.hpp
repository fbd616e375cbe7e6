// The open steps in the order in which decisions consider them. A rank depends on the time only
// through its tier, so a step is moved when its tier ends, and the cost of a decision does not grow
// with the number of open steps.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet/work.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace cranberrydock::fleet::detail {

struct job_record;
struct step_state;

// In this order of significance. Lower values go first.
struct step_rank {
    int tier = 0;
    int urgency = 0;
    unix_time start_by;    // the latest start that still meets the objective
    unix_time tier_until;  // the step belongs to another tier after this time
};

// A step that may have tasks to start. Its job is not removed while the step is open.
struct open_step_entry {
    step_ref ref;
    job_record* job = nullptr;
    step_state* step = nullptr;
    step_rank rank;
    base::time_point ranked_at{};
    std::uint64_t number = 0;  // in the order of opening
};

class step_order {
public:
    step_order() = default;
    ~step_order() = default;
    step_order(const step_order&) = delete;
    step_order& operator=(const step_order&) = delete;

    bool contains(const step_state& step) const { return entries_.count(&step) > 0; }
    // The step is not in the order before rank() has been called for it. A step that is open
    // already is unchanged. Returns whether it was opened.
    bool open(const step_ref& ref, job_record& job, step_state& step);
    void close(const step_state& step);
    std::size_t size() const { return entries_.size(); }

    // The steps that were opened since the last call, and those whose tier has ended. Each of them
    // is to be ranked, or left for later with put_off().
    std::vector<open_step_entry*> take_unranked(unix_time now);
    void rank(open_step_entry& entry, const step_rank& rank, base::time_point now);
    // Returns the step at the next call of take_unranked() after rank_put_off_steps().
    void put_off(open_step_entry& entry) { put_off_.insert(&entry); }
    void rank_put_off_steps();
    // next_steps() returns the step at its next call.
    void set_due(const step_state& step);
    // The rank of every step is out of date.
    void rank_all_again();

    // The `most_urgent` first steps, those that are due, and up to `sampled` of the others: the
    // next ones at each call, so that all of them have their turn.
    std::vector<open_step_entry*> next_steps(std::size_t most_urgent, std::size_t sampled);

    // The next `n` steps in the order of their opening, others at each call.
    std::vector<const open_step_entry*> next_opened(std::size_t n);
    // One of `stride` steps in the order of their opening, others at each call.
    std::vector<const open_step_entry*> sample(std::size_t stride);
    void for_each(const std::function<void(open_step_entry&)>& action) const;

private:
    struct goes_before {
        bool operator()(const open_step_entry* a, const open_step_entry* b) const;
    };
    using ranked_set = std::set<open_step_entry*, goes_before>;

    void remove_rank(open_step_entry& entry);

    // Each entry is in exactly one of `ranked_`, `unranked_` and `put_off_`.
    std::unordered_map<const step_state*, std::unique_ptr<open_step_entry>> entries_;
    ranked_set ranked_;
    std::set<open_step_entry*> unranked_;
    std::set<open_step_entry*> put_off_;
    std::set<open_step_entry*> due_;
    // The ranked steps by the end of their tier.
    std::set<std::pair<unix_time, open_step_entry*>> tier_ends_;
    // Where the next sample begins: a rank, which need not belong to a step any more.
    open_step_entry sample_from_;
    std::map<std::uint64_t, open_step_entry*> by_number_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_returned_ = 0;  // by next_opened()
    std::size_t sample_count_ = 0;
};

}  // namespace cranberrydock::fleet::detail
