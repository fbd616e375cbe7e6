// Answers the VM protocol on behalf of plain HTTP runners.
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/platform/runner_vm_adapter.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::platform {
namespace {

constexpr std::size_t incarnation_bytes = 8;

task_completion task_end_of(runner_error error) {
    switch (error) {
        case runner_error::not_sent:
        case runner_error::refused:
            return task_completion::not_started;
        case runner_error::failed:
            return task_completion::failed;
        case runner_error::answer_lost:
            return task_completion::unknown;
    }
    return task_completion::unknown;
}

}  // namespace

// The state of one runner, as recorded from the requests of this process.
class runner_vm_adapter::runner {
public:
    runner(runner_vm_adapter& adapter, const member& listing)
        : adapter_(adapter), created_at_(adapter.clock_.now()) {
        update(listing);
    }

    void update(const member& listing) {
        capacity_ = listing.capacity;
        address_ = listing.address;
        leaving_ = listing.state == member_state::leaving;
    }

    void handle(const vm_command& command, base::milliseconds timeout, vm_callback done) {
        if (command.epoch < epoch_) {
            send_reply(vm_verdict::lower_epoch, std::move(done));
            return;
        }
        if (epoch_ < command.epoch) {
            // The first owner of a cell has no previous owner whose requests could still be
            // running.
            settled_at_ = adapter_.clock_.now() + (command.epoch.value() > 1 && epoch_.value() == 0
                                                       ? adapter_.settings_.settling_time
                                                       : base::milliseconds{0});
            epoch_ = command.epoch;
        }
        std::visit([this, timeout, &done](const auto& body) { handle_body(body, timeout, done); },
                   command.body);
    }

private:
    struct pending_watch {
        report_number after;
        vm_callback done;
        std::unique_ptr<net::timer> deadline;
    };

    void handle_body(const hello_command& /*body*/, base::milliseconds /*timeout*/,
                     vm_callback& done) {
        send_reply(vm_verdict::done, std::move(done));
    }

    void handle_body(const start_command& body, base::milliseconds /*timeout*/, vm_callback& done) {
        send_reply(start(body), std::move(done));
    }

    void handle_body(const watch_command& body, base::milliseconds /*timeout*/, vm_callback& done) {
        for (const auto& it : body.acknowledge) {
            finished_.erase(it);
        }
        const bool reply_now = body.after < last_completion_report_ || body.wait.count() == 0;
        if (body.incarnation != incarnation_ || reply_now) {
            send_reply(
                body.incarnation == incarnation_ ? vm_verdict::done : vm_verdict::other_incarnation,
                std::move(done));
            return;
        }
        pending_watch pending;
        pending.after = body.after;
        pending.done = std::move(done);
        pending.deadline = adapter_.loop_.after(body.wait, [this] { answer_pending_watches(); });
        pending_watches_.push_back(std::move(pending));
    }

    // A runner cannot stop a request. An answer that arrives later counts as stopped, not
    // completed.
    void handle_body(const stop_command& body, base::milliseconds /*timeout*/, vm_callback& done) {
        stopped_.push_back(body.attempt);
        send_reply(vm_verdict::done, std::move(done));
    }

    void handle_body(const checkpoint_command& /*body*/, base::milliseconds /*timeout*/,
                     vm_callback& done) {
        send_reply(vm_verdict::done, std::move(done));
    }

    void handle_body(const throttle_command& /*body*/, base::milliseconds /*timeout*/,
                     vm_callback& done) {
        send_reply(vm_verdict::done, std::move(done));
    }

    vm_verdict start(const start_command& body) {
        if (body.incarnation != incarnation_) {
            return vm_verdict::other_incarnation;
        }
        const bool seen = running_.count(body.attempt) > 0 || finished_.count(body.attempt) > 0;
        if (seen) {
            return vm_verdict::done;
        }
        if (leaving_) {
            return vm_verdict::leaving;
        }
        base::resources total = body.reserve;
        for (const auto& it : running_) {
            total += it.second.reserved;
        }
        if (!fits(total, offered_capacity())) {
            return vm_verdict::does_not_fit;
        }
        running_[body.attempt] = {body.attempt, body.task,    body.team,
                                  body.reserve, body.reserve, {}};
        run(body);
        return vm_verdict::done;
    }

    void run(const start_command& body) {
        std::weak_ptr<runner*> self = self_;
        const base::time_point started_at = adapter_.clock_.now();
        adapter_.runners_.run(
            address_, {base::request_id(body.task.str()), body.repeatable, body.payload},
            adapter_.settings_.request_timeout,
            [self, attempt = body.attempt, started_at](const runner_result& result) {
                if (const auto locked = self.lock()) {
                    (*locked)->on_run_ended(attempt, started_at, result);
                }
            });
    }

    void on_run_ended(const base::attempt_id& attempt, base::time_point started_at,
                      const runner_result& result) {
        const auto it = running_.find(attempt);
        if (it == running_.end()) {
            return;
        }
        finished_task completion;
        completion.attempt = attempt;
        completion.task = it->second.task;
        completion.team = it->second.team;
        completion.peak_usage = it->second.reserved;
        completion.ran_for =
            std::chrono::duration_cast<base::milliseconds>(adapter_.clock_.now() - started_at);
        running_.erase(it);
        const bool stopped = std::find(stopped_.begin(), stopped_.end(), attempt) != stopped_.end();
        completion.completion =
            result ? task_completion::completed : task_end_of(result.error().error);
        completion.answer = result ? result->content : result.error().detail;
        if (stopped && completion.completion == task_completion::completed) {
            completion.completion = task_completion::stopped;
        }
        completion.answer_digest = base::sha256_hex(completion.answer);
        finished_[attempt] = std::move(completion);
        last_completion_report_ = number_.next();
        answer_pending_watches();
    }

    base::resources offered_capacity() const {
        return adapter_.clock_.now() < settled_at_ ? base::resources{} : capacity_;
    }

    void answer_pending_watches() {
        std::vector<pending_watch> answered;
        answered.swap(pending_watches_);
        for (auto& it : answered) {
            // This may be the timer whose callback is running, so its destruction is posted to the
            // loop.
            const std::shared_ptr<net::timer> timer = std::move(it.deadline);
            send_reply(vm_verdict::done, std::move(it.done));
            adapter_.loop_.post([timer] {});
        }
    }

    void send_reply(vm_verdict verdict, vm_callback done) {
        vm_reply out;
        out.verdict = verdict;
        number_ = number_.next();
        out.report.incarnation = incarnation_;
        out.report.number = number_;
        out.report.epoch = epoch_;
        out.report.now = vm_time((adapter_.clock_.now() - created_at_).count());
        out.report.capacity = offered_capacity();
        out.report.leaving = leaving_;
        for (const auto& it : running_) {
            out.report.running.push_back(it.second);
            // A runner has no leases; a request runs until it ends.
            out.report.running.back().lease_until = out.report.now;
        }
        for (const auto& it : finished_) {
            out.report.finished.push_back(it.second);
        }
        adapter_.loop_.post([done = std::move(done), out = std::move(out)] { done(out); });
    }

    runner_vm_adapter& adapter_;
    net::endpoint address_;
    base::resources capacity_;
    bool leaving_ = false;
    const base::time_point created_at_;
    base::time_point settled_at_{};
    const base::incarnation_id incarnation_{base::random_hex(incarnation_bytes)};
    base::epoch epoch_{0};
    report_number number_{0};                  // of the last report
    report_number last_completion_report_{0};  // the first report with the latest completion
    std::map<base::attempt_id, running_task> running_;
    std::map<base::attempt_id, finished_task> finished_;
    std::vector<base::attempt_id> stopped_;
    std::vector<pending_watch> pending_watches_;
    // Callbacks hold a weak reference, so that answers are ignored after this object is destroyed.
    std::shared_ptr<runner*> self_ = std::make_shared<runner*>(this);
};

runner_vm_adapter::runner_vm_adapter(vm_client& workers, runner_client& runners,
                                     net::event_loop& loop, const base::clock& clock,
                                     const runner_vm_adapter_settings& settings)
    : workers_(workers), runners_(runners), loop_(loop), clock_(clock), settings_(settings) {}

runner_vm_adapter::~runner_vm_adapter() = default;

void runner_vm_adapter::set_members(const std::vector<member>& members) {
    for (const auto& it : members) {
        if (it.role != member_role::runner) {
            continue;
        }
        auto& known = by_address_[it.address];
        if (known) {
            known->update(it);
        } else {
            known = std::make_unique<runner>(*this, it);
        }
    }
}

void runner_vm_adapter::send(const net::endpoint& vm, vm_command command,
                             base::milliseconds timeout, vm_callback done) {
    const auto it = by_address_.find(vm);
    if (it == by_address_.end()) {
        workers_.send(vm, std::move(command), timeout, std::move(done));
        return;
    }
    it->second->handle(command, timeout, std::move(done));
}

}  // namespace cranberrydock::platform
