// Serves the commands of one simulated VM.
#include "vm_host.hpp"

#include <cranberrydock/platform/vm_codec.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr base::byte_count max_body{64 * 1024 * 1024};
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

}  // namespace

vm_host::vm_host(net::event_loop& loop, const base::clock& clock, run_checker& checker,
                 const vm_settings& settings, vm_location location, const net::endpoint& listen)
    : loop_(loop),
      clock_(clock),
      agent_(settings, checker, clock.now()),
      location_(std::move(location)),
      calls_(loop) {
    this->listen(listen);
}

void vm_host::listen(const net::endpoint& listen_address) {
    net::http_server_limits limits;
    limits.max_body = max_body;
    server_ = std::make_unique<net::http_server>(loop_, listen_address, limits, *this);
    address_ = server_->listen_endpoint();
}

void vm_host::handle(net::http_request request, net::http_responder respond) {
    if (request.method != net::http_method::post || request.path != platform::vm_command_path) {
        respond({status_not_found, {}, "no such route: " + request.path});
        return;
    }
    if (responsiveness_ == vm_responsiveness::unresponsive) {
        return;
    }
    const auto command = platform::decode_vm_command(request.body);
    if (!command) {
        respond({status_bad_request, {}, command.error().text()});
        return;
    }
    if (command_delay_ == base::milliseconds{0}) {
        carry_out(*command, respond);
        return;
    }
    calls_.after(command_delay_, [this, command = *command, respond = std::move(respond)] {
        carry_out(command, respond);
    });
}

void vm_host::carry_out(const platform::vm_command& command, const net::http_responder& respond) {
    if (!alive()) {
        return;
    }
    if (suspended_) {
        held_commands_.push_back({command, respond});
        return;
    }
    record_start_after_leave(command);
    agent_.handle(command, clock_.now(),
                  [this, respond](const platform::vm_reply& reply) { answer(reply, respond); });
    schedule_advance();
}

void vm_host::record_start_after_leave(const platform::vm_command& command) {
    if (left_at_ && std::holds_alternative<platform::start_command>(command.body)) {
        last_start_after_leave_ =
            std::chrono::duration_cast<base::milliseconds>(clock_.now() - *left_at_);
    }
}

void vm_host::answer(const platform::vm_reply& reply, const net::http_responder& respond) {
    if (responsiveness_ != vm_responsiveness::responsive) {
        return;
    }
    net::http_response response{
        200, {{"Content-Type", "application/cbor"}}, platform::encode(reply)};
    if (answer_delay_ == base::milliseconds{0}) {
        respond(std::move(response));
        return;
    }
    calls_.after(answer_delay_, [respond, response = std::move(response)] { respond(response); });
}

// Sets one timer for the agent's next event.
void vm_host::schedule_advance() {
    advance_timer_.reset();
    const auto at = agent_.next_event();
    if (!at || !alive()) {
        return;
    }
    const auto delay = std::max(*at - clock_.now(), base::duration{0});
    advance_timer_ = loop_.after(delay, [this] {
        agent_.advance(clock_.now());
        schedule_advance();
    });
}

void vm_host::suspend() {
    suspended_ = true;
    agent_.suspend(clock_.now());
    schedule_advance();
}

void vm_host::resume() {
    suspended_ = false;
    agent_.resume(clock_.now());
    std::vector<held_command> held;
    held.swap(held_commands_);
    for (const auto& it : held) {
        carry_out(it.command, it.respond);
    }
    schedule_advance();
}

void vm_host::set_delay(base::milliseconds command, base::milliseconds answer) {
    command_delay_ = command;
    answer_delay_ = answer;
}

void vm_host::kill() {
    server_.reset();
    held_commands_.clear();
    suspended_ = false;
    left_at_.reset();
    last_start_after_leave_ = base::milliseconds{0};
    agent_.replace(clock_.now());
    schedule_advance();
}

void vm_host::replace() {
    kill();
    listen(address_);
}

void vm_host::leave() {
    left_at_ = clock_.now();
    agent_.set_leaving(clock_.now());
    schedule_advance();
}

void vm_host::start_rogue(const base::task_id& task, const base::resources& uses) {
    agent_.start_rogue(task, uses, clock_.now());
    schedule_advance();
}

}  // namespace cranberrydock::standins
