// The callers of a soak: each has connections that it keeps open, submits jobs, asks what has
// become of them, cancels some and sends some again at another daemon. What they are told is
// written down.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/work.hpp>
#include <cranberrydock/net/http.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::soak {

// What callers were told of one job.
struct told {
    int tasks = 0;
    bool accepted = false;
    bool unclear = false;  // an attempt had no answer, or one that says so
    bool cancel_sent = false;
    bool cancel_confirmed = false;
    std::string final_state;  // the first that was shown
    base::time_point accepted_at{};
};

// Jobs, by all callers; what can't be is a breach.
class ledger {
public:
    void sent(const fleet::job_id& job, int tasks);
    void answered_submission(const fleet::job_id& job, int status);
    void sent_cancel(const fleet::job_id& job);
    // `status` and state of the answer to a question or a cancellation; `sent` is when it was sent.
    void answered_question(const fleet::job_id& job, int status, const std::string& state,
                           bool cancel, base::time_point sent);

    std::map<fleet::job_id, told> jobs() const;
    std::vector<std::string> breaches() const;

private:
    void breach(const fleet::job_id& job, const std::string& what);

    mutable std::mutex guard_;
    base::monotonic_clock clock_;
    std::map<fleet::job_id, told> jobs_;
    std::vector<std::string> breaches_;
};

struct answer {
    int status = 0;  // 0: none
    std::string state;
};

// Keeps its connections open between requests.
class caller {
public:
    caller();
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    answer ask(const net::endpoint& to, net::http_method method, const std::string& path,
               const std::string& body, const std::string& key);

private:
    struct state;
    std::unique_ptr<state> state_;
};

class clients {
public:
    clients(ledger& book, std::vector<net::endpoint> daemons, int count, std::uint32_t seed);
    ~clients();
    clients(const clients&) = delete;
    clients& operator=(const clients&) = delete;

    // The key that callers show from now on.
    void set_key(const std::string& key);
    void stop();

private:
    void run(int number);
    std::string key() const;

    ledger& book_;
    const std::vector<net::endpoint> daemons_;
    const std::uint32_t seed_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex guard_;
    std::string key_ = "k";
    std::vector<std::thread> threads_;
};

// Whether each run of the job's tasks fails; told by its id, so that the VMs know as well.
bool is_hopeless(const fleet::job_id& job);

}  // namespace cranberrydock::soak
