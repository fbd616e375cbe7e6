// One simulated worker VM.
#include "vm_agent.hpp"

#include <cranberrydock/base/check.hpp>
#include <cranberrydock/base/digest.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {

using platform::task_end;
using platform::vm_verdict;

namespace {

constexpr base::milliseconds failing_run_time{1};

// The incarnation that a command was meant for; a hello is meant for any.
struct incarnation_of {
    std::optional<base::incarnation_id> operator()(const platform::hello_command& /*it*/) const {
        return std::nullopt;
    }
    template <typename Command>
    std::optional<base::incarnation_id> operator()(const Command& it) const {
        return it.incarnation;
    }
};

}  // namespace

// Carries out a command that passed the checks of epoch and incarnation.
struct vm_agent::command_visitor {
    vm_agent& agent;
    base::epoch epoch;
    base::time_point now;
    reply_callback& reply;

    void answer(vm_verdict verdict) const { reply(agent.reply_of(verdict, now)); }

    void operator()(const platform::hello_command& /*what*/) const { answer(vm_verdict::done); }
    void operator()(const platform::start_command& what) const {
        answer(agent.start(what, epoch, now));
    }
    void operator()(const platform::stop_command& what) const {
        agent.stop(what, now);
        answer(vm_verdict::done);
    }
    void operator()(const platform::checkpoint_command& /*what*/) const {
        answer(vm_verdict::done);
    }
    void operator()(const platform::throttle_command& what) const {
        agent.throttle(what);
        answer(vm_verdict::done);
    }
    void operator()(const platform::watch_command& what) const {
        const vm_verdict verdict = agent.renew(what, now);
        const bool may_wait = what.wait > base::milliseconds{0} && agent.news_ <= what.after;
        if (verdict != vm_verdict::done || !may_wait) {
            answer(verdict);
            return;
        }
        agent.watches_.push_back({what.after, epoch, now + what.wait, std::move(reply)});
    }
};

vm_agent::vm_agent(vm_settings settings, judge& log, base::time_point now)
    : settings_(std::move(settings)), judge_(log) {
    begin_incarnation(now);
}

void vm_agent::begin_incarnation(base::time_point now) {
    ++boots_;
    began_ = now;
    incarnation_ = base::incarnation_id(settings_.id.str() + "." + std::to_string(boots_) + "." +
                                        std::to_string(now.time_since_epoch().count()));
    epoch_ = base::epoch{0};
    number_ = news_ = platform::report_number{0};
    leaving_ = false;
    frozen_since_.reset();
}

void vm_agent::handle(const platform::vm_command& command, base::time_point now,
                      reply_callback reply) {
    CRANBERRYDOCK_CHECK(!frozen_since_, "expected no command while the VM is frozen");
    advance(now);
    if (command.epoch < epoch_) {
        reply(reply_of(vm_verdict::lower_epoch, now));
        return;
    }
    const auto meant = std::visit(incarnation_of{}, command.body);
    if (meant && *meant != incarnation_) {
        reply(reply_of(vm_verdict::other_incarnation, now));
        return;
    }
    epoch_ = command.epoch;
    answer_watches(now);  // those of lower epochs end here
    std::visit(command_visitor{*this, command.epoch, now, reply}, command.body);
    answer_watches(now);
}

vm_verdict vm_agent::start(const platform::start_command& what, base::epoch epoch,
                           base::time_point now) {
    const auto known = seen_.find(what.attempt);
    if (known != seen_.end()) {
        if (known->second == attempt_fate::stopped_before_start) {
            known->second = attempt_fate::started;
            keep_finished({what.attempt, what.task, what.team, task_end::stopped, "", "", {}, {}});
        }
        return vm_verdict::done;
    }
    if (leaving_) {
        return vm_verdict::leaving;
    }
    if (time_of(what.lease_until) <= now) {
        return vm_verdict::lease_passed;
    }
    if (!base::fits(reserved() + what.reserve, settings_.capacity)) {
        return vm_verdict::does_not_fit;
    }
    run one;
    one.work = read_work(what.payload);
    if (fails_everything_) {
        one.work.fails = true;
        one.work.answer = "this VM fails everything that it starts";
        one.work.runs_for = failing_run_time;
    }
    one.judged = {settings_.id,  incarnation_,
                  what.attempt,  what.task,
                  what.reserve,  settings_.capacity,
                  epoch,         what.repeatable,
                  one.work.mark, time_of(what.lease_until)};
    one.team = what.team;
    one.started = now;
    if (one.work.runs_for) {
        one.ends = now + *one.work.runs_for;
    }
    judge_.started(one.judged, now);
    seen_[what.attempt] = attempt_fate::started;
    running_.emplace(what.attempt, std::move(one));
    return vm_verdict::done;
}

