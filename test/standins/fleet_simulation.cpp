// Steps the simulation and checks it.
#include "fleet_simulation.hpp"

#include "fleet_test_data.hpp"

#include <algorithm>

namespace cranberrydock::standins {
namespace {

constexpr base::milliseconds step_time{10};
constexpr std::int64_t lease_ms = 4'500;
constexpr std::int64_t first_unix_ms = 1'700'000'000'000;

std::string task_text(const fleet::task_ref& task) {
    return task.job.str() + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

}  // namespace

fleet_simulation::fleet_simulation(const fleet_simulation_options& plan,
                                   fleet_vm::task_behavior_function work)
    : options_(plan), work_(std::move(work)), random_(plan.seed) {
    for (int i = 0; i < plan.vms; ++i) {
        fleet::vm_info facts;
        facts.id = fleet::vm_id("vm-" + std::to_string(i));
        facts.address = "127.0.0.1:" + std::to_string(1 + i);
        facts.service = fleet::service_name("svc");
        facts.rack = fleet::rack_name("r1-" + std::to_string(i / 2));
        facts.capacity = plan.vm_capacity;
        facts.boot = fleet::boot_time(1);
        vms_.push_back(std::make_unique<fleet_vm>(facts, work_));
    }
    scheduler_ =
        std::make_unique<fleet::scheduler>(fencing_token_, fleet::scheduler_settings{}, metrics_);
    for (const auto& it : vms_) {
        scheduler_->vm_listed(it->facts());
    }
    scheduler_->inherited_runs_reported(now());
}

fleet::clock_reading fleet_simulation::now() const {
    return {time_,
            fleet::unix_time(
                first_unix_ms +
                std::chrono::duration_cast<base::milliseconds>(time_.time_since_epoch()).count())};
}

void fleet_simulation::configure(fleet::fleet_configuration configuration) {
    configuration_ = std::make_shared<const fleet::fleet_configuration>(std::move(configuration));
    scheduler_->configure(configuration_);
}

void fleet_simulation::submit(const fleet::job_spec& job) {
    fleet::job_spec accepted_job = job;
    accepted_job.accepted = now().wall;
    jobs_[job.id] = accepted_job;
    scheduler_->add_job(accepted_job, nullptr, false, now());
}

void fleet_simulation::cancel(const fleet::job_id& job) {
    cancelled_.insert(job);
    scheduler_->cancel_job(job, now());
}

void fleet_simulation::crash_vm(std::size_t index) {
    if (is_down(*vms_[index])) {
        return;
    }
    count_crash(*vms_[index]);
    vms_[index]->crash();
    scheduler_->vm_restarted(vms_[index]->facts().id);
    scheduler_->vm_listed(vms_[index]->facts());
}

void fleet_simulation::crash_vm_for(std::size_t index, base::milliseconds outage) {
    fleet_vm& vm = *vms_[index];
    if (is_down(vm)) {
        return;
    }
    count_crash(vm);
    vm.crash();
    down_until_[&vm] = time_ + outage;
    scheduler_->vm_reachable(vm.facts().id, false);
    scheduler_->vm_refuses_connections(vm.facts().id);
}

void fleet_simulation::resize_vm(std::size_t index, const base::resources& capacity,
                                 base::milliseconds entry_delay) {
    fleet_vm& vm = *vms_[index];
    resizes_[&vm].push_back({time_, vm.facts().capacity});
    vm.set_capacity(capacity);
    // Entries arrive in the order of the changes.
    const auto earliest = late_entries_.empty() ? time_ : late_entries_.rbegin()->first;
    late_entries_.emplace(std::max(earliest, time_ + entry_delay), vm.facts());
}

void fleet_simulation::list_resized_vms() {
    while (!late_entries_.empty() && late_entries_.begin()->first <= time_) {
        scheduler_->vm_listed(late_entries_.begin()->second);
        late_entries_.erase(late_entries_.begin());
    }
}

base::resources fleet_simulation::largest_capacity(const fleet_vm& vm,
                                                   base::milliseconds within) const {
    base::resources out = vm.facts().capacity;
    const auto found = resizes_.find(&vm);
    if (found != resizes_.end()) {
        for (const auto& it : found->second) {
            out = time_ - it.at <= within ? max_of(out, it.before) : out;
        }
    }
    return out;
}

// A start must not bring the VM over what it has, once its entry can have shown that.
void fleet_simulation::check_capacity(const fleet_vm& vm) {
    constexpr base::milliseconds longest_entry_delay{500};
    base::resources used;
    for (const auto& it : vm.running()) {
        used += it.second.behavior.need;
    }
    if (!fits(used, largest_capacity(vm, longest_entry_delay + 2 * step_time))) {
        violations_.push_back("started over its capacity: " + vm.facts().id.str());
    }
}

void fleet_simulation::return_crashed_vms() {
    for (auto it = down_until_.begin(); it != down_until_.end();) {
        if (time_ < it->second) {
            ++it;
            continue;
        }
        const fleet::vm_info& facts = it->first->facts();
        it = down_until_.erase(it);
        scheduler_->vm_process_ended(facts.id);
        scheduler_->vm_restarted(facts.id);
        scheduler_->vm_listed(facts);
    }
}

void fleet_simulation::crash_vms_of_deadly_runs() {
    constexpr base::milliseconds outage{3'000};
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        const auto& running = vms_[i]->running();
        if (std::any_of(running.begin(), running.end(), [](const auto& it) {
                const auto& after = it.second.behavior.crashes_vm_after;
                return after && it.second.age >= *after;
            })) {
            crash_vm_for(i, outage);
        }
    }
}

void fleet_simulation::count_crash(const fleet_vm& vm) {
    for (const auto& it : vm.running()) {
        ++crashes_[it.first];
    }
}

int fleet_simulation::crash_count(const fleet::task_ref& task) const {
    const auto it = crashes_.find(task);
    return it == crashes_.end() ? 0 : it->second;
}

int fleet_simulation::max_crash_count(const fleet::job_id& job) const {
    int out = 0;
    for (const auto& it : crashes_) {
        out = it.first.job == job ? std::max(out, it.second) : out;
    }
    return out;
}

void fleet_simulation::replace_owner() {
    fencing_token_ = fencing_token_.next();
    scheduler_ =
        std::make_unique<fleet::scheduler>(fencing_token_, fleet::scheduler_settings{}, metrics_);
    scheduler_->configure(configuration_);
    for (const auto& it : vms_) {
        scheduler_->vm_listed(it->facts());
    }
    for (const auto& it : jobs_) {
        const auto saved = saved_.find(it.first);
        if (saved == saved_.end()) {
            scheduler_->add_job(it.second, nullptr, true, now());
        } else if (!is_final(saved->second.state)) {
            scheduler_->add_job(it.second, &saved->second, true, now());
        }
        if (cancelled_.count(it.first) > 0) {
            scheduler_->cancel_job(it.first, now());
        }
    }
    for (const auto& it : vms_) {
        if (is_down(*it)) {
            scheduler_->vm_reachable(it->facts().id, false);
        } else {
            watch(*it);
        }
    }
    scheduler_->inherited_runs_reported(now());
}

void fleet_simulation::run_for(base::milliseconds time) {
    for (base::milliseconds passed{0}; passed < time; passed += step_time) {
        step();
    }
}

void fleet_simulation::step() {
    time_ += step_time;
    for (const auto& it : vms_) {
        it->advance(step_time);
    }
    advance_gangs();
    crash_vms_of_deadly_runs();
    return_crashed_vms();
    list_resized_vms();
    for (const auto& it : vms_) {
        if (!is_down(*it)) {
            watch(*it);
        }
    }
    // The simulated owner receives new jobs without delay.
    scheduler_->jobs_read_as_of(time_ + step_time);
    apply(scheduler_->decide(now(), {1, 1}));
    check_state();
    // Changes are saved in one of four steps on average, so that owners die with unsaved progress.
    if (std::uniform_int_distribution<int>(0, 3)(random_) == 0 && !store_away_) {
        save();
    }
}

bool fleet_simulation::draw_answer_loss() {
    return std::uniform_real_distribution<double>(0, 1)(random_) < options_.lost_command_share;
}

void fleet_simulation::send_start(const fleet::start_decision& decision) {
    const auto vm = std::find_if(vms_.begin(), vms_.end(),
                                 [&](const auto& it) { return it->facts().id == decision.vm; });
    if (is_down(**vm)) {
        scheduler_->start_answered(decision.vm, decision.task, decision.run,
                                   tl::make_unexpected(fleet::command_failure::not_delivered),
                                   now());
        return;
    }
    fleet::start_command order;
    order.task = decision.task;
    order.run = decision.run;
    order.payload = decision.payload;
    order.lease_until = fleet::vm_time(
        (*vm)->watch(fencing_token_, {}).value_or(fleet::vm_report{}).now.value() + lease_ms);
    tl::expected<fleet::vm_time, fleet::command_failure> answer =
        tl::make_unexpected(fleet::command_failure::answer_lost);
    const bool answer_lost = draw_answer_loss();
    if (!answer_lost || std::uniform_int_distribution<int>(0, 1)(random_) == 0) {
        const bool already_running = (*vm)->running().count(decision.task) > 0;
        const auto carried_out = (*vm)->start(fencing_token_, order);
        if (carried_out && !already_running) {
            ++start_count_;
            check_start(decision);
            check_capacity(**vm);
        }
        if (!answer_lost) {
            answer = carried_out;
        }
    }
    scheduler_->start_answered(decision.vm, decision.task, decision.run, answer, now());
}

void fleet_simulation::apply(const fleet::decisions& decided) {
    for (const auto& it : decided.stops) {
        const auto vm = std::find_if(vms_.begin(), vms_.end(),
                                     [&](const auto& one) { return one->facts().id == it.vm; });
        tl::expected<fleet::vm_time, fleet::command_failure> answer =
            tl::make_unexpected(fleet::command_failure::answer_lost);
        if (!draw_answer_loss() && !is_down(**vm)) {
            answer = (*vm)->stop(fencing_token_, it.task, it.run);
        }
        scheduler_->stop_answered(it.vm, it.task, it.run, answer, now());
    }
    for (const auto& it : decided.starts) {
        send_start(it);
    }
}

void fleet_simulation::watch(fleet_vm& vm) {
    const auto sent_at = time_;
    fleet::watch_command order;
    order.acknowledged = scheduler_->acknowledgeable_completion(vm.facts().id);
    const auto clock = vm.watch(fencing_token_, {});
    order.lease_until = fleet::vm_time(clock->now.value() + lease_ms);
    const auto report = vm.watch(fencing_token_, order);
    for (const auto& it : clock->completions) {
        if (it.kind == fleet::completion_kind::failed) {
            listed_failures_[it.task].insert(it.run);
        }
        // A completion that no owner has acknowledged is lost if its VM crashes.
        if (it.number > order.acknowledged) {
            continue;
        }
        if (it.kind == fleet::completion_kind::failed) {
            failed_[it.task].insert(it.run);
        } else if (it.kind == fleet::completion_kind::done) {
            done_.insert(it.task);
        }
    }
    scheduler_->vm_reported(vm.facts().id, *report, sent_at, now());
}

// The members of a gang make progress while all of them run, and end together: done or, if a member
// fails or is lost, broken.
void fleet_simulation::advance_gangs() {
    struct member {
        fleet_vm* vm;
        fleet::task_ref task;
    };
    std::map<gang_run, std::vector<member>> present;
    std::map<gang_run, task_behavior> plans;
    for (const auto& vm : vms_) {
        for (const auto& it : vm->running()) {
            if (it.second.behavior.gang_size > 0) {
                const gang_run run{{it.first.job, it.first.occurrence, it.first.step},
                                   it.second.number};
                present[run].push_back({vm.get(), it.first});
                plans[run] = it.second.behavior;
            }
        }
    }
    for (const auto& it : present) {
        auto& work_time = gang_work_[it.first];
        const bool all_present = it.second.size() == plans[it.first].gang_size;
        work_time += all_present ? step_time : base::milliseconds{0};
        const bool finished = work_time >= plans[it.first].run_time;
        const bool broken = !all_present && work_time.count() > 0;
        bool first = true;
        for (const auto& member : it.second) {
            if (broken) {
                member.vm->end_run(member.task, fleet::completion_kind::gang_broken);
            } else if (finished && plans[it.first].fails) {
                member.vm->end_run(member.task, first ? fleet::completion_kind::failed
                                                      : fleet::completion_kind::gang_broken);
            } else if (finished) {
                member.vm->end_run(member.task, fleet::completion_kind::done);
            }
            first = false;
        }
    }
}

void fleet_simulation::save() {
    for (const auto& it : scheduler_->take_unsaved_jobs(now())) {
        // Encodes and decodes, as a write to the store and a read would.
        const auto read = fleet::decode_progress(fleet::encode_progress(it.progress));
        if (!read) {
            violations_.push_back("unreadable progress: " + read.error());
            continue;
        }
        write_progress(saved_[it.job], it.progress);
        scheduler_->progress_saved(it.job, it.change);
    }
    check_failed_jobs();
}

// A job fails only after a task of it has used up its attempts, or two VMs have crashed under it.
void fleet_simulation::check_failed_jobs() {
    for (const auto& it : saved_) {
        const auto max_attempts = static_cast<std::size_t>(jobs_.at(it.first).terms.max_attempts);
        const bool has_cause =
            std::any_of(listed_failures_.begin(), listed_failures_.end(),
                        [&](const auto& failures) {
                            return failures.first.job == it.first &&
                                   failures.second.size() >= max_attempts;
                        }) ||
            std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& crashes) {
                return crashes.first.job == it.first && crashes.second >= 2;
            });
        if (it.second.state == fleet::job_state::failed && !has_cause) {
            violations_.push_back("failed without a cause: " + it.first.str());
        }
    }
}

