// One plain HTTP runner: a few slots, a bounded number of open requests, no leases and no fencing.
// It runs every request that it receives, repeated ones too.
//
//   POST /run   X-Request-Id, X-Repeatable; the body as in simulated_work.hpp
//     200 with X-Answer-Digest    the request ran
//     422 with the message        the request ran and failed
//     503                         the request did not run: too many open requests
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/platform/delayed_calls.hpp>

#include "run_checker.hpp"
#include "simulated_work.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace cranberrydock::standins {

struct runner_settings {
    base::vm_id id;
    base::slot_count slots{8};  // requests that run concurrently; further ones wait
    std::size_t max_open = 60;  // requests that run or wait; further ones are refused
};

// `checker` and `clock` must outlive it. Use and destroy on the loop's thread.
class runner_host final : public net::http_handler {
public:
    runner_host(net::event_loop& loop, const base::clock& clock, run_checker& checker,
                const runner_settings& settings, const net::endpoint& listen);

    void handle(net::http_request request, net::http_responder respond) override;

    // While silent, runs requests but does not answer them.
    void set_unresponsive(bool silent) { unresponsive_ = silent; }
    void set_fails_everything(bool fails) { fails_everything_ = fails; }
    void leave() { left_at_ = clock_.now(); }
    // The process is gone: connections are refused, open requests are lost.
    void kill();
    // Kills it and starts it again at the same address.
    void replace();

    const runner_settings& settings() const { return settings_; }
    const net::endpoint& address() const { return address_; }
    bool alive() const { return server_ != nullptr; }
    bool leaving() const { return left_at_.has_value(); }
    // Time from leave() to the last request; 0 if there was none.
    base::milliseconds last_request_after_leave() const { return last_request_after_leave_; }
    std::int64_t running() const { return running_; }

private:
    struct waiting_request {
        base::request_id id;
        bool repeatable = true;
        simulated_work work;
        net::http_responder respond;
    };

    void listen(const net::endpoint& listen_address);
    void start_next();
    checked_run checked_run_of(const waiting_request& request);
    void finish(const waiting_request& request, const checked_run& run);

    net::event_loop& loop_;
    const base::clock& clock_;
    run_checker& checker_;
    runner_settings settings_;
    net::endpoint address_;
    bool unresponsive_ = false;
    bool fails_everything_ = false;
    std::optional<base::time_point> left_at_;
    base::milliseconds last_request_after_leave_{0};
    std::int64_t starts_ = 0;
    std::int64_t running_ = 0;  // invariant: at most settings_.slots
    std::deque<waiting_request> waiting_;
    // Replaced by kill(), which drops all pending calls.
    std::unique_ptr<platform::delayed_calls> calls_;
    std::unique_ptr<net::http_server> server_;  // null once killed
};

}  // namespace cranberrydock::standins
