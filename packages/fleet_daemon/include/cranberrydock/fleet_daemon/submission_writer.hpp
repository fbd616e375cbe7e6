// Makes submitted jobs durable. Each partition of the store has one transaction in flight at a
// time, which carries all jobs that arrived while the previous one was in flight.
//
// The store executes the transactions of a partition sequentially, including those whose writer has
// timed out. While the store is slow, many writers with one job each would fill its queue with
// transactions that complete too late. Jobs are therefore delegated to the owner, which batches the
// jobs of all daemons. A transaction is not abandoned before the deadlines of its jobs' callers. If
// it is overdue, its jobs are also delegated to the owner or written again, and the first result is
// used. Each write is conditional on the job's rows not existing, so writing a job twice is safe.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/log_rate_limiter.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/work.hpp>
#include <cranberrydock/fleet_daemon/job_layout.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cranberrydock::fleet_daemon {

enum class write_outcome {
    written,
    already_written,  // written by an earlier call for the same job, which may have ended since
    refused,          // not written, and will not be written later
    undetermined,     // outcome unknown: the write may have been applied or may still be applied
    cancelled,        // not written, and will not be: the job was cancelled before it was stored
};

struct write_result {
    write_outcome outcome = write_outcome::refused;
    fleet::store_version version;  // of the row that was written; 0 if unknown
};

using write_callback = std::function<void(const write_result&)>;

// A job whose write a daemon delegates to the owner.
struct delegated_job {
    fleet::job_id job;
    std::string row;
    bool may_be_written = false;  // the daemon has sent a write whose outcome is unknown
};

// Access to the fleet's owner, which writes jobs on behalf of other daemons.
class owner_writer {
public:
    virtual ~owner_writer() = default;
    // Whether another daemon owns the fleet and has answered a recent probe.
    virtual bool owner_responds() const = 0;
    // Whether this daemon owns the fleet and has read the job from the store.
    virtual bool has_loaded(const fleet::job_id& job) const = 0;
    // Asks the owner to make the job durable; requires owner_responds(). Calls `done` once.
    virtual void write_through_owner(const delegated_job& delegated, base::milliseconds timeout,
                                     const write_callback& done) = 0;
};

// Whether `row`, of the job table or of the table of ended jobs, says that the job was cancelled
// before it was accepted.
bool is_withdrawn(const fleet::job_id& job, const fleet::stored_row& row);

class submission_writer {
public:
    submission_writer(net::event_loop& loop, fleet::row_store& store, const job_layout& layout,
                      owner_writer& owner, base::metrics& metrics,
                      const fleet::store_limits& limits = {});

    // Makes the job durable, directly or through the owner. Calls `done` once, at `until` at the
    // latest. A call for a job that is being written already joins the write in progress.
    void write(const fleet::job_id& job, std::string row, base::time_point until,
               write_callback done);
    // Whether a write of the job is in progress for a caller.
    bool is_writing(const fleet::job_id& job) const { return open_.count(job) > 0; }
    // Whether a write of the job may still be applied although its callers have been answered.
    bool may_write_later(const fleet::job_id& job) const;
    // Does the same for a peer that has delegated the job to this daemon. Always writes directly.
    void write_for_peer(const delegated_job& delegated, base::time_point until,
                        write_callback done);

private:
    // A caller that waits for the job to be written.
    struct waiter {
        write_callback done;
        std::unique_ptr<net::timer> deadline;
    };
    // One job and all callers that wait for it.
    struct submission {
        fleet::job_id job;
        std::string row;
        base::time_point until;       // latest deadline of the waiters
        std::vector<waiter> waiters;  // callbacks that have been called are null
        bool open = true;             // at least one waiter has not been called
        bool may_delegate = true;     // the owner may be asked to write it
        int writes_in_flight = 0;     // transactions and delegations that may still write it
        bool may_be_written = false;  // the answer to a write was lost
        bool alone = false;           // the store has rejected a transaction that contained it
    };
    using submission_ptr = std::shared_ptr<submission>;

    struct transaction {
        std::vector<submission_ptr> jobs;
        base::time_point sent;
        bool overdue = false;
        std::unique_ptr<net::timer> overdue_timer;
    };
    using transaction_ptr = std::shared_ptr<transaction>;

    struct partition_queue {
        std::deque<submission_ptr> waiting;
        std::set<transaction_ptr> in_flight;
        std::unique_ptr<net::timer> retry_timer;
    };

    bool slow() const { return clock_.now() < slow_until_; }
    // Whether a write through the owner is more likely to succeed than a direct one.
    bool should_delegate() const;
    // The least time that must be left before a caller's deadline for a write to be started.
    base::duration required_time() const;
    void enqueue(const delegated_job& delegated, base::time_point until, write_callback done,
                 bool may_delegate);
    void join(const submission_ptr& pending, base::time_point until, write_callback done);
    void on_deadline(submission& pending, std::size_t waiter_index);
    bool delegate_to_owner(const submission_ptr& pending);
    // Takes delegated jobs back and writes them directly once the owner has stopped responding.
    void check_owner();
    void send(const fleet::partition_name& partition);
    transaction_ptr next_transaction(partition_queue& queue);
    void on_overdue(const fleet::partition_name& partition, const transaction_ptr& batch);
    void on_answer(const fleet::partition_name& partition, const transaction_ptr& batch,
                   const tl::expected<fleet::store_version, fleet::store_error>& answer);
    // Queues the job for another attempt after a pause.
    void retry_later(const submission_ptr& pending);
    void record_write_time(base::duration elapsed);
    void settle(submission& pending, const write_result& result);
    // Writes each job of the rejected transaction alone, or refuses the only one.
    void on_rejected(const fleet::partition_name& partition, const transaction& batch);
    static bool may_be_applied(const submission& pending);
    static write_result failure_of(const submission& pending);
    // Remembers the job if the result says that it may still be written.
    void remember(const fleet::job_id& job, const write_result& result);

    net::event_loop& loop_;
    fleet::row_store& store_;
    const job_layout& layout_;
    owner_writer& owner_;
    base::metrics& metrics_;
    fleet::store_limits limits_;
    base::suspend_aware_clock clock_;
    std::map<fleet::partition_name, partition_queue> partitions_;
    std::unordered_map<fleet::job_id, submission_ptr> open_;     // submissions with waiters
    base::duration typical_write_time_{base::milliseconds{50}};  // smoothed
    base::time_point slow_until_{};
    base::time_point refused_until_{};
    // When callers were last answered that the outcome is unknown, and the same in this order.
    std::unordered_map<fleet::job_id, base::time_point> undetermined_;
    std::deque<std::pair<base::time_point, fleet::job_id>> undetermined_in_order_;
    struct delegated_submission {
        base::time_point delegated_at;
        submission_ptr job;
    };
    // Delegated jobs that the owner has not answered yet, in the order of their delegation.
    std::map<std::uint64_t, delegated_submission> delegated_;
    std::uint64_t last_delegation_ = 0;
    std::unique_ptr<net::timer> owner_check_timer_;
    static constexpr std::int64_t slow_lines_per_second = 20;
    base::log_rate_limiter slow_write_log_limiter_{"slow_write", slow_lines_per_second};
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
