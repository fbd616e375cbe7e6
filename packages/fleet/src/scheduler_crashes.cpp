// Crashes of VMs: attributes them to the runs that explain them, starts suspected tasks on
// probation and gives up those that crash their VMs again. A queue whose new tasks crash many VMs
// is isolated: all of its tasks start on probation for a while.
#include "scheduler_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step;
using detail::placed_run;
using detail::placement_round;
using detail::probation_risk;
using detail::step_state;
using detail::task_state;
using detail::vm_record;

namespace {

milliseconds between(base::time_point from, base::time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from);
}

// A queue is isolated after this many losses of VMs within the window, if it has this share of all.
constexpr double min_queue_losses = 2;
constexpr double min_queue_share = 0.35;
constexpr milliseconds queue_window{2'500};
constexpr milliseconds common_cause_time{400};
constexpr milliseconds isolation_time{5'000};
// A VM that crashes closes its connections at once, and refuses new ones. One that is cut off or
// hangs is found out later.
constexpr milliseconds prompt_loss{300};
constexpr milliseconds prompt_refusal{700};
constexpr milliseconds max_wait_for_quiet_vm{1'000};
constexpr milliseconds max_wait_at_high_risk{10'000};
constexpr milliseconds max_wait_for_separate_vm{4'000};
constexpr int max_probations_per_job = 4;
constexpr std::size_t max_shared_probation = 16;
// Steps that are let through to get tickets, for each probation that can begin.
constexpr std::size_t claims_per_probation = 2;

probation_risk risk_of(const task_state& task) {
    if (task.crashes.alone > 0) {
        return probation_risk::high;
    }
    return task.crashes.needs_probation() ? probation_risk::low : probation_risk::medium;
}

// The likelier a task crashes its VM, the longer it may have to wait behind others.
std::size_t max_probations_at(probation_risk risk, std::size_t max) {
    constexpr std::size_t shares = 4;
    switch (risk) {
        case probation_risk::low:
            return max;
        case probation_risk::medium:
            return std::max<std::size_t>(1, max * (shares - 1) / shares);
        case probation_risk::high:
            return std::max<std::size_t>(1, max / shares);
    }
    return max;
}

}  // namespace

task_state* scheduler::state::find_task(const task_ref& task, job_record** job) {
    step_state* const step = find_step(task, job);
    return step == nullptr ? nullptr : &step->tasks[static_cast<std::size_t>(task.index)];
}

void scheduler::state::crashes_changed(job_record& job, const task_ref& ref, task_state& task) {
    mark_changed(job, ref);
    task.crashes_change = job.change;
}

// The age that the run is known to have reached. It may have been older when its VM was lost.
milliseconds scheduler::state::age_at_last_answer(const vm_record& vm,
                                                  const placed_run& run) const {
    const auto age = std::max(milliseconds{0}, between(run.placed_at, vm.answered_at));
    // An adopted run was placed earlier than it was found.
    return run.adopted ? std::max(age, settings.crashes.just_started + milliseconds{1}) : age;
}

milliseconds scheduler::state::blameless_age(const task_ref& task) {
    job_record* job = nullptr;
    const step_state* const step = find_step(task, &job);
    // Long-running tasks live long enough to see many crashes by chance.
    if (step == nullptr || step->spec->long_running) {
        return settings.crashes.blameless;
    }
    const auto time_between_crashes = observed_vm_time / (crash_count + 1);
    return std::max(settings.crashes.blameless,
                    time_between_crashes / settings.crashes.blameless_share);
}

std::vector<placed_run*> scheduler::state::explaining_runs(vm_record& vm) {
    std::vector<placed_run*> out;
    auto best = crash_explanation::any;
    for (auto& it : vm.runs) {
        placed_run& run = it.second;
        const auto age = age_at_last_answer(vm, run);
        if (run.unknown || run.crash_counted || run.completion_unlisted ||
            age > blameless_age(run.task)) {
            continue;
        }
        const auto explanation = explanation_of(age, settings.crashes);
        if (explanation < best) {
            best = explanation;
            out.clear();
        }
        if (explanation == best) {
            out.push_back(&run);
        }
    }
    return out;
}

bool scheduler::state::is_explained_alone(const vm_record& vm,
                                          const std::vector<placed_run*>& explaining,
                                          crash_explanation explanation) const {
    const bool is_explained = explanation == crash_explanation::just_started || vm.on_probation;
    if (explaining.size() != 1 || !is_explained) {
        return false;
    }
    const auto found = probations.find(vm.number);
    if (found == probations.end() || found->second.risk != probation_risk::low) {
        return true;
    }
    // Another run that is young may crash its VM somewhat later than at its start, which is as
    // likely as a task of low risk that does.
    return std::none_of(vm.runs.begin(), vm.runs.end(), [&](const auto& it) {
        return &it.second != explaining.front() && !it.second.crash_counted &&
               explanation_of(age_at_last_answer(vm, it.second), settings.crashes) !=
                   crash_explanation::any;
    });
}

void scheduler::state::suspect_crash(vm_record& vm) {
    if (vm.facts.leaving || vm.ended) {
        return;
    }
    const auto found = probations.find(vm.number);
    if (found != probations.end()) {
        found->second.lost_at = last_decision;
    }
    const auto explaining = explaining_runs(vm);
    for (placed_run* const run : explaining) {
        const auto age = age_at_last_answer(vm, *run);
        const auto explanation = explanation_of(age, settings.crashes);
        job_record* job = nullptr;
        task_state* const task = find_task(run->task, &job);
        // Old runs are suspected only once the crash is proved.
        if (task == nullptr || task->done || run->unresolved ||
            explanation == crash_explanation::any) {
            continue;
        }
        run->unresolved = true;
        const auto address = run->confirmed_at ? key_of_address(vm.facts.address) : address_key(0);
        task->crashes.add_unresolved({key_of(vm.facts.id), address, vm.reported_boot,
                                      is_explained_alone(vm, explaining, explanation), true,
                                      last_decision});
        unresolved_tasks.insert(run->task);
        crashes_changed(*job, run->task, *task);
        spdlog::info(
            "event=crash_suspected task={} run={} vm={} age_ms={} companions={} "
            "crashes={} alone={} unresolved={}",
            to_string(run->task), run->run.value(), vm.facts.id.str(), age.count(),
            explaining.size() - 1, task->crashes.crashes, task->crashes.alone,
            task->crashes.unresolved.size());
    }
    // On record for a next owner, which would not know of the runs if the VM has crashed.
    add_possible_losses(vm);
}

void scheduler::state::withdraw_suspicion(const vm_record& vm, placed_run& run) {
    job_record* job = nullptr;
    task_state* const task = run.unresolved ? find_task(run.task, &job) : nullptr;
    run.unresolved = false;
    if (task != nullptr && task->crashes.remove_unresolved(key_of(vm.facts.id), vm.reported_boot)) {
        crashes_changed(*job, run.task, *task);
    }
}

void scheduler::state::withdraw_suspicion(vm_record& vm) {
    for (auto& it : vm.runs) {
        withdraw_suspicion(vm, it.second);
    }
    const auto found = probations.find(vm.number);
    if (found != probations.end()) {
        found->second.lost_at.reset();
    }
}

void scheduler::state::count_crash(vm_record& vm) {
    const auto explaining = explaining_runs(vm);
    const auto explanation =
        explaining.empty()
            ? crash_explanation::any
            : explanation_of(age_at_last_answer(vm, *explaining.front()), settings.crashes);
    const bool was_on_probation = vm.on_probation;
    const bool is_alone = is_explained_alone(vm, explaining, explanation);
    end_probation(vm.number, "vm_crashed");
    if (vm.facts.leaving) {
        withdraw_suspicion(vm);
        return;
    }
    // Of a VM that has not reported to this owner, the runs are not known.
    if (vm.answered_at != base::time_point{}) {
        unexplained.add(last_decision, explanation == crash_explanation::just_started ||
                                           (was_on_probation && explaining.size() == 1));
    }
    metrics->count("cranberrydock_vm_crashes_total",
                   std::string("explanation=\"") + to_string(explanation) + "\"");
    for (placed_run* const run : explaining) {
        job_record* job = nullptr;
        task_state* const task = find_task(run->task, &job);
        // A run whose start was not answered may never have begun.
        if (task == nullptr || task->done || !run->confirmed_at) {
            run->unresolved = false;
            crashing_tasks.insert(run->task);
            continue;
        }
        if (std::exchange(run->unresolved, false)) {
            task->crashes.remove_unresolved(key_of(vm.facts.id), vm.reported_boot);
        }
        task->crashes.add_crash(explanation != crash_explanation::any, is_alone);
        if (was_on_probation && vm.runs.size() == 1 &&
            task->crashes.possible_losses() > crash_evidence::losses_before_probation) {
            // Counts twice, since the VM ran nothing else. That leaves a start for a loss that is
            // not on record, as an owner that ends within milliseconds of it leaves none.
            task->crashes.add_loss();
        }
        crashes_changed(*job, run->task, *task);
        crashing_tasks.insert(run->task);
        spdlog::info(
            "event=crash_counted task={} run={} vm={} explanation={} age_ms={} "
            "companions={} crashes={} alone={} unresolved={}",
            to_string(run->task), run->run.value(), vm.facts.id.str(), to_string(explanation),
            age_at_last_answer(vm, *run).count(), explaining.size() - 1, task->crashes.crashes,
            task->crashes.alone, task->crashes.unresolved.size());
    }
    ++crash_count;
    count_companions(vm, explaining, explanation);
    clear_blameless_runs(vm);
    for (auto& it : vm.runs) {
        it.second.crash_counted = true;
        withdraw_suspicion(vm, it.second);
    }
}

// Young runs beside one that had just started count as crashes without suspicion: such a run may
// hide one that crashes its VM somewhat later.
void scheduler::state::count_companions(vm_record& vm, const std::vector<placed_run*>& explaining,
                                        crash_explanation best) {
    for (auto& it : vm.runs) {
        const placed_run& run = it.second;
        job_record* job = nullptr;
        task_state* const task = run.unknown ? nullptr : find_task(run.task, &job);
        const bool is_explaining =
            std::find(explaining.begin(), explaining.end(), &run) != explaining.end();
        const auto age = age_at_last_answer(vm, run);
        if (is_explaining || task == nullptr || task->done || !run.confirmed_at ||
            run.crash_counted || run.completion_unlisted || age > blameless_age(run.task)) {
            continue;
        }
        if (best == crash_explanation::just_started &&
            explanation_of(age, settings.crashes) == crash_explanation::young) {
            task->crashes.add_crash(false, false);
        } else {
            task->crashes.add_loss();
        }
        crashes_changed(*job, run.task, *task);
        crashing_tasks.insert(run.task);
    }
}

void scheduler::state::add_possible_losses(vm_record& vm) {
    if (vm.facts.leaving || vm.ended) {
        return;
    }
    for (auto& it : vm.runs) {
        placed_run& run = it.second;
        job_record* job = nullptr;
        task_state* const task = run.unknown ? nullptr : find_task(run.task, &job);
        if (task == nullptr || task->done || !run.confirmed_at || run.unresolved ||
            run.crash_counted || run.completion_unlisted ||
            age_at_last_answer(vm, run) > blameless_age(run.task)) {
            continue;
        }
        run.unresolved = true;
        task->crashes.add_unresolved({key_of(vm.facts.id), key_of_address(vm.facts.address),
                                      vm.reported_boot, false, false, last_decision});
        unresolved_tasks.insert(run.task);
        crashes_changed(*job, run.task, *task);
    }
}

void scheduler::state::clear_blameless_runs(vm_record& vm) {
    for (const auto& it : vm.runs) {
        job_record* job = nullptr;
        task_state* const task = it.second.unknown ? nullptr : find_task(it.first, &job);
        if (task != nullptr && task->crashes.possible_losses() > 0 &&
            age_at_last_answer(vm, it.second) > blameless_age(it.first)) {
            task->crashes = {};
            crashes_changed(*job, it.first, *task);
        }
    }
}

void scheduler::state::count_unseen_runs() {
    for (auto& job : jobs) {
        if (!job.second->inherited || is_final(job.second->state)) {
            continue;
        }
        for (auto& occurrence : job.second->occurrences) {
            task_ref ref{job.first, occurrence.first, 0, 0};
            for (auto& step : occurrence.second) {
                ref.index = 0;
                for (auto& task : step.tasks) {
                    if (!task.done && task.vm == nullptr && task.crashes.unresolved.empty() &&
                        (task.crashes.marked || task.crashes.losses > 0)) {
                        lost_run unseen;
                        unseen.young = task.crashes.marked;
                        task.crashes.add_unresolved(unseen);
                        crashes_changed(*job.second, ref, task);
                    }
                    ++ref.index;
                }
                ++ref.step;
            }
        }
    }
}

void scheduler::state::give_up_crashing_tasks(const clock_reading& now) {
    const auto background_rate = background(now);
    for (const auto& it : std::exchange(crashing_tasks, {})) {
        job_record* job = nullptr;
        task_state* const task = find_task(it, &job);
        if (task == nullptr || task->done || is_final(job->state) ||
            !is_given_up(task->crashes, background_rate)) {
            continue;
        }
        metrics->count("cranberrydock_tasks_given_up_total", "");
        spdlog::warn(
            "event=task_given_up task={} queue={} customer={} losses={} crashes={} alone={} "
            "unresolved={} background_crashes={}",
            to_string(it), job->spec.queue.str(), job->spec.customer.str(), task->crashes.losses,
            task->crashes.crashes, task->crashes.alone, task->crashes.unresolved.size(),
            to_string(background_rate));
        finish_job(*job, job_state::failed, now);
    }
}

void scheduler::state::find_unresolved(job_record& job, const clock_reading& now) {
    for (auto& occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.second.size(); ++step) {
            auto& tasks = occurrence.second[step].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                for (auto& it : tasks[i].crashes.unresolved) {
                    it.since = now.steady;
                    unresolved_tasks.insert({job.spec.id, occurrence.first, static_cast<int>(step),
                                             static_cast<int>(i)});
                }
            }
        }
    }
}

std::optional<bool> scheduler::state::has_crashed(
    const lost_run& run,
    const std::unordered_multimap<std::int64_t, vm_record*>& by_address) const {
    const auto at_address = by_address.equal_range(run.address.value());
    for (auto it = at_address.first; it != at_address.second; ++it) {
        const vm_record& vm = *it->second;
        if (run.address == address_key(0) || !vm.reported || !vm.reachable) {
            continue;
        }
        return key_of(vm.facts.id) != run.vm || vm.reported_boot != run.boot;
    }
    return std::nullopt;
}

void scheduler::state::resolve_lost_runs() {
    if (unresolved_tasks.empty()) {
        return;
    }
    std::unordered_multimap<std::int64_t, vm_record*> by_address;
    for (vm_record* const vm : vms_by_number) {
        if (vm != nullptr && !vm->facts.address.empty()) {
            by_address.emplace(key_of_address(vm->facts.address).value(), vm);
        }
    }
    for (auto it = unresolved_tasks.begin(); it != unresolved_tasks.end();) {
        job_record* job = nullptr;
        task_state* const task = find_task(*it, &job);
        if (task == nullptr || task->done || task->crashes.unresolved.empty()) {
            it = unresolved_tasks.erase(it);
            continue;
        }
        const auto lost = task->crashes.unresolved;
        for (const auto& run : lost) {
            if (task->vm != nullptr && key_of(task->vm->facts.id) == run.vm) {
                continue;  // the VM's session finds out
            }
            const auto crashed = has_crashed(run, by_address);
            if (!crashed) {
                if (last_decision - run.since >= settings.crashes.recovery) {
                    crashing_tasks.insert(*it);
                }
                continue;
            }
            task->crashes.remove_unresolved(run.vm, run.boot);
            if (*crashed && run.young) {
                task->crashes.add_crash(true, run.alone);
            } else if (*crashed) {
                task->crashes.add_loss();
            }
            if (*crashed) {
                crashing_tasks.insert(*it);
            }
            crashes_changed(*job, *it, *task);
            spdlog::info(
                "event=lost_run_resolved task={} vm_crashed={} alone={} after_ms={} "
                "crashes={} alone_in_all={} unresolved={}",
                to_string(*it), *crashed, run.alone, between(run.since, last_decision).count(),
                task->crashes.crashes, task->crashes.alone, task->crashes.unresolved.size());
        }
        it = std::next(it);
    }
}

void scheduler::state::count_queue_losses(const vm_record& vm,
                                          const std::vector<placed_run*>& explaining) {
    const bool is_prompt = between(vm.answered_at, vm.unreachable_since) <= prompt_loss &&
                           between(vm.unreachable_since, last_decision) <= prompt_refusal;
    if (explaining.empty() || vm.facts.leaving || vm.ended || !is_prompt ||
        explanation_of(age_at_last_answer(vm, *explaining.front()), settings.crashes) !=
            crash_explanation::just_started) {
        return;
    }
    const double weight = 1.0 / static_cast<double>(explaining.size());
    std::set<queue_name> named;
    for (const placed_run* const run : explaining) {
        const auto job = jobs.find(run->task.job);
        if (job == jobs.end()) {
            continue;
        }
        auto& losses = queue_crashes[job->second->spec.queue].recent;
        named.insert(job->second->spec.queue);
        // VMs that are lost at about the same time may have a common cause.
        if (losses.empty() || vm.unreachable_since - losses.back().at > common_cause_time) {
            losses.push_back({vm.unreachable_since, weight});
        } else {
            losses.back().weight = std::min(1.0, losses.back().weight + weight);
        }
    }
    double total = 0;
    for (auto& it : queue_crashes) {
        auto& losses = it.second.recent;
        while (!losses.empty() && last_decision - losses.front().at > queue_window) {
            losses.pop_front();
        }
        for (const auto& loss : losses) {
            total += loss.weight;
        }
    }
    for (const auto& name : named) {
        auto& queue = queue_crashes[name];
        double weight_of_queue = 0;
        for (const auto& loss : queue.recent) {
            weight_of_queue += loss.weight;
        }
        if (weight_of_queue < min_queue_losses || weight_of_queue < total * min_queue_share) {
            continue;
        }
        if (queue.isolated_until < last_decision) {
            metrics->count("cranberrydock_queues_isolated_total", "");
            spdlog::warn("event=queue_isolated queue={} vm={} losses={:.1f} of={:.1f} for_ms={}",
                         name.str(), vm.facts.id.str(), weight_of_queue, total,
                         isolation_time.count());
        }
        queue.isolated_until = last_decision + isolation_time;
    }
}

bool scheduler::state::is_isolated(const queue_name& queue, const clock_reading& now) const {
    if (queue_crashes.empty()) {
        return false;
    }
    const auto it = queue_crashes.find(queue);
    return it != queue_crashes.end() && now.steady < it->second.isolated_until;
}

bool scheduler::state::needs_probation(const open_step& work, const task_state& task,
                                       const clock_reading& now) const {
    if (task.crashes.has_young_runs() || is_isolated(work.job->spec.queue, now)) {
        return true;
    }
    // With losses alone the task is more likely innocent than not, so that it waits no longer.
    return task.crashes.needs_probation() &&
           waited(work, task, now) <= settings.crashes.max_wait_after_losses;
}

milliseconds scheduler::state::waited(const open_step& work, const task_state& task,
                                      const clock_reading& now) {
    const auto since = task.previous ? task.previous->proved_at : base::time_point{};
    return between(std::max(since, work.step->opened_at), now.steady);
}

// The next owner is to know of the evidence if the task's next start crashes a VM too.
bool scheduler::state::is_saved(const open_step& work, const task_state& task) {
    return !task.crashes.suspected() || work.job->saved >= task.crashes_change;
}

bool scheduler::state::may_begin_probation(const open_step& work, const task_state& task,
                                           const placement_round& round,
                                           const clock_reading& now) const {
    if (!task.crashes.unresolved.empty() &&
        now.steady - task.crashes.unresolved.back().since < settings.crashes.recovery) {
        return false;
    }
    const auto risk = risk_of(task);
    if (work.job->probations >= (risk == probation_risk::low ? max_probations_per_job : 1)) {
        return false;
    }
    // Those of high risk, which wait for the others, have a share of their own.
    const bool is_high = risk == probation_risk::high;
    const auto begun = static_cast<std::size_t>(std::count_if(
        probations.begin(), probations.end(),
        [&](const auto& it) { return (it.second.risk == probation_risk::high) == is_high; }));
    const std::size_t claimed =
        (is_high ? round.high_risk_claims : round.probation_claims) / max_shared_probation;
    return begun + claimed < max_probations_at(risk, round.max_probations);
}

background_crashes scheduler::state::background(const clock_reading& now) const {
    return unexplained.rate(now.steady, now.steady - first_decision < unexplained_crashes::window);
}

// Several tasks of low risk may crash one VM together, and are still told apart afterwards.
bool scheduler::state::may_share_probation(const task_state& task) {
    return risk_of(task) == probation_risk::low && task.crashes.possible_crashes() <= 1;
}

bool scheduler::state::may_join(const detail::probation& current, const task_state& task,
                                const clock_reading& now) {
    return current.may_be_shared && current.began == now.steady &&
           current.members.size() < max_shared_probation && may_share_probation(task);
}

// Whether a probation that began in this decision can take the task in.
bool scheduler::state::may_join_probation(const task_state& task, const clock_reading& now) const {
    return std::any_of(probations.begin(), probations.end(),
                       [&](const auto& it) { return may_join(it.second, task, now); });
}

bool scheduler::state::waits_for_probation(const open_step& work, placement_round& round,
                                           const clock_reading& now) const {
    bool any_can_start = false;
    bool any_waits = false;
    bool any_claims = false;
    bool is_shared = true;
    bool is_high = false;
    for (const auto& it : work.step->tasks) {
        if (it.done || it.vm != nullptr) {
            continue;
        }
        const bool on_probation = needs_probation(work, it, now);
        const bool waits =
            !is_saved(work, it) || (on_probation && !may_begin_probation(work, it, round, now));
        any_waits |= waits;
        any_can_start |= !waits;
        any_claims |= on_probation && !waits;
        is_shared &= may_share_probation(it);
        is_high |= on_probation && risk_of(it) == probation_risk::high;
    }
    if (any_waits && (work.step->spec->gang || !any_can_start)) {
        return true;
    }
    if (any_claims) {
        (is_high ? round.high_risk_claims : round.probation_claims) +=
            is_shared ? 1 : max_shared_probation / claims_per_probation;
    }
    return false;
}

bool scheduler::state::accepts_start(const vm_record& vm, const open_step& work,
                                     const task_state& task, bool on_probation,
                                     const clock_reading& now) const {
    if (vm.on_probation) {
        const auto found = probations.find(vm.number);
        return on_probation && found != probations.end() && may_join(found->second, task, now);
    }
    // Beside a run that has just started, a crash would have two explanations. In a full fleet
    // there may be no other room. The next crash of a task of high risk decides, so that it waits
    // longer for a VM on which nothing is young.
    const bool is_high = risk_of(task) == probation_risk::high;
    const auto quiet = is_high ? settings.crashes.young : settings.crashes.just_started;
    const auto max_wait = is_high ? max_wait_at_high_risk : max_wait_for_quiet_vm;
    if (task.crashes.nearly_given_up() && waited(work, task, now) <= max_wait_for_separate_vm &&
        runs_task_nearly_given_up(vm)) {
        return false;
    }
    return !on_probation || now.steady - vm.last_placed_at > quiet ||
           now.steady - work.step->waits_since > max_wait;
}

bool scheduler::state::runs_task_nearly_given_up(const vm_record& vm) const {
    return std::any_of(vm.runs.begin(), vm.runs.end(), [&](const auto& it) {
        const auto job = jobs.find(it.first.job);
        if (it.second.unknown || job == jobs.end()) {
            return false;
        }
        const auto occurrence = job->second->occurrences.find(it.first.occurrence);
        return occurrence != job->second->occurrences.end() &&
               occurrence->second.at(static_cast<std::size_t>(it.first.step))
                   .tasks.at(static_cast<std::size_t>(it.first.index))
                   .crashes.nearly_given_up();
    });
}

void scheduler::state::begin_probation(vm_record& vm, const task_ref& task, run_number run,
                                       const clock_reading& now) {
    job_record* job = nullptr;
    const task_state* const started = find_task(task, &job);
    if (started == nullptr) {
        return;
    }
    auto& current = probations[vm.number];
    if (current.members.empty()) {
        current.job = task.job;
        current.risk = risk_of(*started);
        current.may_be_shared = may_share_probation(*started);
        current.began = now.steady;
        ++job->probations;
    }
    current.members.push_back({task, run});
    vm.on_probation = true;
    if (current.risk != probation_risk::low) {
        vm.for_probations_until = now.steady + settings.crashes.reserved;
    }
    metrics->count("cranberrydock_probations_total", "");
    spdlog::info(
        "event=probation_started task={} run={} vm={} runs_beside={} shared_by={} "
        "losses={} crashes={} alone={} unresolved={} vms_on_probation={}",
        to_string(task), run.value(), vm.facts.id.str(), vm.runs.size() - 1, current.members.size(),
        started->crashes.losses, started->crashes.crashes, started->crashes.alone,
        started->crashes.unresolved.size(), probations.size());
}

const char* scheduler::state::outcome_of(std::size_t vm_number, detail::probation& current,
                                         const clock_reading& now) {
    vm_record* const vm = vms_by_number[vm_number];
    if (vm == nullptr) {
        return "vm_lost";
    }
    if (current.lost_at) {
        return now.steady - *current.lost_at > settings.crashes.recovery ? "unknown" : nullptr;
    }
    bool any_outlived = false;
    for (auto it = current.members.begin(); it != current.members.end();) {
        job_record* job = nullptr;
        task_state* const task = find_task(it->task, &job);
        const placed_run* const run = find_run(*vm, it->task, it->run);
        const bool has_evidence = task != nullptr && task->crashes.suspected();
        const bool has_losses = has_evidence && task->crashes.nearly_given_up();
        const auto time = current.risk == probation_risk::medium && !has_evidence
                              ? settings.crashes.just_started
                          : has_losses ? settings.crashes.probation_after_losses
                                       : settings.crashes.probation;
        if (run != nullptr && task != nullptr &&
            (!run->confirmed_at || now.steady - *run->confirmed_at < time)) {
            ++it;
            continue;
        }
        if (run != nullptr && task != nullptr && task->crashes.suspected()) {
            any_outlived = true;
            task->crashes.clear();
            crashes_changed(*job, it->task, *task);
        }
        it = current.members.erase(it);
    }
    return !current.members.empty() ? nullptr : any_outlived ? "outlived" : "ended";
}

void scheduler::state::update_probations(const clock_reading& now) {
    resolve_lost_runs();
    give_up_crashing_tasks(now);
    for (auto it = probations.begin(); it != probations.end();) {
        const std::size_t vm_number = it->first;
        const char* const outcome = outcome_of(vm_number, it->second, now);
        ++it;
        if (outcome != nullptr) {
            end_probation(vm_number, outcome);
        }
    }
}

void scheduler::state::end_probation(std::size_t vm_number, const char* outcome) {
    const auto found = probations.find(vm_number);
    if (found == probations.end()) {
        return;
    }
    vm_record* const vm = vms_by_number[vm_number];
    spdlog::info("event=probation_ended vm={} first_job={} took_ms={} outcome={}",
                 vm == nullptr ? "gone" : vm->facts.id.str(), found->second.job.str(),
                 between(found->second.began, last_decision).count(), outcome);
    if (vm != nullptr) {
        vm->on_probation = false;
    }
    const auto job = jobs.find(found->second.job);
    if (job != jobs.end()) {
        --job->second->probations;
    }
    probations.erase(found);
}

std::map<queue_name, milliseconds> scheduler::isolated_queues(const clock_reading& now) const {
    constexpr std::size_t jobs_per_probation = 8;
    std::map<queue_name, milliseconds> out;
    for (const auto& it : state_->queue_crashes) {
        const auto waiting = state_->jobs_not_started.find(it.first);
        if (now.steady < it.second.isolated_until && waiting != state_->jobs_not_started.end() &&
            static_cast<std::size_t>(waiting->second) >
                state_->max_probations * jobs_per_probation) {
            out[it.first] = isolation_time;
        }
    }
    return out;
}

}  // namespace cranberrydock::fleet
