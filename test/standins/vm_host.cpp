// One simulated VM on the network.
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

vm_host::vm_host(net::event_loop& loop, const base::clock& clock, judge& log,
                 const vm_settings& settings, vm_location location, const net::endpoint& listen)
    : loop_(loop),
      clock_(clock),
      agent_(settings, log, clock.now()),
      location_(std::move(location)),
      calls_(loop) {
    this->listen(listen);
}

void vm_host::listen(const net::endpoint& where) {
    net::http_server_limits limits;
    limits.max_body = max_body;
    server_ = std::make_unique<net::http_server>(loop_, where, limits, *this);
    address_ = server_->listening_on();
}

void vm_host::handle(net::http_request request, net::http_responder respond) {
    if (request.method != net::http_method::post || request.path != platform::vm_command_path) {
        respond({status_not_found, {}, "no such route: " + request.path});
        return;
    }
    if (voice_ == vm_voice::silent) {
        return;
    }
    const auto command = platform::decode_vm_command(request.body);
    if (!command) {
        respond({status_bad_request, {}, command.error().text()});
        return;
    }
    if (command_delay_ == base::milliseconds{0}) {
        take(*command, respond);
        return;
    }
    calls_.after(command_delay_, [this, command = *command, respond = std::move(respond)] {
        take(command, respond);
    });
}

void vm_host::take(const platform::vm_command& command, const net::http_responder& respond) {
    if (!alive()) {
        return;
    }
    if (frozen_) {
        held_.push_back({command, respond});
        return;
    }
    note_start_after_leave(command);
    agent_.handle(command, clock_.now(),
                  [this, respond](const platform::vm_reply& reply) { answer(reply, respond); });
    arm();
}

void vm_host::note_start_after_leave(const platform::vm_command& command) {
    if (left_at_ && std::holds_alternative<platform::start_command>(command.body)) {
        last_start_after_leave_ =
            std::chrono::duration_cast<base::milliseconds>(clock_.now() - *left_at_);
    }
}

void vm_host::answer(const platform::vm_reply& reply, const net::http_responder& respond) {
    if (voice_ != vm_voice::speaks) {
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

// One timer for whatever the agent has to do next.
void vm_host::arm() {
    due_.reset();
    const auto at = agent_.next_event();
    if (!at || !alive()) {
        return;
    }
    const auto delay = std::max(*at - clock_.now(), base::duration{0});
    due_ = loop_.after(delay, [this] {
        agent_.advance(clock_.now());
        arm();
    });
}

void vm_host::freeze() {
    frozen_ = true;
    agent_.freeze(clock_.now());
    arm();
}

void vm_host::unfreeze() {
    frozen_ = false;
    agent_.unfreeze(clock_.now());
    std::vector<held_command> held;
    held.swap(held_);
    for (const auto& it : held) {
        take(it.command, it.respond);
    }
    arm();
}

void vm_host::set_delay(base::milliseconds command, base::milliseconds answer) {
    command_delay_ = command;
    answer_delay_ = answer;
}

void vm_host::kill() {
    server_.reset();
    held_.clear();
    frozen_ = false;
    left_at_.reset();
    last_start_after_leave_ = base::milliseconds{0};
    agent_.replace(clock_.now());
    arm();
}

void vm_host::replace() {
    kill();
    listen(address_);
}

void vm_host::leave() {
    left_at_ = clock_.now();
    agent_.set_leaving(clock_.now());
    arm();
}

void vm_host::start_rogue(const base::task_id& task, const base::resources& uses) {
    agent_.start_rogue(task, uses, clock_.now());
    arm();
}

}  // namespace cranberrydock::standins
