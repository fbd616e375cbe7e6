// Steps the simulation and records the tasks that wait beside room.
#include "faulty_fleet.hpp"

#include "fleet_test_data.hpp"

#include <algorithm>

namespace cranberrydock::standins {
namespace {

using fleet::command_failure;

constexpr base::milliseconds step_time{20};
constexpr base::milliseconds lease{4'500};
constexpr base::milliseconds watch_interval{150};
constexpr base::milliseconds watch_retry{250};
constexpr base::milliseconds command_timeout{600};
constexpr base::milliseconds gang_wait_limit{2'500};
constexpr std::size_t failed_jobs_before_quarantine = 2;
constexpr int max_open_queries = 12;
constexpr int max_open_long_queries = 10;
constexpr std::int64_t first_unix_ms = 1'700'000'000'000;

base::milliseconds as_milliseconds(base::duration it) {
    return std::chrono::duration_cast<base::milliseconds>(it);
}

std::int64_t tasks_fitting(const base::resources& need, const base::resources& room) {
    std::int64_t out = 0;
    for (base::resources left = room; fits(need, left) && out < 64; ++out) {
        left -= need;
    }
    return out;
}

}  // namespace

faulty_fleet::faulty_fleet(const faulty_fleet_options& options)
    : options_(options), random_(options.seed) {
    for (int i = 0; i < options.vms; ++i) {
        add_vm();
    }
    start_owner();
}

fleet::clock_reading faulty_fleet::now() const {
    return {time_,
            fleet::unix_time(first_unix_ms + as_milliseconds(time_.time_since_epoch()).count())};
}

void faulty_fleet::after(base::milliseconds delay, std::function<void()> action) {
    events_.emplace(time_ + delay, std::move(action));
}

void faulty_fleet::after_for_owner(base::milliseconds delay, std::function<void()> action) {
    after(delay, [this, owner = owner_, action = std::move(action)] {
        if (owner == owner_) {
            action();
        }
    });
}

base::milliseconds faulty_fleet::delay() {
    return base::milliseconds(std::uniform_int_distribution<int>(5, 60)(random_));
}

bool faulty_fleet::draw(double probability) {
    return faults_ && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

faulty_fleet::node* faulty_fleet::find(const fleet::vm_id& vm) {
    for (const auto& it : nodes_) {
        if (it->present && it->vm->facts().id == vm) {
            return it.get();
        }
    }
    return nullptr;
}

bool faulty_fleet::reaches(const node& target) const {
    return target.present && time_ >= target.disconnected_until;
}

task_behavior faulty_fleet::behavior_of(const fleet::task_ref& task, fleet::run_number /*run*/) {
    const auto& job = jobs_.at(task.job);
    const auto& step = job.spec.steps[static_cast<std::size_t>(task.step)];
    task_behavior out;
    out.fails = draw(0.2);
    const base::milliseconds until_failure(std::uniform_int_distribution<int>(100, 5'000)(random_));
    out.run_time = out.fails ? std::min(job.run_time, until_failure) : job.run_time;
    out.need = step.need;
    out.gang_size = step.gang ? static_cast<std::size_t>(step.task_count) : 0;
    return out;
}

void faulty_fleet::add_vm() {
    fleet::vm_info facts;
    facts.id = fleet::vm_id("vm-" + std::to_string(created_vms_));
    facts.address = "127.0.0.1:" + std::to_string(1 + created_vms_);
    facts.service = fleet::service_name("svc");
    facts.rack = fleet::rack_name("r1-" + std::to_string(created_vms_ / 4));
    facts.capacity = options_.vm_capacity;
    facts.boot = fleet::boot_time(1);
    auto added = std::make_unique<node>();
    added->vm = std::make_unique<fleet_vm>(
        facts, [this](const auto& task, fleet::run_number run) { return behavior_of(task, run); });
    added->number = created_vms_++;
    nodes_.push_back(std::move(added));
    if (scheduler_) {
        scheduler_->vm_listed(facts);
        send_watch(*nodes_.back());
    }
}

void faulty_fleet::crash_vm(std::size_t index) {
    if (nodes_[index]->present) {
        nodes_[index]->vm->crash();
    }
}

void faulty_fleet::disconnect_vm(std::size_t index, base::milliseconds time) {
    nodes_[index]->disconnected_until = time_ + time;
}

void faulty_fleet::remove_vm(std::size_t index) {
    nodes_[index]->present = false;
    nodes_[index]->vm->crash();
}

void faulty_fleet::configure(fleet::fleet_configuration configuration) {
    for (const auto& it : configuration.queues) {
        if (it.query_cost) {
            queues_with_advice_.insert(it.name);
        }
    }
    configuration_ = std::make_shared<const fleet::fleet_configuration>(std::move(configuration));
    scheduler_->configure(configuration_);
}

void faulty_fleet::submit(const fleet::job_spec& job, base::milliseconds run_time) {
    fleet::job_spec accepted_job = job;
    accepted_job.accepted = now().wall;
    jobs_[job.id] = {accepted_job, run_time};
    scheduler_->add_job(accepted_job, nullptr, false, now());
}

void faulty_fleet::replace_owner() {
    start_owner();
}

void faulty_fleet::start_owner() {
    owner_ = owner_.next();
    owner_since_ = time_;
    open_queries_ = 0;
    open_long_queries_ = 0;
    scheduler_ = std::make_unique<fleet::scheduler>(owner_, fleet::scheduler_settings{}, metrics_);
    if (configuration_) {
        scheduler_->configure(configuration_);
    }
    for (const auto& it : jobs_) {
        const auto saved = saved_.find(it.first);
        if (saved == saved_.end()) {
            scheduler_->add_job(it.second.spec, nullptr, true, now());
        } else if (!is_final(saved->second.state)) {
            scheduler_->add_job(it.second.spec, &saved->second, true, now());
        }
    }
    inherited_known_ = false;
    for (const auto& it : nodes_) {
        if (it->present) {
            it->boot = {};
            it->lost = false;
            it->forget_failures();
            it->lease_until = time_ + lease;
            ++it->session;
            scheduler_->vm_listed(it->vm->facts());
            send_watch(*it);
        }
    }
    check_inherited_runs();
}

// Inherited tasks may start once every VM has reported, or once all inherited leases have expired.
void faulty_fleet::check_inherited_runs() {
    const bool all_reported = std::all_of(nodes_.begin(), nodes_.end(), [](const auto& it) {
        return !it->present || it->boot.value() > 0;
    });
    if (!inherited_known_ && (all_reported || time_ - owner_since_ > lease)) {
        inherited_known_ = true;
        scheduler_->inherited_runs_reported(now());
    }
}

void faulty_fleet::run_for(base::milliseconds time) {
    for (base::milliseconds passed{0}; passed < time; passed += step_time) {
        step();
    }
}

void faulty_fleet::step() {
    time_ += step_time;
    for (const auto& it : nodes_) {
        if (it->present) {
            it->vm->advance(step_time);
        }
    }
    advance_gangs();
    while (!events_.empty() && events_.begin()->first <= time_) {
        const auto action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    check_inherited_runs();
    scheduler_->jobs_read_as_of(time_);
    const auto decided =
        scheduler_->decide(now(), {std::max(0, max_open_queries - open_queries_),
                                   std::max(0, max_open_long_queries - open_long_queries_)});
    for (const auto& it : decided.stops) {
        send_stop(it);
    }
    for (const auto& it : decided.starts) {
        send_start(it);
    }
    for (const auto& it : decided.queries) {
        send_query(it);
    }
    if (std::uniform_int_distribution<int>(0, 3)(random_) == 0) {
        save();
    }
    check_waits();
}

std::string faulty_fleet::ticket_for(const fleet::step_ref& step, const node& vm) const {
    return step.job.str() + "." + std::to_string(step.occurrence) + "." +
           std::to_string(step.step) + "@" + vm.vm->facts().id.str() + "/" +
           std::to_string(vm.vm->facts().boot.value());
}

bool faulty_fleet::needs_ticket(const fleet::job_id& job) const {
    const auto it = jobs_.find(job);
    return it != jobs_.end() && queues_with_advice_.count(it->second.spec.queue) > 0;
}

bool faulty_fleet::grants(const fleet::step_ref& step, const node& vm) const {
    // The finalizer of MurmurHash3.
    std::uint64_t hash = std::hash<std::string>{}(step.job.str()) ^ options_.seed;
    hash += (static_cast<std::uint64_t>(step.step) << 32U) + vm.number * 0x9e3779b97f4a7c15U;
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
    hash ^= hash >> 33U;
    constexpr double range = 18446744073709551616.0;  // 2^64
    return static_cast<double>(hash) / range < options_.granted_share;
}

// A ticket is "STEP@VM/BOOT expiry", with the expiry in milliseconds of simulated time.
void faulty_fleet::send_query(const fleet::placement_query& query) {
    ++open_queries_;
    open_long_queries_ += query.is_long ? 1 : 0;
    const auto finish = [this, query](const auto& answer) {
        --open_queries_;
        open_long_queries_ -= query.is_long ? 1 : 0;
        scheduler_->query_answered(query, answer, now());
    };
    tl::expected<fleet::placement_response, command_failure> lost =
        tl::make_unexpected(command_failure::answer_lost);
    if (draw(0.25)) {
        after_for_owner(command_timeout + query.service_time, [finish, lost] { finish(lost); });
        return;
    }
    after_for_owner(delay() + query.service_time, [this, query, finish] {
        fleet::placement_response answer;
        answer.ticket_lifetime = options_.ticket_lifetime;
        const auto expiry =
            as_milliseconds(time_.time_since_epoch()).count() + options_.ticket_lifetime.count();
        for (const auto& it : query.vms) {
            const node* const vm = find(it);
            if (vm != nullptr && grants(query.step, *vm)) {
                answer.grants.push_back(
                    {it, fleet::placement_ticket(ticket_for(query.step, *vm) + " " +
                                                 std::to_string(expiry))});
            }
        }
        const auto late = draw(0.1) ? base::milliseconds(2'000) : delay();
        after_for_owner(late, [finish, answer] { finish(answer); });
    });
}

void faulty_fleet::send_start(const fleet::start_decision& decision) {
    const auto answered = [this, decision](const auto& answer) {
        scheduler_->start_answered(decision.vm, decision.task, decision.run, answer, now());
    };
    const tl::expected<fleet::vm_time, command_failure> lost =
        tl::make_unexpected(command_failure::answer_lost);
    node* const addressed = find(decision.vm);
    if (addressed != nullptr) {
        addressed->lease_until = std::max(addressed->lease_until, time_ + lease);
    }
    const auto carry_out = [this, decision, owner = owner_, sent_at = time_,
                            boot = addressed == nullptr ? fleet::boot_time{}
                                                        : addressed->vm->facts().boot]()
        -> std::optional<tl::expected<fleet::vm_time, command_failure>> {
        node* const target = find(decision.vm);
        if (target == nullptr || !reaches(*target)) {
            return std::nullopt;
        }
        if (target->vm->facts().boot != boot) {
            return tl::make_unexpected(command_failure::other_incarnation);
        }
        if (needs_ticket(decision.task.job)) {
            const std::string& ticket = decision.ticket.str();
            const auto space = ticket.find(' ');
            const fleet::step_ref step{decision.task.job, decision.task.occurrence,
                                       decision.task.step};
            if (space == std::string::npos ||
                ticket.substr(0, space) != ticket_for(step, *target) ||
                std::stoll(ticket.substr(space)) <
                    as_milliseconds(time_.time_since_epoch()).count()) {
                return tl::make_unexpected(command_failure::ticket_invalid);
            }
        }
        if (draw(0.05)) {
            return tl::make_unexpected(command_failure::unhealthy);
        }
        fleet::start_command command;
        command.task = decision.task;
        command.run = decision.run;
        command.lease_until =
            fleet::vm_time(target->vm->watch(owner, {}).value_or(fleet::vm_report{}).now.value() +
                           lease.count() - as_milliseconds(time_ - sent_at).count());
        const bool repeated = target->vm->running().count(decision.task) > 0;
        const auto answer = target->vm->start(owner, command);
        start_count_ += answer && !repeated ? 1 : 0;
        return answer;
    };
    if (draw(0.1)) {
        after_for_owner(command_timeout, [answered, lost] { answered(lost); });
        if (draw(0.5)) {
            // The command arrives late.
            after(base::milliseconds(std::uniform_int_distribution<int>(0, 3'000)(random_)),
                  [carry_out] { carry_out(); });
        }
        return;
    }
    after(delay(), [this, carry_out, answered, lost, owner = owner_] {
        const auto answer = carry_out();
        if (owner != owner_) {
            return;
        }
        const bool is_lost = !answer || draw(0.1);
        after_for_owner(is_lost ? command_timeout : delay(),
                        [answered, result = is_lost ? lost : *answer] { answered(result); });
    });
}

void faulty_fleet::send_stop(const fleet::stop_decision& decision) {
    const auto answered = [this, decision](const auto& answer) {
        scheduler_->stop_answered(decision.vm, decision.task, decision.run, answer, now());
    };
    after(delay(), [this, decision, answered, owner = owner_] {
        if (owner != owner_) {
            return;
        }
        node* const target = find(decision.vm);
        tl::expected<fleet::vm_time, command_failure> answer =
            tl::make_unexpected(command_failure::answer_lost);
        bool is_lost = true;
        if (target != nullptr && reaches(*target)) {
            answer = target->vm->stop(owner, decision.task, decision.run);
            is_lost = draw(0.2);
        }
        if (is_lost) {
            answer = tl::make_unexpected(command_failure::answer_lost);
        }
        after_for_owner(is_lost ? command_timeout : delay(),
                        [answered, answer] { answered(answer); });
    });
}

void faulty_fleet::send_watch(node& watched) {
    const auto id = watched.vm->facts().id;
    const auto session = watched.session;
    const auto sent_at = time_;
    const bool has_reported = watched.boot.value() > 0 && !watched.lost;
    after_for_owner(delay(), [this, id, session, sent_at, has_reported] {
        node* const target = find(id);
        if (target == nullptr || !reaches(*target) || draw(0.05)) {
            after_for_owner(command_timeout, [this, id, session] { on_watch_failed(id, session); });
            return;
        }
        fleet::watch_command command;
        if (has_reported && target->boot == target->vm->facts().boot) {
            const auto clock = target->vm->watch(owner_, {});
            command.lease_until = fleet::vm_time(clock->now.value() + lease.count());
            command.acknowledged = scheduler_->acknowledgeable_completion(id);
            target->lease_until = time_ + lease;
        }
        const auto report = target->vm->watch(owner_, command);
        // An answer may be late, also for longer than a lost one is waited for.
        const auto late = draw(0.05) ? base::milliseconds(500) : delay();
        after_for_owner(late, [this, id, session, report, sent_at] {
            on_report(id, session, *report, sent_at);
        });
    });
}

void faulty_fleet::on_watch_failed(const fleet::vm_id& vm, std::uint64_t session) {
    node* const watched = find(vm);
    if (watched == nullptr) {
        // The member list no longer has the VM.
        scheduler_->vm_lost(vm, "left", {}, now());
        return;
    }
    if (watched->session != session) {
        return;
    }
    scheduler_->vm_reachable(vm, false);
    if (time_ > watched->lease_until + base::milliseconds(100) && !watched->lost) {
        watched->lost = true;
        watched->forget_failures();
        scheduler_->vm_lost(vm, "lease_expired", {}, now());
        scheduler_->vm_listed(watched->vm->facts());
    }
    after_for_owner(watch_retry, [this, vm] {
        if (node* const it = find(vm)) {
            send_watch(*it);
        } else {
            scheduler_->vm_lost(vm, "left", {}, now());
        }
    });
}

void faulty_fleet::on_report(const fleet::vm_id& vm, std::uint64_t session,
                             const fleet::vm_report& report, base::time_point requested_at) {
    node* const watched = find(vm);
    if (watched == nullptr) {
        scheduler_->vm_lost(vm, "left", {}, now());
        return;
    }
    if (watched->session != session) {
        return;
    }
    if (watched->boot.value() > 0 && report.boot != watched->boot) {
        watched->last_completion = {};
        scheduler_->vm_listed(watched->vm->facts());
        scheduler_->vm_restarted(vm);
    }
    watched->boot = report.boot;
    watched->lost = false;
    count_failures(*watched, report);
    scheduler_->vm_reported(vm, report, requested_at, now());
    after_for_owner(watch_interval, [this, vm] {
        if (node* const it = find(vm)) {
            send_watch(*it);
        } else {
            scheduler_->vm_lost(vm, "left", {}, now());
        }
    });
}

// Runs that were to fail while there were faults fail up to some seconds later, so a quarantine may
// begin after the faults have ended.
void faulty_fleet::count_failures(node& reporting, const fleet::vm_report& report) const {
    for (const auto& it : report.completions) {
        if (it.number <= reporting.last_completion) {
            continue;
        }
        reporting.last_completion = it.number;
        const auto saved = saved_.find(it.task.job);
        if (saved != saved_.end() && is_final(saved->second.state)) {
            continue;  // shows nothing: the job has ended meanwhile
        }
        if (it.kind == fleet::completion_kind::done) {
            reporting.failed_jobs.clear();
        } else if (it.kind == fleet::completion_kind::failed) {
            reporting.failed_jobs.insert(it.task.job);
            if (reporting.failed_jobs.size() >= failed_jobs_before_quarantine) {
                reporting.failed_jobs.clear();
                reporting.quarantined_until = time_ + fleet::scheduler_settings{}.quarantine;
            }
        }
    }
}

// The members of a gang progress while all of them run, and end together. A gang that stays
// incomplete ends.
void faulty_fleet::advance_gangs() {
    struct member {
        fleet_vm* vm;
        fleet::task_ref task;
    };
    std::map<std::pair<fleet::step_ref, fleet::run_number>, std::vector<member>> present;
    std::map<std::pair<fleet::step_ref, fleet::run_number>, task_behavior> plans;
    for (const auto& vm : nodes_) {
        for (const auto& it : vm->vm->running()) {
            if (it.second.behavior.gang_size > 0) {
                const std::pair run{
                    fleet::step_ref{it.first.job, it.first.occurrence, it.first.step},
                    it.second.number};
                present[run].push_back({vm->vm.get(), it.first});
                plans[run].run_time = it.second.behavior.run_time;
                plans[run].gang_size = it.second.behavior.gang_size;
                plans[run].fails = plans[run].fails || it.second.behavior.fails;
            }
        }
    }
    for (const auto& it : present) {
        auto& progress = gang_time_[it.first];
        const auto since = gang_since_.emplace(it.first, time_).first->second;
        const bool complete = it.second.size() == plans[it.first].gang_size;
        progress += complete ? step_time : base::milliseconds{0};
        const bool finished = progress >= plans[it.first].run_time;
        const bool broken = !complete && (progress.count() > 0 || time_ - since > gang_wait_limit);
        bool first = true;
        for (const auto& one : it.second) {
            if (broken) {
                one.vm->end_run(one.task, progress.count() > 0
                                              ? fleet::completion_kind::gang_broken
                                              : fleet::completion_kind::gang_incomplete);
            } else if (finished && plans[it.first].fails) {
                one.vm->end_run(one.task, first ? fleet::completion_kind::failed
                                                : fleet::completion_kind::gang_broken);
            } else if (finished) {
                one.vm->end_run(one.task, fleet::completion_kind::done);
            }
            first = false;
        }
    }
}

void faulty_fleet::save() {
    for (const auto& it : scheduler_->take_unsaved_jobs(now())) {
        write_progress(saved_[it.job], it.progress);
        scheduler_->progress_saved(it.job, it.change);
        if (it.progress.occurrences.empty()) {
            continue;  // the job has ended
        }
        const auto add_done = [&](int step, int first_task, const fleet::step_progress& saved) {
            for (std::size_t i = 0; i < saved.done.size(); ++i) {
                if (saved.done[i]) {
                    done_.insert({it.job, 0, step, first_task + static_cast<int>(i)});
                }
            }
        };
        const auto& steps = it.progress.occurrences.front();
        for (std::size_t step = 0; step < steps.size(); ++step) {
            add_done(static_cast<int>(step), 0, steps[step]);
        }
        for (const auto& block : it.progress.blocks) {
            add_done(block.first.step, block.first.first_task, block.second);
        }
    }
}

void faulty_fleet::forget_waits() {
    waits_since_.clear();
    reported_waits_.clear();
    violations_.clear();
}

bool faulty_fleet::all_ended(const fleet::customer_name& customer) const {
    return std::all_of(jobs_.begin(), jobs_.end(), [&](const auto& it) {
        const auto saved = saved_.find(it.first);
        return it.second.spec.customer != customer ||
               (saved != saved_.end() && is_final(saved->second.state));
    });
}

// Describes the room if the step's need fits twice over on VMs that its advisor grants.
std::optional<std::string> faulty_fleet::room_for(const job_entry& job, int step_index,
                                                  bool gang) const {
    const auto& step = job.spec.steps[static_cast<std::size_t>(step_index)];
    const fleet::step_ref ref{job.spec.id, 0, step_index};
    std::int64_t places = 0;
    int granted_vms = 0;
    for (const auto& vm : nodes_) {
        if (!reaches(*vm) || time_ < vm->quarantined_until ||
            (needs_ticket(job.spec.id) && !grants(ref, *vm))) {
            continue;
        }
        ++granted_vms;
        base::resources room = vm->vm->facts().capacity;
        std::int64_t of_step = 0;
        for (const auto& it : vm->vm->running()) {
            room -= it.second.behavior.need;
            of_step += it.first.job == job.spec.id && it.first.step == step_index ? 1 : 0;
        }
        auto n = tasks_fitting(step.need, room);
        if (step.max_per_vm > 0) {
            n = std::min(n, step.max_per_vm - of_step);
        }
        places += std::max<std::int64_t>(n, 0);
    }
    const std::int64_t wanted = gang ? 2 * static_cast<std::int64_t>(step.task_count) : 2;
    if (places < wanted) {
        return std::nullopt;
    }
    return "places " + std::to_string(places) + " on " + std::to_string(granted_vms) +
           " granted VMs";
}

// What the scheduler has recorded of the task's step, if that waits.
std::string faulty_fleet::reason_of(const fleet::task_ref& task) {
    constexpr std::size_t all = 10'000;
    for (const auto& it : scheduler_->overdue_steps(now(), base::milliseconds(0), all, all)) {
        if (it.step.job == task.job && it.step.step == task.step) {
            return std::string(", ") + to_string(it.reason) + " " +
                   std::to_string(it.considered_before.count()) + " ms ago, grants " +
                   std::to_string(it.valid_grants) + " and " + std::to_string(it.expired_grants) +
                   " expired, denied " + std::to_string(it.denied) + ", headroom " +
                   std::to_string(it.headroom.cores.value());
        }
    }
    return ", not among the overdue steps";
}

void faulty_fleet::check_waits() {
    base::resources used;
    base::resources capacity;
    std::map<fleet::customer_name, base::resources> in_use;
    std::set<fleet::task_ref> at_work = done_;
    for (const auto& vm : nodes_) {
        if (!vm->present) {
            continue;
        }
        capacity += vm->vm->facts().capacity;
        for (const auto& it : vm->vm->running()) {
            used += it.second.behavior.need;
            in_use[jobs_.at(it.first.job).spec.customer] += it.second.behavior.need;
            at_work.insert(it.first);
        }
        for (const auto& it : vm->vm->unacknowledged()) {
            if (it.kind == fleet::completion_kind::done) {
                at_work.insert(it.task);
            }
        }
    }
    std::map<fleet::task_ref, base::time_point> waiting;
    const bool half_free = 2 * used.cores.value() < capacity.cores.value() &&
                           2 * used.memory.value() < capacity.memory.value();
    for (auto job = jobs_.begin(); half_free && job != jobs_.end(); ++job) {
        const auto saved = saved_.find(job->first);
        const auto& customer = configuration_->customers.at(job->second.spec.customer);
        const auto limit = customer.upper_limit.cores.value();
        if ((saved != saved_.end() && is_final(saved->second.state)) ||
            (limit > 0 && 2 * in_use[customer.name].cores.value() >= limit)) {
            continue;
        }
        const auto& steps = job->second.spec.steps;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto is_done = [&](int step) {
                for (int n = 0; n < steps[static_cast<std::size_t>(step)].task_count; ++n) {
                    if (done_.count({job->first, 0, step, n}) == 0) {
                        return false;
                    }
                }
                return true;
            };
            const bool ready = std::all_of(steps[i].after.begin(), steps[i].after.end(), is_done);
            std::optional<std::string> room;
            for (int n = 0; ready && n < steps[i].task_count; ++n) {
                const fleet::task_ref task{job->first, 0, static_cast<int>(i), n};
                if (at_work.count(task) > 0) {
                    if (steps[i].gang) {
                        break;  // the gang runs, ends, or is about to be stopped
                    }
                    continue;
                }
                if (!room) {
                    room = room_for(job->second, static_cast<int>(i), steps[i].gang);
                }
                if (!room) {
                    break;
                }
                const auto before = waits_since_.find(task);
                const auto since = before == waits_since_.end() ? time_ : before->second;
                waiting[task] = since;
                if (time_ - since > options_.longest_wait && reported_waits_.insert(task).second) {
                    violations_.push_back(fleet::to_string(task) + " waits beside room: " + *room +
                                          ", need " + std::to_string(steps[i].need.cores.value()) +
                                          " x " + std::to_string(steps[i].task_count) +
                                          (steps[i].gang ? " (gang)" : "") + ", at most " +
                                          std::to_string(steps[i].max_per_vm) + " a VM, queue " +
                                          job->second.spec.queue.str() + ", cores in use " +
                                          std::to_string(used.cores.value()) + " of " +
                                          std::to_string(capacity.cores.value()) + reason_of(task));
                }
                if (steps[i].gang) {
                    break;
                }
            }
        }
    }
    waits_since_ = std::move(waiting);
}

}  // namespace cranberrydock::standins
