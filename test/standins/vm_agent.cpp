// Carries out commands, ends tasks and answers watches.
#include "vm_agent.hpp"

#include <cranberrydock/base/check.hpp>
#include <cranberrydock/base/digest.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {

using platform::task_completion;
using platform::vm_verdict;

namespace {

constexpr base::milliseconds failing_run_time{1};

// The incarnation that a command is addressed to; empty for a hello, which any incarnation accepts.
struct addressed_incarnation {
    std::optional<base::incarnation_id> operator()(const platform::hello_command& /*it*/) const {
        return std::nullopt;
    }
    template <typename Command>
    std::optional<base::incarnation_id> operator()(const Command& it) const {
        return it.incarnation;
    }
};

}  // namespace

// Carries out a command that has passed the checks of its epoch and incarnation.
struct vm_agent::command_visitor {
    vm_agent& agent;
    base::epoch epoch;
    base::time_point now;
    reply_callback& reply;

    void answer(vm_verdict verdict) const { reply(agent.reply_of(verdict, now)); }

    void operator()(const platform::hello_command& /*requested*/) const {
        answer(vm_verdict::done);
    }
    void operator()(const platform::start_command& requested) const {
        answer(agent.start(requested, epoch, now));
    }
    void operator()(const platform::stop_command& requested) const {
        agent.stop(requested, now);
        answer(vm_verdict::done);
    }
    void operator()(const platform::checkpoint_command& /*requested*/) const {
        answer(vm_verdict::done);
    }
    void operator()(const platform::throttle_command& requested) const {
        agent.throttle(requested);
        answer(vm_verdict::done);
    }
    void operator()(const platform::watch_command& requested) const {
        const vm_verdict verdict = agent.renew(requested, now);
        const bool may_wait = requested.wait > base::milliseconds{0} &&
                              agent.first_report_with_change_ <= requested.after;
        if (verdict != vm_verdict::done || !may_wait) {
            answer(verdict);
            return;
        }
        agent.watches_.push_back({requested.after, epoch, now + requested.wait, std::move(reply)});
    }
};

vm_agent::vm_agent(vm_settings settings, run_checker& checker, base::time_point now)
    : settings_(std::move(settings)), checker_(checker) {
    begin_incarnation(now);
}

void vm_agent::begin_incarnation(base::time_point now) {
    ++incarnation_count_;
    clock_start_ = now;
    incarnation_ =
        base::incarnation_id(settings_.id.str() + "." + std::to_string(incarnation_count_) + "." +
                             std::to_string(now.time_since_epoch().count()));
    epoch_ = base::epoch{0};
    last_report_ = first_report_with_change_ = platform::report_number{0};
    leaving_ = false;
    suspended_since_.reset();
}

void vm_agent::handle(const platform::vm_command& command, base::time_point now,
                      reply_callback reply) {
    CRANBERRYDOCK_CHECK(!suspended_since_, "expected no command while the VM is suspended");
    advance(now);
    if (command.epoch < epoch_) {
        reply(reply_of(vm_verdict::lower_epoch, now));
        return;
    }
    const auto expected = std::visit(addressed_incarnation{}, command.body);
    if (expected && *expected != incarnation_) {
        reply(reply_of(vm_verdict::other_incarnation, now));
        return;
    }
    epoch_ = command.epoch;
    answer_watches(now);  // refuses the watches of lower epochs
    std::visit(command_visitor{*this, command.epoch, now, reply}, command.body);
    answer_watches(now);
}

