// Answers the VM protocol on behalf of plain HTTP runners.
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/platform/runner_vms.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::platform {
namespace {

constexpr std::size_t incarnation_bytes = 8;

task_end end_of(runner_error error) {
    switch (error) {
        case runner_error::not_sent:
        case runner_error::refused:
            return task_end::not_started;
        case runner_error::failed:
            return task_end::failed;
        case runner_error::answer_lost:
            return task_end::unknown;
    }
    return task_end::unknown;
}

}  // namespace

// One runner, as this process knows it.
class runner_vms::runner {
public:
    runner(runner_vms& all, const member& listed) : all_(all), began_(all.clock_.now()) {
        update(listed);
    }

    void update(const member& listed) {
        capacity_ = listed.capacity;
        address_ = listed.address;
        leaving_ = listed.state == member_state::leaving;
    }

    void handle(const vm_command& command, base::milliseconds timeout, vm_callback done) {
        if (command.epoch < epoch_) {
            answer(vm_verdict::lower_epoch, std::move(done));
            return;
        }
        if (epoch_ < command.epoch) {
            // The first owner ever has nobody's requests to wait for.
            settled_at_ = all_.clock_.now() + (command.epoch.value() > 1 && epoch_.value() == 0
                                                   ? all_.settings_.settling
                                                   : base::milliseconds{0});
            epoch_ = command.epoch;
        }
        std::visit([this, timeout, &done](const auto& body) { take(body, timeout, done); },
                   command.body);
    }

private:
    struct watch {
        report_number after;
        vm_callback done;
        std::unique_ptr<net::timer> deadline;
    };

    void take(const hello_command& /*body*/, base::milliseconds /*timeout*/, vm_callback& done) {
        answer(vm_verdict::done, std::move(done));
    }

    void take(const start_command& body, base::milliseconds /*timeout*/, vm_callback& done) {
        answer(start(body), std::move(done));
    }

    void take(const watch_command& body, base::milliseconds /*timeout*/, vm_callback& done) {
        for (const auto& it : body.acknowledge) {
            finished_.erase(it);
        }
        const bool news = body.after < news_ || body.wait.count() == 0;
        if (body.incarnation != incarnation_ || news) {
            answer(
                body.incarnation == incarnation_ ? vm_verdict::done : vm_verdict::other_incarnation,
                std::move(done));
            return;
        }
        watch one;
        one.after = body.after;
        one.done = std::move(done);
        one.deadline = all_.loop_.after(body.wait, [this] { answer_watches(); });
        watches_.push_back(std::move(one));
    }

    // A runner can't be told to stop; what it answers then is of no use any more.
    void take(const stop_command& body, base::milliseconds /*timeout*/, vm_callback& done) {
        stopped_.push_back(body.attempt);
        answer(vm_verdict::done, std::move(done));
    }

    void take(const checkpoint_command& /*body*/, base::milliseconds /*timeout*/,
              vm_callback& done) {
        answer(vm_verdict::done, std::move(done));
    }

    void take(const throttle_command& /*body*/, base::milliseconds /*timeout*/, vm_callback& done) {
        answer(vm_verdict::done, std::move(done));
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
        base::resources all = body.reserve;
        for (const auto& it : running_) {
            all += it.second.reserved;
        }
        if (!fits(all, room())) {
            return vm_verdict::does_not_fit;
        }
        running_[body.attempt] = {body.attempt, body.task,    body.team,
                                  body.reserve, body.reserve, {}};
        run(body);
        return vm_verdict::done;
    }

    void run(const start_command& body) {
        std::weak_ptr<runner*> self = self_;
        const base::time_point begun = all_.clock_.now();
        all_.runners_.run(address_,
                          {base::request_id(body.task.str()), body.repeatable, body.payload},
                          all_.settings_.request_timeout,
                          [self, attempt = body.attempt, begun](const runner_result& result) {
                              if (const auto one = self.lock()) {
                                  (*one)->ended(attempt, begun, result);
                              }
                          });
    }

    void ended(const base::attempt_id& attempt, base::time_point begun,
               const runner_result& result) {
        const auto it = running_.find(attempt);
        if (it == running_.end()) {
            return;
        }
        finished_task end;
        end.attempt = attempt;
        end.task = it->second.task;
        end.team = it->second.team;
        end.peak_usage = it->second.reserved;
        end.ran_for = std::chrono::duration_cast<base::milliseconds>(all_.clock_.now() - begun);
        running_.erase(it);
        const bool stopped = std::find(stopped_.begin(), stopped_.end(), attempt) != stopped_.end();
        end.end = result ? task_end::completed : end_of(result.error().error);
        end.answer = result ? result->content : result.error().detail;
        if (stopped && end.end == task_end::completed) {
            end.end = task_end::stopped;
        }
        end.answer_digest = base::sha256_hex(end.answer);
        finished_[attempt] = std::move(end);
        news_ = number_.next();
        answer_watches();
    }

    base::resources room() const {
        return all_.clock_.now() < settled_at_ ? base::resources{} : capacity_;
    }

    void answer_watches() {
        std::vector<watch> all;
        all.swap(watches_);
        for (auto& it : all) {
            // The timer in hand may be the one that called; it dies one turn later.
            const std::shared_ptr<net::timer> timer = std::move(it.deadline);
            answer(vm_verdict::done, std::move(it.done));
            all_.loop_.post([timer] {});
        }
    }

    void answer(vm_verdict verdict, vm_callback done) {
        vm_reply out;
        out.verdict = verdict;
        number_ = number_.next();
        out.report.incarnation = incarnation_;
        out.report.number = number_;
        out.report.epoch = epoch_;
        out.report.now = vm_time((all_.clock_.now() - began_).count());
        out.report.capacity = room();
        out.report.leaving = leaving_;
        for (const auto& it : running_) {
            out.report.running.push_back(it.second);
            // A runner has no leases: what runs there runs until it ends.
            out.report.running.back().lease_until = out.report.now;
        }
        for (const auto& it : finished_) {
            out.report.finished.push_back(it.second);
        }
        all_.loop_.post([done = std::move(done), out = std::move(out)] { done(out); });
    }

    runner_vms& all_;
    net::endpoint address_;
    base::resources capacity_;
    bool leaving_ = false;
    const base::time_point began_;
    base::time_point settled_at_{};
    const base::incarnation_id incarnation_{base::random_hex(incarnation_bytes)};
    base::epoch epoch_{0};
    report_number number_{0};  // of the last report
    report_number news_{0};    // the first report that tells of the last end
    std::map<base::attempt_id, running_task> running_;
    std::map<base::attempt_id, finished_task> finished_;
    std::vector<base::attempt_id> stopped_;
    std::vector<watch> watches_;
    // Answers that come after this runner is gone find it so.
    std::shared_ptr<runner*> self_ = std::make_shared<runner*>(this);
};

runner_vms::runner_vms(vm_client& workers, runner_client& runners, net::event_loop& loop,
                       const base::clock& clock, const runner_vms_settings& settings)
    : workers_(workers), runners_(runners), loop_(loop), clock_(clock), settings_(settings) {}

runner_vms::~runner_vms() = default;

void runner_vms::set_members(const std::vector<member>& members) {
    for (const auto& it : members) {
        if (it.role != member_role::runner) {
            continue;
        }
        auto& one = by_address_[it.address];
        if (one) {
            one->update(it);
        } else {
            one = std::make_unique<runner>(*this, it);
        }
    }
}

void runner_vms::send(const net::endpoint& vm, vm_command command, base::milliseconds timeout,
                      vm_callback done) {
    const auto it = by_address_.find(vm);
    if (it == by_address_.end()) {
        workers_.send(vm, std::move(command), timeout, std::move(done));
        return;
    }
    it->second->handle(command, timeout, std::move(done));
}

}  // namespace cranberrydock::platform
