// The operations that every daemon offers to callers: submit a job, query its state, cancel it, and
// count the waiting jobs of a queue. Jobs are submitted and cancelled through the store. The state
// of a job is queried from the owner or, if the owner can't be reached, read from the store.
#pragma once

#include <cranberrydock/base/log_rate_limiter.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/fleet/configuration.hpp>
#include <cranberrydock/fleet/job_rows.hpp>
#include <cranberrydock/fleet/ownership.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>
#include <cranberrydock/fleet_daemon/submission_writer.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::fleet_daemon {

// The parts of a request that identify the caller, the queue and the job.
struct caller {
    std::string host;
    std::string path;               // a queue's prefix, then optionally a job id
    std::string key;                // empty if the request has none
    base::milliseconds timeout{0};  // how long the caller waits for the answer; 0: not stated
};

// A job as described by the caller that submits it.
struct job_draft {
    std::string payload;
    std::vector<fleet::step_spec> steps;
    int occurrences = 0;
    base::milliseconds period{0};
    fleet::unix_time first_start;
};

// A daemon's view of the fleet: the configuration, the owner's row and the connection to the owner.
class fleet_view : public owner_writer {
public:
    // Null until the first configuration has been read.
    virtual std::shared_ptr<const fleet::fleet_configuration> configuration() const = 0;
    virtual const fleet::owner_record& owner() const = 0;
    // The time since the owner's row was last received.
    virtual base::milliseconds owner_age() const = 0;
    // The maximum age of the count of waiting jobs; no value if there is no count or its age is
    // unknown.
    virtual std::optional<base::milliseconds> count_age() const = 0;
    virtual bool shutting_down() const = 0;
    // Queries the job's state from the owner. The result has no value if the owner can't be reached
    // or has no record of the job.
    virtual void query_owner(const fleet::job_id& job, status_callback done) = 0;
    // Notifies the owner of a row that has become durable. Calls `notified` once the owner has
    // received it or can't be reached in time.
    virtual void notify_owner(const fleet::job_id& job, const std::string& row,
                              fleet::store_version version, std::function<void()> notified) = 0;
};

struct job_accepted {};
struct job_status {
    fleet::job_state state = fleet::job_state::queued;
};
struct waiting_jobs {
    std::int64_t count = 0;
};

// Receives the answer, or the refusal that the caller gets.
template <typename Answer>
using answer_callback = std::function<void(tl::expected<Answer, base::refusal>)>;

class job_api {
public:
    job_api(net::event_loop& loop, fleet::row_store& store, const job_layout& layout,
            fleet_view& view, base::metrics& metrics, const fleet::store_limits& limits = {});

    // Accepts the job once it is durable. `draft` is an error if the request could not be parsed.
    void submit(const caller& requester, tl::expected<job_draft, std::string> draft,
                const answer_callback<job_accepted>& done);
    // Makes a job durable that a peer has admitted.
    void write(const delegated_job& delegated, base::milliseconds write_timeout,
               const write_callback& done);
    void status(const caller& requester, const answer_callback<job_status>& done);
    void cancel(const caller& requester, const answer_callback<job_status>& done);
    // Whether the caller's path names a queue without a job id.
    bool is_queue_request(const caller& requester) const;
    void count_waiting(const caller& requester, const answer_callback<waiting_jobs>& done);

private:
    struct admitted_request {
        std::shared_ptr<const fleet::fleet_configuration> configuration;
        const fleet::queue_config* queue = nullptr;  // in `configuration`
        fleet::customer_name customer;
        fleet::job_id job;  // empty if the path names only a queue
    };
    // Determines the queue, customer and job of a request, or why it is refused.
    tl::expected<admitted_request, base::refusal> admit(const caller& requester) const;
    // Returns a refusal for a job that no VM can ever hold, or whose queue can't serve it in time.
    std::optional<base::refusal> check_feasibility(const admitted_request& admission,
                                                   const job_draft& draft) const;
    void refuse_new_job(const admitted_request& admission, const base::refusal& rejection,
                        const answer_callback<job_accepted>& done);
    // Answers a repeated submission whose first one has left `row` in the store.
    void answer_repeat(const fleet::job_id& job, const fleet::stored_row& row,
                       const answer_callback<job_accepted>& done,
                       const std::function<void(const char*)>& log);
    // One row or none. No value if the store does not answer.
    using read_result = std::optional<std::vector<fleet::stored_row>>;
    void read_row_if_any(const fleet::row_address& row,
                         std::function<void(const read_result&)> done);
    template <typename Answer>
    void refuse(const answer_callback<Answer>& done, base::refusal rejection);

    struct lookup;
    void query_owner(const std::shared_ptr<lookup>& request);
    // Reads the job's state from the store: first its ended row, then its submitted row, then its
    // progress.
    void look_up(const std::shared_ptr<lookup>& request);
    void look_up_job(const std::shared_ptr<lookup>& request);
    void look_up_progress(const std::shared_ptr<lookup>& request);
    // Calls `found` with the row, or with null if it does not exist.
    void read_row(const std::shared_ptr<lookup>& request, const fleet::row_address& row,
                  std::function<void(const fleet::stored_row*)> found);
    // Answers with the job's state, unless the job belongs to another customer or queue.
    void answer(const std::shared_ptr<lookup>& request, const owner_job_status& found);
    void refuse_unreadable(const std::shared_ptr<lookup>& request, const fleet::row_address& row,
                           const std::string& error);
    void refuse_unknown(const std::shared_ptr<lookup>& request);
    void cancel_existing_job(const std::shared_ptr<lookup>& request, const fleet::stored_row& row);
    // Stores the cancellation of a job that has no row, so that a submission of it that arrives
    // later, at any daemon, is not accepted.
    void withdraw_job(const std::shared_ptr<lookup>& request);
    // Looks the job up again after a cancellation that was not confirmed.
    void retry_cancellation(const std::shared_ptr<lookup>& request);

    fleet::row_store& store_;
    const job_layout& layout_;
    fleet_view& view_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    fleet::store_limits limits_;
    submission_writer writer_;
    static constexpr std::int64_t accept_lines_per_second = 100;
    base::log_rate_limiter accepted_log_limiter_{"job_accepted", accept_lines_per_second};
    base::log_rate_limiter refused_log_limiter_{"job_refused", accept_lines_per_second};
    static constexpr std::int64_t waiting_lines_per_second = 20;
    base::log_rate_limiter waiting_log_limiter_{"waiting_told", waiting_lines_per_second};
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
