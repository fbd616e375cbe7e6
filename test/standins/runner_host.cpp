// Runs requests in the slots of one plain HTTP runner.
#include "runner_host.hpp"

#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/platform/runner_client.hpp>

#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_failed = 422;
constexpr int status_refused = 503;
constexpr base::byte_count max_body{64 * 1024 * 1024};

}  // namespace

runner_host::runner_host(net::event_loop& loop, const base::clock& clock, run_checker& checker,
                         const runner_settings& settings, const net::endpoint& listen)
    : loop_(loop),
      clock_(clock),
      checker_(checker),
      settings_(settings),
      calls_(std::make_unique<platform::delayed_calls>(loop)) {
    this->listen(listen);
}

void runner_host::listen(const net::endpoint& listen_address) {
    net::http_server_limits limits;
    limits.max_body = max_body;
    server_ = std::make_unique<net::http_server>(loop_, listen_address, limits, *this);
    address_ = server_->listen_endpoint();
}

void runner_host::handle(net::http_request request, net::http_responder respond) {
    if (request.method != net::http_method::post || request.path != platform::runner_path) {
        respond({status_not_found, {}, "no such route: " + request.path});
        return;
    }
    const base::request_id id(request.header(platform::runner_id_header));
    if (id.empty()) {
        respond({status_bad_request, {}, "expected the header X-Request-Id, found none"});
        return;
    }
    if (left_at_) {
        last_request_after_leave_ =
            std::chrono::duration_cast<base::milliseconds>(clock_.now() - *left_at_);
    }
    if (waiting_.size() + static_cast<std::size_t>(running_) >= settings_.max_open) {
        respond({status_refused, {}, "too many open requests; this one was not run"});
        return;
    }
    const bool repeatable = request.header(platform::runner_repeatable_header) != "false";
    waiting_.push_back({id, repeatable, parse_work(request.body), std::move(respond)});
    start_next();
}

checked_run runner_host::checked_run_of(const waiting_request& request) {
    checked_run out;
    out.vm = settings_.id;
    out.incarnation = base::incarnation_id(settings_.id.str());
    out.attempt = base::attempt_id(request.id.str() + "#" + std::to_string(++starts_));
    out.task = base::task_id(request.id.str());
    out.reserved.slots = base::slot_count(1);
    out.capacity.slots = settings_.slots;
    out.repeatable = request.repeatable;
    out.work_mark = request.work.mark;
    out.lease_until = base::time_point::max();  // a plain runner has no leases
    return out;
}

void runner_host::start_next() {
    while (!waiting_.empty() && running_ < settings_.slots.value()) {
        const waiting_request next = std::move(waiting_.front());
        waiting_.pop_front();
        ++running_;
        const checked_run run = checked_run_of(next);
        checker_.run_started(run, clock_.now());
        if (next.work.run_time) {
            calls_->after(*next.work.run_time, [this, next, run] { finish(next, run); });
        }
    }
}

void runner_host::finish(const waiting_request& request, const checked_run& run) {
    --running_;
    checker_.run_ended(run, clock_.now());
    if (!unresponsive_) {
        const bool fails = request.work.fails || fails_everything_;
        request.respond({fails ? status_failed : 200,
                         {{platform::runner_digest_header, base::sha256_hex(request.work.answer)}},
                         request.work.answer});
    }
    start_next();
}

void runner_host::kill() {
    server_.reset();
    waiting_.clear();
    running_ = 0;
    left_at_.reset();
    checker_.vm_lost(settings_.id);
    calls_ = std::make_unique<platform::delayed_calls>(loop_);
}

void runner_host::replace() {
    kill();
    listen(address_);
}

}  // namespace cranberrydock::standins
