// One simulated VM on the network: a VM agent that serves its own port and simulates faults on
// request.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/platform/delayed_calls.hpp>

#include "run_checker.hpp"
#include "vm_agent.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cranberrydock::standins {

// The location of a VM in the platform.
struct vm_location {
    base::region_name region;
    base::zone_name zone;
    base::rack_name rack;
};

enum class vm_responsiveness {
    responsive,
    unresponsive,   // ignores commands; its tasks continue to run
    loses_answers,  // carries out commands but does not answer them
};

// `clock` and `checker` must outlive it. Use and destroy on `loop`'s thread.
class vm_host final : public net::http_handler {
public:
    vm_host(net::event_loop& loop, const base::clock& clock, run_checker& checker,
            const vm_settings& settings, vm_location location, const net::endpoint& listen);

    void handle(net::http_request request, net::http_responder respond) override;

    // Suspends the VM like a paused machine: commands wait, and unfreeze() carries them out.
    void suspend();
    void resume();
    void set_responsiveness(vm_responsiveness voice) { responsiveness_ = voice; }
    // Each command takes effect after `command`, and its answer is sent another `answer` later.
    void set_delay(base::milliseconds command, base::milliseconds answer);
    // The process is gone: connections are refused, tasks are lost.
    void kill();
    // Starts a new incarnation at the same address, also after kill().
    void replace();
    void leave();
    void set_fails_everything(bool fails) { agent_.set_fails_everything(fails); }
    // Runs a task that no owner has started.
    void start_rogue(const base::task_id& task, const base::resources& uses);

    const base::vm_id& id() const { return agent_.settings().id; }
    const vm_location& location() const { return location_; }
    const net::endpoint& address() const { return address_; }
    const vm_agent& agent() const { return agent_; }
    bool alive() const { return server_ != nullptr; }
    bool leaving() const { return left_at_.has_value(); }
    // Time from leave() to the last start command; 0 if there was none.
    base::milliseconds last_start_after_leave() const { return last_start_after_leave_; }

private:
    struct held_command {
        platform::vm_command command;
        net::http_responder respond;
    };

    void listen(const net::endpoint& listen_address);
    void carry_out(const platform::vm_command& command, const net::http_responder& respond);
    void answer(const platform::vm_reply& reply, const net::http_responder& respond);
    void record_start_after_leave(const platform::vm_command& command);
    void schedule_advance();

    net::event_loop& loop_;
    const base::clock& clock_;
    vm_agent agent_;
    vm_location location_;
    net::endpoint address_;
    vm_responsiveness responsiveness_ = vm_responsiveness::responsive;
    base::milliseconds command_delay_{0};
    base::milliseconds answer_delay_{0};
    bool suspended_ = false;
    std::optional<base::time_point> left_at_;
    base::milliseconds last_start_after_leave_{0};
    std::vector<held_command> held_commands_;  // while suspended
    std::unique_ptr<net::timer> advance_timer_;
    platform::delayed_calls calls_;
    std::unique_ptr<net::http_server> server_;  // null once killed
};

}  // namespace cranberrydock::standins