vm_verdict vm_agent::start(const platform::start_command& requested, base::epoch epoch,
                           base::time_point now) {
    const auto found = attempt_fates_.find(requested.attempt);
    if (found != attempt_fates_.end()) {
        if (found->second == attempt_fate::stopped_before_start) {
            found->second = attempt_fate::started;
            add_finished({requested.attempt,
                          requested.task,
                          requested.team,
                          task_completion::stopped,
                          "",
                          "",
                          {},
                          {}});
        }
        return vm_verdict::done;
    }
    if (leaving_) {
        return vm_verdict::leaving;
    }
    if (time_of(requested.lease_until) <= now) {
        return vm_verdict::lease_passed;
    }
    if (!base::fits(reserved() + requested.reserve, settings_.capacity)) {
        return vm_verdict::does_not_fit;
    }
    run task_run;
    task_run.work = parse_work(requested.payload);
    if (fails_everything_) {
        task_run.work.fails = true;
        task_run.work.answer = "this VM fails everything that it starts";
        task_run.work.run_time = failing_run_time;
    }
    task_run.checked = {settings_.id,
                        incarnation_,
                        requested.attempt,
                        requested.task,
                        requested.reserve,
                        settings_.capacity,
                        epoch,
                        requested.repeatable,
                        task_run.work.mark,
                        time_of(requested.lease_until)};
    task_run.team = requested.team;
    task_run.started = now;
    if (task_run.work.run_time) {
        task_run.ends = now + *task_run.work.run_time;
    }
    checker_.run_started(task_run.checked, now);
    attempt_fates_[requested.attempt] = attempt_fate::started;
    running_.emplace(requested.attempt, std::move(task_run));
    return vm_verdict::done;
}

vm_verdict vm_agent::renew(const platform::watch_command& requested, base::time_point now) {
    const auto until = time_of(requested.lease_until);
    if (!requested.renew.empty() && until <= now) {
        return vm_verdict::lease_passed;
    }
    for (const auto& attempt : requested.renew) {
        const auto it = running_.find(attempt);
        if (it != running_.end()) {
            auto& lease = it->second.checked.lease_until;
            lease = std::max(lease, until);  // a delayed command must not shorten it
            checker_.run_renewed(it->second.checked);
        }
    }
    for (const auto& attempt : requested.acknowledge) {
        finished_.erase(attempt);
    }
    return vm_verdict::done;
}

void vm_agent::stop(const platform::stop_command& requested, base::time_point now) {
    if (running_.count(requested.attempt) != 0) {
        end(requested.attempt, task_completion::stopped, now);
        return;
    }
    // A start that is still in transit must not run after its stop.
    attempt_fates_.emplace(requested.attempt, attempt_fate::stopped_before_start);
}

void vm_agent::throttle(const platform::throttle_command& requested) {
    const auto it = running_.find(requested.attempt);
    if (it != running_.end()) {
        it->second.throttled_to = requested.cores;
    }
}

void vm_agent::advance(base::time_point now) {
    if (suspended_since_) {
        return;
    }
    end_expired_runs(now);
    answer_watches(now);
}

// Ends the runs whose time is over or whose lease has expired. A task that ends before its lease
// expires has completed, however late this call comes.
void vm_agent::end_expired_runs(base::time_point now) {
    std::vector<base::attempt_id> completed;
    std::vector<base::attempt_id> expired;
    for (const auto& it : running_) {
        const run& task_run = it.second;
        const bool has_lease = !task_run.rogue;
        if (task_run.ends && *task_run.ends <= now &&
            (!has_lease || *task_run.ends <= task_run.checked.lease_until)) {
            completed.push_back(it.first);
        } else if (has_lease && task_run.checked.lease_until <= now) {
            expired.push_back(it.first);
        }
    }
    for (const auto& it : completed) {
        const run& task_run = running_.at(it);
        end(it, task_run.work.fails ? task_completion::failed : task_completion::completed,
            *task_run.ends);
    }
    for (const auto& it : expired) {
        end(it, task_completion::lease_expired, running_.at(it).checked.lease_until);
    }
}

void vm_agent::end(const base::attempt_id& attempt, task_completion kind, base::time_point at) {
    const run task_run = std::move(running_.at(attempt));
    running_.erase(attempt);
    if (!task_run.rogue) {
        checker_.run_ended(task_run.checked, at);
    }
    platform::finished_task out;
    out.attempt = attempt;
    out.task = task_run.checked.task;
    out.team = task_run.team;
    out.completion = kind;
    if (kind == task_completion::completed || kind == task_completion::failed) {
        out.answer = task_run.work.answer;
    }
    out.ran_for = std::chrono::duration_cast<base::milliseconds>(at - task_run.started);
    out.peak_usage = usage_of(task_run);
    add_finished(std::move(out));
}

void vm_agent::add_finished(platform::finished_task task) {
    task.answer_digest = base::sha256_hex(task.answer);
    finished_[task.attempt] = std::move(task);
    mark_change();
}

void vm_agent::mark_change() {
    first_report_with_change_ = last_report_.next();
}