void fleet_simulation::check_crash_budget(const fleet::task_ref& task) {
    constexpr int crashes_before_limit = 3;
    constexpr int first_start_too_many = 3;
    if (work_(task, {}).crashes_vm_after && crash_count(task) >= crashes_before_limit &&
        ++starts_after_third_crash_[task] == first_start_too_many) {
        violations_.push_back("started three times after three VMs had crashed under it: " +
                              task_text(task));
    }
}

void fleet_simulation::check_start(const fleet::start_decision& decision) {
    const auto job = jobs_.find(decision.task.job);
    if (job == jobs_.end()) {
        violations_.push_back("a start of a task that was not submitted: " +
                              task_text(decision.task));
        return;
    }
    if (done_.count(decision.task) > 0) {
        violations_.push_back("started again after it was done: " + task_text(decision.task));
    }
    check_crash_budget(decision.task);
    const auto failures = failed_.find(decision.task);
    if (failures != failed_.end() &&
        static_cast<int>(failures->second.size()) >= job->second.terms.max_attempts) {
        violations_.push_back("started after its last attempt: " + task_text(decision.task));
    }
    for (const int earlier_step :
         job->second.steps[static_cast<std::size_t>(decision.task.step)].after) {
        const int n = job->second.steps[static_cast<std::size_t>(earlier_step)].task_count;
        for (int i = 0; i < n; ++i) {
            for (const auto& vm : vms_) {
                if (vm->running().count(
                        {decision.task.job, decision.task.occurrence, earlier_step, i}) > 0) {
                    violations_.push_back("started before an earlier step was done: " +
                                          task_text(decision.task));
                }
            }
        }
    }
}

