// The callers of a soak: each keeps its connections open, submits jobs, queries their states and
// the number of waiting jobs, cancels some jobs and submits some again to another daemon. The
// answers are recorded and compared with what the VMs ran.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/work.hpp>
#include <cranberrydock/net/http.hpp>

#include "standins/platform_site.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::soak {

// What callers sent and received about one job.
struct job_record {
    int tasks = 0;
    bool accepted = false;
    bool outcome_unknown = false;  // an attempt got no answer, or an answer without an outcome
    bool cancel_sent = false;
    bool cancel_confirmed = false;
    std::string final_state;  // the first final state that was reported
    bool started = false;     // a task had started when the VMs were last checked
    base::time_point accepted_at{};
};

struct answer {
    int status = 0;  // 0: no answer
    bool readable = false;
    std::string state;
    std::optional<std::int64_t> waiting;
};

// Where the checker looks up what really happened.
struct evidence_sources {
    std::function<standins::platform_site::job_counts(const fleet::job_id&)> facts_of;
    // True if the daemon could reach the store and its callers at all times since `since`.
    std::function<bool(int daemon, base::time_point since)> in_touch;
};

// Records the jobs of all callers and checks the answers about them: an answer that contradicts the
// record or the VMs is a breach. Thread-safe.
class answer_checker {
public:
    explicit answer_checker(evidence_sources sources) : sources_(std::move(sources)) {}

    // Called before the job is submitted for the first time.
    void record_job(const fleet::job_id& job, int tasks);
    void check_submission(const fleet::job_id& job, const answer& response);
    void record_cancel(const fleet::job_id& job);
    // Checks the answer to a state query or a cancellation; `sent` is when the request was sent.
    void check_status(const fleet::job_id& job, const answer& response, bool cancel,
                      base::time_point sent);
    // Checks the answer about a job that was never submitted.
    void check_unknown(const fleet::job_id& job, const answer& response);
    // Checks the number of waiting jobs that the daemon reports.
    void check_queue(int daemon, const answer& response, base::time_point sent);

    std::map<fleet::job_id, job_record> jobs() const;
    std::vector<std::string> breaches() const;

private:
    void add_job_violation(const fleet::job_id& job, const std::string& what);
    // Adds the wall-clock time, to find the place in the daemons' logs.
    void add_violation(const std::string& what);

    const evidence_sources sources_;
    mutable std::mutex mutex_;
    base::monotonic_clock clock_;
    std::map<fleet::job_id, job_record> jobs_;
    std::vector<std::string> breaches_;
};

// An HTTP client that blocks in call() and keeps its connections open between requests.
class job_client {
public:
    job_client();
    ~job_client();
    job_client(const job_client&) = delete;
    job_client& operator=(const job_client&) = delete;
    answer call(const net::endpoint& server, net::http_method method, const std::string& path,
                const std::string& body, const std::string& key);

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Jobs of one task, which together may exceed the VMs' capacity. Each task needs `cores` cores.
struct overload {
    int jobs = 0;
    int cores = 1;
    int time_100ms = 0;  // of each task; 0: as the mix has it
};

enum class job_mix {
    small,  // up to two steps of up to four short tasks
    site,   // also steps of a dozen tasks of several seconds, and gangs
};

// Callers on threads of their own, from the constructor until stop().
class clients {
public:
    clients(answer_checker& checker, std::vector<net::endpoint> daemons, int count,
            std::uint32_t seed, job_mix mix);
    ~clients();
    clients(const clients&) = delete;
    clients& operator=(const clients&) = delete;

    // The API key of all requests from now on.
    void set_key(const std::string& key);
    // The callers submit these jobs before anything else, without pauses.
    void add_overload(const overload& extra);
    bool has_submitted_overload() const;
    void stop();

private:
    void run(int number);
    void submit(job_client& client, const fleet::job_id& job, const std::string& body,
                std::size_t& home);
    std::optional<overload> take_overload_job();
    std::string key() const;

    answer_checker& checker_;
    const std::vector<net::endpoint> daemons_;
    const std::uint32_t seed_;
    const job_mix mix_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::string key_ = "k";
    overload overload_;  // jobs still to be submitted
    std::vector<std::thread> threads_;
};

// True if every run of the job's tasks is to fail. The id encodes it, so that the VMs' stand-ins
// can apply it too.
bool always_fails(const fleet::job_id& job);
// How the job's tasks behave: the id encodes their time and the size of their gang.
standins::task_behavior behavior_of(const fleet::job_id& job);

}  // namespace cranberrydock::soak