vm_verdict vm_agent::renew(const platform::watch_command& what, base::time_point now) {
    const auto until = time_of(what.lease_until);
    if (!what.renew.empty() && until <= now) {
        return vm_verdict::lease_passed;
    }
    for (const auto& attempt : what.renew) {
        const auto it = running_.find(attempt);
        if (it != running_.end()) {
            auto& lease = it->second.judged.lease_until;
            lease = std::max(lease, until);  // a command that was delayed does not shorten it
            judge_.renewed(it->second.judged);
        }
    }
    for (const auto& attempt : what.acknowledge) {
        finished_.erase(attempt);
    }
    return vm_verdict::done;
}

void vm_agent::stop(const platform::stop_command& what, base::time_point now) {
    if (running_.count(what.attempt) != 0) {
        end(what.attempt, task_end::stopped, now);
        return;
    }
    // A start that is still on its way must not run after its stop.
    seen_.emplace(what.attempt, attempt_fate::stopped_before_start);
}

void vm_agent::throttle(const platform::throttle_command& what) {
    const auto it = running_.find(what.attempt);
    if (it != running_.end()) {
        it->second.throttled_to = what.cores;
    }
}

void vm_agent::advance(base::time_point now) {
    if (frozen_since_) {
        return;
    }
    end_due_runs(now);
    answer_watches(now);
}

// Ends what is due: a task whose end lies before its lease's end has completed, however late this
// call comes.
void vm_agent::end_due_runs(base::time_point now) {
    std::vector<base::attempt_id> completed;
    std::vector<base::attempt_id> lapsed;
    for (const auto& it : running_) {
        const run& one = it.second;
        const bool has_lease = !one.rogue;
        if (one.ends && *one.ends <= now && (!has_lease || *one.ends <= one.judged.lease_until)) {
            completed.push_back(it.first);
        } else if (has_lease && one.judged.lease_until <= now) {
            lapsed.push_back(it.first);
        }
    }
    for (const auto& it : completed) {
        const run& one = running_.at(it);
        end(it, one.work.fails ? task_end::failed : task_end::completed, *one.ends);
    }
    for (const auto& it : lapsed) {
        end(it, task_end::lease_lapsed, running_.at(it).judged.lease_until);
    }
}

void vm_agent::end(const base::attempt_id& attempt, task_end how, base::time_point at) {
    const run one = std::move(running_.at(attempt));
    running_.erase(attempt);
    if (!one.rogue) {
        judge_.ended(one.judged, at);
    }
    platform::finished_task out;
    out.attempt = attempt;
    out.task = one.judged.task;
    out.team = one.team;
    out.end = how;
    if (how == task_end::completed || how == task_end::failed) {
        out.answer = one.work.answer;
    }
    out.ran_for = std::chrono::duration_cast<base::milliseconds>(at - one.started);
    out.peak_usage = usage_of(one);
    keep_finished(std::move(out));
}

void vm_agent::keep_finished(platform::finished_task task) {
    task.answer_digest = base::sha256_hex(task.answer);
    finished_[task.attempt] = std::move(task);
    note_news();
}

void vm_agent::note_news() {
    news_ = number_.next();
}

