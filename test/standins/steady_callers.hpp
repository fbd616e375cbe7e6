// Callers that send one request after the other, each to an entry that says it is ready, as behind
// the users' balancer.
#pragma once

#include "crew.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::standins {

class steady_callers {
public:
    // The work of a caller's n-th request; its answer is filled in here, a different one each time.
    using work_maker = std::function<call_work(int caller, int n)>;

    // Uses `daemons`' entries of these numbers only. `daemons` must outlive it.
    steady_callers(const crew& daemons, std::vector<std::size_t> entries, int callers,
                   work_maker make);
    ~steady_callers();
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    // Lets the open requests end and sends no more.
    void stop();

    int answered() const { return answered_; }
    // One line each, of the requests that got another answer than their own.
    std::vector<std::string> failures() const;

private:
    void run(int caller);
    void send(int caller, int n, std::size_t entry);

    const crew& daemons_;
    const std::vector<std::size_t> entries_;
    const work_maker make_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> answered_{0};
    mutable std::mutex guards_failures_;
    std::vector<std::string> failures_;
    std::vector<std::thread> threads_;
};

}  // namespace cranberrydock::standins
