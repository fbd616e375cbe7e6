// Makes submitted jobs durable: one transaction at a time for each part of the store, with all jobs
// that came while the one before was under way.
//
// The store does the transactions of a part one after another, also those whose writer has given
// up. While it is slow, many writers with a job each would fill it with transactions that come too
// late, so jobs are handed to the owner, which writes the jobs of all daemons together. A
// transaction is never given up before its jobs' callers are; one that takes suspiciously long is
// answered by whoever is first, it or the owner. Each write has the condition that the job's rows
// don't exist, so that writing a job twice is safe.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/log_budget.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/work.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/job_parts.hpp>
#include <cranberrydock/steward/lifetime.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberrydock::steward {

enum class write_outcome {
    written,
    known,    // an earlier call for the same job wrote it; it may have ended since
    refused,  // not written, and never will be
    unclear,  // may be written now or later
};

struct write_result {
    write_outcome outcome = write_outcome::refused;
    fleet::store_version version;  // of the row that was written; 0: not known
};

using write_done = std::function<void(const write_result&)>;

// A job that a daemon hands to the owner.
struct handed_job {
    fleet::job_id job;
    std::string row;
    bool may_be_written = false;  // the daemon has sent a write whose outcome it does not know
};

// The fleet's owner, as a writer for others.
class owner_writer {
public:
    virtual ~owner_writer() = default;
    // Whether another daemon owns the fleet and has answered lately.
    virtual bool owner_answers() const = 0;
    // Whether this daemon owns the fleet and has read the job from the store.
    virtual bool has_read(const fleet::job_id& job) const = 0;
    // Has the owner make a job durable.
    virtual void write_through_owner(const handed_job& what, base::milliseconds timeout,
                                     const write_done& done) = 0;
};

class submission_writer {
public:
    submission_writer(net::event_loop& loop, fleet::row_store& store, const job_layout& layout,
                      owner_writer& owner, base::metrics& metrics);

    // Answers at `until` at the latest.
    void write(const fleet::job_id& job, std::string row, base::time_point until, write_done done);
    // The same for a peer, to which this daemon is the owner: it is written here.
    void write_for_peer(const handed_job& what, base::time_point until, write_done done);

private:
    // A caller who waits for the job to be written.
    struct waiter {
        write_done done;
        std::unique_ptr<net::timer> deadline;
    };
    // One job; callers that send it again join those who wait.
    struct submission {
        fleet::job_id job;
        std::string row;
        base::time_point until;       // of the last waiter
        std::vector<waiter> waiters;  // null callbacks have been called
        bool open = true;             // somebody waits
        bool through_owner = true;    // whether the owner may be asked to write it
        int ways = 0;                 // under way that may still write it
        bool may_be_written = false;  // a write was sent whose outcome is not known
    };
    using submission_ptr = std::shared_ptr<submission>;

    struct transaction {
        std::vector<submission_ptr> jobs;
        base::time_point sent;
        bool overdue = false;
        std::unique_ptr<net::timer> patience;
    };
    using transaction_ptr = std::shared_ptr<transaction>;

    struct part_queue {
        std::deque<submission_ptr> waiting;
        std::set<transaction_ptr> under_way;
        std::unique_ptr<net::timer> pause;
    };

    bool slow() const { return clock_.now() < slow_until_; }
    bool others_do_better() const;
    // Before the caller has given up.
    base::duration needed_time() const;
    void take(const handed_job& what, base::time_point until, write_done done, bool through_owner);
    void join(const submission_ptr& one, base::time_point until, write_done done);
    void give_up(submission& one, std::size_t waiter);
    bool hand_to_owner(const submission_ptr& one);
    // Writes here what an owner that has fallen silent was to write.
    void watch_owner();
    void send(const fleet::part_name& part);
    transaction_ptr next_transaction(part_queue& queue);
    void overdue(const fleet::part_name& part, const transaction_ptr& what);
    void answered(const fleet::part_name& part, const transaction_ptr& what,
                  const tl::expected<fleet::store_version, fleet::store_error>& answer);
    // Tries again a little later, if there is time.
    void again(const submission_ptr& one);
    void note_time(base::duration took);
    void settle(submission& one, const write_result& result);
    static write_result failure_of(const submission& one);

    net::event_loop& loop_;
    fleet::row_store& store_;
    job_layout layout_;
    owner_writer& owner_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<fleet::part_name, part_queue> parts_;
    std::unordered_map<fleet::job_id, submission_ptr> open_;  // somebody waits for them
    base::duration usual_time_{base::milliseconds{50}};       // of a write, smoothed
    base::time_point slow_until_{};
    base::time_point refused_until_{};
    struct handed_over {
        base::time_point since;
        submission_ptr job;
    };
    // What the owner has not answered for, in the order in which it was handed over.
    std::map<std::uint64_t, handed_over> handed_;
    std::uint64_t last_handed_ = 0;
    std::unique_ptr<net::timer> watching_owner_;
    static constexpr std::int64_t slow_lines_per_second = 20;
    base::log_budget slow_lines_{"slow_write", slow_lines_per_second};
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