void vm_agent::answer_watches(base::time_point now) {
    std::vector<watch> waiting;
    waiting.swap(watches_);
    for (auto& it : waiting) {
        if (it.epoch < epoch_) {
            it.reply(reply_of(vm_verdict::lower_epoch, now));
        } else if (news_ > it.after || it.deadline <= now) {
            it.reply(reply_of(vm_verdict::done, now));
        } else {
            watches_.push_back(std::move(it));
        }
    }
}

std::optional<base::time_point> vm_agent::next_event() const {
    std::optional<base::time_point> out;
    const auto consider = [&out](base::time_point at) { out = out ? std::min(*out, at) : at; };
    if (frozen_since_) {
        return out;
    }
    for (const auto& it : running_) {
        if (it.second.ends) {
            consider(*it.second.ends);
        }
        if (!it.second.rogue) {
            consider(it.second.judged.lease_until);
        }
    }
    for (const auto& it : watches_) {
        consider(it.deadline);
    }
    return out;
}

void vm_agent::freeze(base::time_point now) {
    advance(now);
    if (!frozen_since_) {
        frozen_since_ = now;
    }
}

void vm_agent::unfreeze(base::time_point now) {
    if (!frozen_since_) {
        return;
    }
    const auto stood_still = now - *frozen_since_;
    frozen_since_.reset();
    for (auto& it : running_) {
        if (it.second.ends) {
            *it.second.ends += stood_still;
        }
    }
    advance(now);
}

void vm_agent::replace(base::time_point now) {
    const auto last_ran = frozen_since_.value_or(now);
    if (!frozen_since_) {
        end_due_runs(now);
    }
    for (const auto& it : running_) {
        if (!it.second.rogue) {
            judge_.ended(it.second.judged, std::min(last_ran, it.second.judged.lease_until));
        }
    }
    running_.clear();
    finished_.clear();
    seen_.clear();
    watches_.clear();
    begin_incarnation(now);
}

void vm_agent::set_leaving(base::time_point now) {
    leaving_ = true;
    note_news();
    advance(now);
}

void vm_agent::start_rogue(const base::task_id& task, const base::resources& uses,
                           base::time_point now) {
    run one;
    one.judged.attempt = base::attempt_id("rogue-" + task.str());
    one.judged.task = task;
    one.judged.reserved = uses;
    one.started = now;
    one.rogue = true;
    running_.emplace(one.judged.attempt, std::move(one));
}

platform::vm_reply vm_agent::reply_of(vm_verdict verdict, base::time_point now) {
    return {verdict, report(now)};
}

platform::vm_report vm_agent::report(base::time_point now) {
    number_ = number_.next();
    platform::vm_report out;
    out.incarnation = incarnation_;
    out.number = number_;
    out.epoch = epoch_;
    out.now = vm_time_of(now);
    out.capacity = settings_.capacity;
    out.leaving = leaving_;
    for (const auto& it : running_) {
        const run& one = it.second;
        const bool measured = now - one.started >= settings_.usage_lag;
        out.running.push_back(
            {it.first, one.judged.task, one.team, one.judged.reserved,
             measured ? usage_of(one) : base::resources{},
             one.rogue ? platform::vm_time{0} : vm_time_of(one.judged.lease_until)});
    }
    for (const auto& it : finished_) {
        out.finished.push_back(it.second);
    }
    return out;
}

base::resources vm_agent::usage_of(const run& one) const {
    base::resources out = one.judged.reserved;
    out.memory = one.work.memory.value_or(out.memory);
    out.cores = one.work.cores.value_or(out.cores);
    if (one.throttled_to) {
        out.cores = std::min(out.cores, *one.throttled_to);
    }
    return out;
}

base::resources vm_agent::reserved() const {
    base::resources out;
    for (const auto& it : running_) {
        out += it.second.judged.reserved;
    }
    return out;
}

platform::vm_time vm_agent::vm_time_of(base::time_point at) const {
    return platform::vm_time((at - began_).count());
}

base::time_point vm_agent::time_of(platform::vm_time at) const {
    return began_ + base::duration{at.value()};
}

}  // namespace cranberrydock::standins