void fleet_simulation::check_state() {
    std::map<fleet::task_ref, int> run_counts;
    std::map<fleet::customer_name, base::resources> in_use;
    for (const auto& vm : vms_) {
        base::resources used;
        for (const auto& it : vm->running()) {
            used += it.second.behavior.need;
            ++run_counts[it.first];
            const auto job = jobs_.find(it.first.job);
            if (job != jobs_.end()) {
                in_use[job->second.customer] += it.second.behavior.need;
            }
        }
        if (!fits(used, largest_capacity(*vm, std::chrono::hours(24)))) {
            violations_.push_back("overcommitted: " + vm->facts().id.str());
        }
    }
    for (const auto& it : run_counts) {
        if (it.second > 1) {
            violations_.push_back("runs in two places: " + task_text(it.first));
        }
    }
    for (const auto& it : in_use) {
        const auto limits = configuration_->customers.find(it.first);
        if (limits != configuration_->customers.end() &&
            limits->second.upper_limit.cores.value() > 0 &&
            it.second.cores > limits->second.upper_limit.cores) {
            violations_.push_back("above its limit: " + it.first.str());
        }
    }
    std::map<fleet::queue_name, std::int64_t> not_started;
    for (const auto& it : jobs_) {
        const auto known = scheduler_->status_of(it.first);
        if (known && known->state == fleet::job_state::queued) {
            ++not_started[it.second.queue];
        }
    }
    if (not_started != scheduler_->jobs_not_started()) {
        violations_.push_back("the count of jobs that have not started is wrong");
    }
}

fleet::job_state fleet_simulation::state_of(const fleet::job_id& job) const {
    const auto it = saved_.find(job);
    return it == saved_.end() ? fleet::job_state::queued : it->second.state;
}

bool fleet_simulation::all_ended() const {
    return std::all_of(jobs_.begin(), jobs_.end(),
                       [this](const auto& it) { return is_final(state_of(it.first)); });
}

}  // namespace cranberrydock::standins
