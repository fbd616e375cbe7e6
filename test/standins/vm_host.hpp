// One simulated VM on the network: the agent behind its own port, with faults to order.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/platform/delayed_calls.hpp>

#include "judge.hpp"
#include "vm_agent.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cranberrydock::standins {

// Where the VM stands.
struct vm_location {
    base::region_name region;
    base::zone_name zone;
    base::rack_name rack;
};

enum class vm_voice {
    speaks,
    silent,         // takes no command and answers nothing; its tasks run on
    loses_answers,  // takes commands and answers nothing
};

// Use and destroy on `loop`'s thread.
class vm_host final : public net::http_handler {
public:
    vm_host(net::event_loop& loop, const base::clock& clock, judge& log,
            const vm_settings& settings, vm_location location, const net::endpoint& listen);

    void handle(net::http_request request, net::http_responder respond) override;

    // Frozen like a stopped machine: commands wait, and are carried out after unfreeze().
    void freeze();
    void unfreeze();
    void set_voice(vm_voice voice) { voice_ = voice; }
    // Each command takes effect so much later, and its answer leaves so much later still.
    void set_delay(base::milliseconds command, base::milliseconds answer);
    // Gone: connections are refused, tasks are lost.
    void kill();
    // A new incarnation at the same address, also after kill().
    void replace();
    void leave();
    void set_fails_everything(bool fails) { agent_.set_fails_everything(fails); }
    void start_rogue(const base::task_id& task, const base::resources& uses);

    const base::vm_id& id() const { return agent_.settings().id; }
    const vm_location& location() const { return location_; }
    const net::endpoint& address() const { return address_; }
    const vm_agent& agent() const { return agent_; }
    bool alive() const { return server_ != nullptr; }
    bool leaving() const { return left_at_.has_value(); }
    // How long after leave() the last start command came; 0 when none did.
    base::milliseconds last_start_after_leave() const { return last_start_after_leave_; }

private:
    struct held_command {
        platform::vm_command command;
        net::http_responder respond;
    };

    void listen(const net::endpoint& where);
    void take(const platform::vm_command& command, const net::http_responder& respond);
    void answer(const platform::vm_reply& reply, const net::http_responder& respond);
    void note_start_after_leave(const platform::vm_command& command);
    void arm();

    net::event_loop& loop_;
    const base::clock& clock_;
    vm_agent agent_;
    vm_location location_;
    net::endpoint address_;
    vm_voice voice_ = vm_voice::speaks;
    base::milliseconds command_delay_{0};
    base::milliseconds answer_delay_{0};
    bool frozen_ = false;
    std::optional<base::time_point> left_at_;
    base::milliseconds last_start_after_leave_{0};
    std::vector<held_command> held_;  // while frozen
    std::unique_ptr<net::timer> due_;
    platform::delayed_calls calls_;
    std::unique_ptr<net::http_server> server_;  // null once killed
};

}  // namespace cranberrydock::standins
