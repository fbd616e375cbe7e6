// Callers that send one request after the other, each to an entry that reports itself ready, as
// behind the users' load balancer.
#pragma once

#include "cell_cluster.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::standins {

class continuous_callers {
public:
    // Returns the work of a caller's n-th request. The class sets the expected answer, a different
    // one for each request.
    using work_maker = std::function<work_request(int caller, int n)>;

    // Uses only the entries of `daemons` with these indices. `daemons` must outlive it.
    continuous_callers(const cell_cluster& daemons, std::vector<std::size_t> entries, int callers,
                       work_maker make_work);
    ~continuous_callers();
    continuous_callers(const continuous_callers&) = delete;
    continuous_callers& operator=(const continuous_callers&) = delete;

    // Waits for the open requests and sends no more.
    void stop();

    int answered_count() const { return answered_; }
    // One line for each request that did not get its expected answer.
    std::vector<std::string> failures() const;

private:
    void run(int caller);
    void send(int caller, int n, std::size_t entry);

    const cell_cluster& daemons_;
    const std::vector<std::size_t> entries_;
    const work_maker make_work_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> answered_{0};
    mutable std::mutex failures_mutex_;
    std::vector<std::string> failures_;
    std::vector<std::thread> threads_;
};

}  // namespace cranberrydock::standins
