// The owner's task: runs the scheduler on events and carries out its decisions.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet_daemon {
namespace {

// Events that arrive within this time are handled by one decision.
constexpr base::milliseconds decide_delay{2};
// The pause between two decisions is this multiple of the time that the last one took, so that
// other events are processed in between.
constexpr int pause_per_decision_time = 4;
// How long a query for changes stays open. A lost answer delays the changes by slightly more.
constexpr base::milliseconds follow_wait{700};
constexpr base::milliseconds log_period{2'000};
// A task that has waited for this long although there is room for it is logged.
constexpr base::milliseconds long_wait{3'000};
// Limits on the steps examined and logged in one period, which bound the time that this takes.
constexpr std::size_t max_steps_examined = 200;
constexpr std::size_t max_waits_logged = 20;
// The estimate of waits is shorter-lived than the interval at which the owner's row is written.
constexpr base::milliseconds load_period{250};
constexpr std::size_t max_logged_queues = 12;
// Changes within this time are read by one call, since each call to the store has a cost. The owner
// usually learns of new jobs earlier, from the daemons that accepted them.
constexpr base::milliseconds jobs_batch_pause{100};
constexpr base::milliseconds members_batch_pause{200};

fleet::load_estimate_settings load_settings(const fleet::scheduler_settings& scheduler) {
    fleet::load_estimate_settings out;
    out.late_factor = scheduler.late_factor;
    return out;
}

// The owner's row limit leaves half of a row for estimates that turn out too low.
fleet::scheduler_settings scheduler_settings_of(const owner_settings& settings) {
    fleet::scheduler_settings out = settings.scheduler;
    out.max_progress_row_bytes = settings.limits.row_bytes / 2;
    return out;
}

}  // namespace

owner_task::state::state(net::event_loop& event_loop, fleet::row_store& rows_store,
                         fleet::vm_control& vm_calls, const fleet::platform_rows& platform,
                         const job_layout& job_rows_layout, advisor_pool& pool,
                         ownership_view& ownership, fleet::fencing_token token,
                         const owner_settings& initial_settings, base::metrics& metrics_registry)
    : loop(event_loop),
      store(rows_store),
      vms(vm_calls),
      rows(platform),
      layout(job_rows_layout),
      advisors(pool),
      rights(ownership),
      owner(token),
      settings(initial_settings),
      metrics(metrics_registry),
      inherited(initial_settings.session.leases, clock.now(),
                initial_settings.previous_owner_validity),
      inherited_vms({initial_settings.expected_vms, initial_settings.expected_vm_set,
                     initial_settings.members_complete_from},
                    inherited, clock.now()),
      scheduler(token, scheduler_settings_of(initial_settings), metrics_registry),
      expected_waits(load_settings(initial_settings.scheduler)),
      job_rows([this](const auto& all) { on_job_table(all); },
               [this](const auto& changed) { on_job_changes(changed); }),
      member_rows([this](const auto& all) { on_member_table(all); },
                  [this](const auto& changed) { on_member_changes(changed); }),
      jobs(loop, store, job_table, layout.partitions(), follow_wait, jobs_batch_pause, job_rows),
      members(loop, store, rows.member_table(), {fleet::partition_name("")}, follow_wait,
              members_batch_pause, member_rows) {
    started_at = clock.now();
    listening.restart(started_at);
    tick = loop.every(tick_period, [this] {
        listening.tick(clock.now());
        process_early_reports();
        check_inherited_runs();
        if (jobs_known) {
            scheduler.jobs_read_as_of(jobs.as_of());
        }
        decide();
        remove_expired_jobs();
        answer_overdue_callers();
    });
    load_timer = loop.every(load_period, [this] { update_load(); });
    logging = loop.every(log_period, [this] { log_load(); });
}

fleet::clock_reading owner_task::state::now() const {
    return {clock.now(), fleet::unix_time(std::chrono::duration_cast<base::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count())};
}

void owner_task::state::wake() {
    if (!decide_timer) {
        const auto pause_left =
            last_decision + last_decision_time * pause_per_decision_time - clock.now();
        decide_timer = loop.after(std::max<base::duration>(decide_delay, pause_left), [this] {
            decide_timer.reset();
            decide();
        });
    }
}

void owner_task::state::decide() {
    ended_sessions.clear();
    if (decide_timer || !rights.may_issue_commands() || !jobs_known || !members_known) {
        return;  // a decision is scheduled already, or none is allowed
    }
    hold_starts_on_stale_jobs();
    if (!inherited_known) {
        scheduler.reserve_for_unlisted_vms(inherited_vms.missing_capacity(largest_vm, clock.now()));
    }
    const auto decision_start = clock.now();
    const auto decided = scheduler.decide(now(), advisors.room());
    last_decision = clock.now();
    last_decision_time = last_decision - decision_start;
    deciding_time += last_decision_time;
    ++decision_count;
    start_count += static_cast<int>(decided.starts.size());
    query_count += static_cast<int>(decided.queries.size());
    for (const auto& it : decided.stops) {
        send_stop(it);
    }
    for (const auto& it : decided.starts) {
        send_start(it);
    }
    for (const auto& it : decided.queries) {
        advisors.ask(it, alive.guard([this, it](const auto& answer) {
            scheduler.query_answered(it, answer, now());
            wake();
        }));
    }
    update_drained_vms();
    save();
}

// An owner that falls behind with the changes of the jobs may miss cancellations, so it starts no
// tasks. While the store is unavailable no job can be cancelled, so starts continue.
void owner_task::state::hold_starts_on_stale_jobs() {
    const bool is_stale = !jobs_known || clock.now() - jobs.as_of() > settings.max_job_feed_age;
    const bool hold = is_stale && rights.store_answers();
    if (hold != starts_held) {
        starts_held = hold;
        metrics.count("cranberrydock_starts_held_total", "");
        const auto age = std::chrono::duration_cast<base::milliseconds>(clock.now() - jobs.as_of());
        spdlog::warn("event=starts_held held={} jobs_read_before_ms={} fence={}", hold, age.count(),
                     owner.value());
    }
    scheduler.hold_starts(hold);
}

// Determines which queues cannot serve new jobs in time. Entries learn it from the owner's row.
void owner_task::state::update_load() {
    const auto before = expected_waits.overloaded();
    const bool possible = jobs_known && members_known && may_start_known && !starts_held &&
                          rights.may_issue_commands();
    if (possible) {
        expected_waits.update(scheduler.load(now()), clock.now());
    } else {
        expected_waits.starts_not_possible(clock.now());
    }
    const auto after = expected_waits.overloaded();
    for (const auto& it : expected_waits.queues()) {
        const std::string labels = "queue=\"" + it.first.str() + "\"";
        metrics.set("cranberrydock_queue_expected_wait_ms", labels,
                    static_cast<double>(it.second.wait.value_or(base::milliseconds{0}).count()));
        metrics.set("cranberrydock_queue_oldest_in_time_ms", labels,
                    static_cast<double>(it.second.oldest_age.count()));
        metrics.set("cranberrydock_queue_retry_after_ms", labels,
                    static_cast<double>(it.second.retry_after.count()));
        const bool is_overloaded = after.count(it.first) > 0;
        if (is_overloaded != (before.count(it.first) > 0)) {
            spdlog::info(
                "event=queue_overloaded queue={} overloaded={} refuses={} wait_ms={} allowed_ms={} "
                "start_wait_ms={} oldest_ms={} tasks_before={:.0f} starts_per_s={:.0f} "
                "retry_after_ms={} fence={}",
                it.first.str(), is_overloaded, is_overloaded && settings.refuse_overloaded,
                it.second.wait ? it.second.wait->count() : -1, it.second.allowed_wait.count(),
                it.second.start_wait ? it.second.start_wait->count() : -1,
                it.second.oldest_age.count(), it.second.waiting_tasks, it.second.starts_per_second,
                it.second.retry_after.count(), owner.value());
        }
    }
    metrics.set("cranberrydock_starts_per_second", "", expected_waits.starts_per_second());
}

void owner_task::state::log_load() {
    const auto usable_capacity = scheduler.capacity();
    base::milliseconds oldest{0};
    for (const auto& it : expected_waits.queues()) {
        oldest = std::max(oldest, it.second.oldest_age);
    }
    std::int64_t waiting = 0;
    for (const auto& it : scheduler.jobs_not_started()) {
        waiting += it.second;
    }
    spdlog::info(
        "event=owner_load fence={} loaded={} jobs={} waiting={} runs={} vms={} cores={} "
        "cores_used={} memory_mib={} memory_used_mib={} starts={} starts_per_s={:.0f} "
        "oldest_in_time_ms={} waits_ms={} "
        "questions={} free_advisers={} decisions={} deciding_us={} reports={} jobs_told={} "
        "status_questions={}",
        owner.value(), jobs_known, scheduler.job_count(), waiting, scheduler.run_count(),
        sessions.size(), usable_capacity.cores.value(), scheduler.in_use().cores.value(),
        usable_capacity.memory.value(), scheduler.in_use().memory.value(), start_count,
        expected_waits.starts_per_second(), oldest.count(),
        to_log_text(expected_waits.queues(), max_logged_queues), query_count,
        advisors.room().queries, decision_count, deciding_time.count(), report_count,
        notification_count, status_query_count);
    log_waits();
    if (!inherited_known) {
        log_wait("owner_waits");
    }
    deciding_time = base::duration{0};
    decision_count = 0;
    start_count = 0;
    query_count = 0;
    report_count = 0;
    notification_count = 0;
    status_query_count = 0;
}

void owner_task::state::log_waits() {
    const auto waits =
        scheduler.overdue_steps(now(), long_wait, max_steps_examined, max_waits_logged);
    if (waits.empty()) {
        return;
    }
    const auto free = scheduler.capacity() - scheduler.in_use();
    for (const auto& it : waits) {
        metrics.count("cranberrydock_tasks_waiting_beside_room_total",
                      std::string("reason=\"") + to_string(it.reason) + "\"");
        if (wait_log_limiter.allows(clock.now())) {
            spdlog::warn(
                "event=task_waits task={} waited_ms={} reason={} considered_before_ms={} queue={} "
                "customer={} grants={} expired_grants={} denied={} need_cores={} headroom_cores={} "
                "free_cores={}",
                to_string(
                    fleet::task_ref{it.step.job, it.step.occurrence, it.step.step, it.first_task}),
                it.waited.count(), to_string(it.reason), it.considered_before.count(),
                it.queue.str(), it.customer.str(), it.valid_grants, it.expired_grants, it.denied,
                it.need.cores.value(), it.headroom.cores.value(), free.cores.value());
        }
    }
}

owner_task::owner_task(net::event_loop& loop, fleet::row_store& store, fleet::vm_control& vms,
                       const fleet::platform_rows& rows, const job_layout& layout,
                       advisor_pool& advisors, ownership_view& rights, fleet::fencing_token owner,
                       const owner_settings& settings, base::metrics& metrics)
    : state_(std::make_unique<state>(loop, store, vms, rows, layout, advisors, rights, owner,
                                     settings, metrics)) {
    spdlog::info("event=owner_begins fence={}", owner.value());
    state_->load();
}

owner_task::~owner_task() {
    for (const auto& it : state_->waiting_callers) {
        for (const auto& caller : it.second) {
            caller.done(std::nullopt);
        }
    }
    spdlog::info("event=owner_ends fence={} jobs={} runs={}", state_->owner.value(),
                 state_->scheduler.job_count(), state_->scheduler.run_count());
}

void owner_task::configure(const std::shared_ptr<const fleet::fleet_configuration>& configuration) {
    state_->scheduler.configure(configuration);
    state_->wake();
}

void owner_task::on_previous_owner_ended() {
    if (state_->settings.earlier_owners_ended) {
        state_->inherited.on_previous_owner_ended(state_->clock.now());
    }
}

void owner_task::job_written(const fleet::job_id& job, const std::string& row,
                             fleet::store_version version) {
    ++state_->notification_count;
    // The notification may be late: if the row is no newer than the last read of the table, and the
    // job was not in the table, the job has ended, perhaps under a previous owner.
    if (state_->jobs_known && version > state_->jobs.delivered_version()) {
        state_->add_job({state_->layout.job_row(job), row, version, false}, false);
        state_->wake();
    }
}

bool owner_task::has_loaded(const fleet::job_id& job) const {
    return state_->withdrawn_jobs.count(job) == 0 &&
           (state_->scheduler.status_of(job).has_value() || state_->ended_statuses.count(job) > 0);
}

void owner_task::job_status(const fleet::job_id& job, const status_callback& done) {
    ++state_->status_query_count;
    if (state_->withdrawn_jobs.count(job) > 0) {
        done(std::nullopt);
        return;
    }
    const auto ended = state_->ended_statuses.find(job);
    if (ended != state_->ended_statuses.end()) {
        done(ended->second);
        return;
    }
    const auto known = state_->scheduler.status_of(job);
    if (!known || !state_->rights.may_issue_commands() || !state_->knows_earlier_cancellations()) {
        done(std::nullopt);  // the caller's daemon reads the store
    } else if (is_final(known->state) && known->state != fleet::job_state::cancelled) {
        // Answered once the end is durable, since another owner must not report a different state.
        // The state of a cancelled job is durable already, in the job's row.
        state_->waiting_callers[job].push_back({done, state_->clock.now()});
    } else {
        done(owner_job_status{known->customer, known->queue, known->state});
    }
}

void owner_task::describe(fleet::owner_record& record, std::int64_t number) const {
    if (state_->jobs_are_current()) {
        record.waiting_jobs =
            fleet::waiting_job_counts{state_->owner, number, state_->scheduler.jobs_not_started()};
    }
    // Never those of a previous owner, whose backlog and rate of starts were others.
    record.overloaded.clear();
    if (state_->settings.refuse_overloaded) {
        record.overloaded = state_->expected_waits.overloaded();
    }
    for (const auto& it : state_->scheduler.isolated_queues(state_->now())) {
        record.overloaded.insert(it);
    }
    if (state_->inherited_known || state_->inherited_vms.all_accounted(state_->clock.now())) {
        record.largest_vm = state_->largest_vm;
        record.labels = state_->labels;
    }
    record.earlier_owners_ended = state_->inherited.commands_ended(state_->clock.now());
    const std::size_t vms = state_->sessions.size();
    record.vm_count = state_->inherited_known ? vms : std::max(vms, state_->settings.expected_vms);
    // A VM that is missing here may still run tasks of a previous owner.
    state_->encode_vm_record();
    record.vm_set = state_->vm_set;
    record.vm_record_checksum = state_->vm_record_checksum;
    if (state_->sessions.empty() && !record.vm_set) {
        // This owner has started nothing, so the previous record still shows every VM with runs.
        record.vm_set = state_->settings.expected_vm_set;
        record.vm_record_checksum = state_->settings.expected_vm_record;
    }
}

void owner_task::state::encode_vm_record() const {
    if (vm_record_revision == inherited_vms.revision()) {
        return;
    }
    vm_record_revision = inherited_vms.revision();
    vm_set.reset();
    vm_record_checksum.reset();
    vm_record_parts.clear();
    const auto record = inherited_vms.record();
    if (!record) {
        return;
    }
    vm_set = record->digest();
    auto parts = fleet::encode_vm_record(*record);
    std::size_t bytes = settings.limits.row_bytes;  // of the owner's row
    bool fits = true;
    for (const auto& it : parts) {
        bytes += it.size();
        fits = fits && it.size() <= settings.limits.row_bytes;
    }
    if (!fits || bytes > settings.limits.transaction_bytes) {
        if (large_record_log_limiter.allows(clock.now())) {
            spdlog::error("event=row_too_large table=vm_record bytes={} limit={}", bytes,
                          settings.limits.transaction_bytes);
        }
        return;
    }
    vm_record_checksum = fleet::checksum_of(parts);
    vm_record_parts = std::move(parts);
}

const std::vector<std::string>& owner_task::vm_record_parts() const {
    state_->encode_vm_record();
    return state_->vm_record_parts;
}

}  // namespace cranberrydock::fleet_daemon