void vm_agent::answer_watches(base::time_point now) {
    std::vector<watch> waiting;
    waiting.swap(watches_);
    for (auto& it : waiting) {
        if (it.epoch < epoch_) {
            it.reply(reply_of(vm_verdict::lower_epoch, now));
        } else if (first_report_with_change_ > it.after || it.deadline <= now) {
            it.reply(reply_of(vm_verdict::done, now));
        } else {
            watches_.push_back(std::move(it));
        }
    }
}

std::optional<base::time_point> vm_agent::next_event() const {
    std::optional<base::time_point> out;
    const auto consider = [&out](base::time_point at) { out = out ? std::min(*out, at) : at; };
    if (suspended_since_) {
        return out;
    }
    for (const auto& it : running_) {
        if (it.second.ends) {
            consider(*it.second.ends);
        }
        if (!it.second.rogue) {
            consider(it.second.checked.lease_until);
        }
    }
    for (const auto& it : watches_) {
        consider(it.deadline);
    }
    return out;
}

void vm_agent::suspend(base::time_point now) {
    advance(now);
    if (!suspended_since_) {
        suspended_since_ = now;
    }
}

void vm_agent::resume(base::time_point now) {
    if (!suspended_since_) {
        return;
    }
    const auto suspended_for = now - *suspended_since_;
    suspended_since_.reset();
    for (auto& it : running_) {
        if (it.second.ends) {
            *it.second.ends += suspended_for;
        }
    }
    advance(now);
}

void vm_agent::replace(base::time_point now) {
    const auto last_ran = suspended_since_.value_or(now);
    if (!suspended_since_) {
        end_expired_runs(now);
    }
    for (const auto& it : running_) {
        if (!it.second.rogue) {
            checker_.run_ended(it.second.checked,
                               std::min(last_ran, it.second.checked.lease_until));
        }
    }
    running_.clear();
    finished_.clear();
    attempt_fates_.clear();
    watches_.clear();
    begin_incarnation(now);
}

void vm_agent::set_leaving(base::time_point now) {
    leaving_ = true;
    mark_change();
    advance(now);
}

void vm_agent::start_rogue(const base::task_id& task, const base::resources& uses,
                           base::time_point now) {
    run task_run;
    task_run.checked.attempt = base::attempt_id("rogue-" + task.str());
    task_run.checked.task = task;
    task_run.checked.reserved = uses;
    task_run.started = now;
    task_run.rogue = true;
    running_.emplace(task_run.checked.attempt, std::move(task_run));
}

platform::vm_reply vm_agent::reply_of(vm_verdict verdict, base::time_point now) {
    return {verdict, report(now)};
}

platform::vm_report vm_agent::report(base::time_point now) {
    last_report_ = last_report_.next();
    platform::vm_report out;
    out.incarnation = incarnation_;
    out.number = last_report_;
    out.epoch = epoch_;
    out.now = vm_time_of(now);
    out.capacity = settings_.capacity;
    out.leaving = leaving_;
    for (const auto& it : running_) {
        const run& task_run = it.second;
        const bool measured = now - task_run.started >= settings_.usage_lag;
        out.running.push_back(
            {it.first, task_run.checked.task, task_run.team, task_run.checked.reserved,
             measured ? usage_of(task_run) : base::resources{},
             task_run.rogue ? platform::vm_time{0} : vm_time_of(task_run.checked.lease_until)});
    }
    for (const auto& it : finished_) {
        out.finished.push_back(it.second);
    }
    return out;
}

base::resources vm_agent::usage_of(const run& task_run) const {
    base::resources out = task_run.checked.reserved;
    out.memory = task_run.work.memory_usage.value_or(out.memory);
    out.cores = task_run.work.cores_usage.value_or(out.cores);
    if (task_run.throttled_to) {
        out.cores = std::min(out.cores, *task_run.throttled_to);
    }
    return out;
}

base::resources vm_agent::reserved() const {
    base::resources out;
    for (const auto& it : running_) {
        out += it.second.checked.reserved;
    }
    return out;
}

platform::vm_time vm_agent::vm_time_of(base::time_point at) const {
    return platform::vm_time((at - clock_start_).count());
}

base::time_point vm_agent::time_of(platform::vm_time at) const {
    return clock_start_ + base::duration{at.value()};
}

}  // namespace cranberrydock::standins
