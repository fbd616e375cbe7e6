// The owner's task: events wake the scheduler, and its decisions are carried out.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::steward {
namespace {

// Events of so long are decided on together.
constexpr base::milliseconds decide_delay{2};
// Between decisions there is so many times the time that the last one took, for other events.
constexpr int rest_per_decision = 4;
// Decisions are looked at again though nothing happened: quarantines end, work becomes due.
constexpr base::milliseconds tick_period{50};
// A question whose answer is lost costs this much and a little more.
constexpr base::milliseconds follow_wait{700};
constexpr base::milliseconds log_period{2'000};
// Changes within so long are read together: each call to the store is paid for. Jobs are usually
// heard of from their entries before.
constexpr base::milliseconds jobs_pause{100};
constexpr base::milliseconds members_pause{200};

}  // namespace

owner_task::state::state(net::event_loop& event_loop, fleet::row_store& rows_store,
                         fleet::vm_control& vm_calls, const fleet::platform_rows& platform,
                         const job_layout& job_rows_layout, adviser_pool& pool,
                         owner_rights& ownership, fleet::fence fence, const owner_settings& limits,
                         base::metrics& counters)
    : loop(event_loop),
      store(rows_store),
      vms(vm_calls),
      rows(platform),
      layout(job_rows_layout),
      advisers(pool),
      rights(ownership),
      owner(fence),
      settings(limits),
      metrics(counters),
      scheduler(fence, limits.scheduler, counters),
      job_rows([this](const auto& all) { on_job_table(all); },
               [this](const auto& changed) { on_job_changes(changed); }),
      member_rows([this](const auto& all) { on_member_table(all); },
                  [this](const auto& changed) { on_member_changes(changed); }),
      jobs(loop, store, job_table, layout.parts(), follow_wait, jobs_pause, job_rows),
      members(loop, store, rows.member_table(), {fleet::part_name("")}, follow_wait, members_pause,
              member_rows) {
    begun = clock.now();
    tick = loop.every(tick_period, [this] {
        check_inherited();
        if (jobs_known) {
            scheduler.jobs_known_as_of(jobs.as_of());
        }
        decide();
        remove_old();
        answer_overdue();
    });
    logging = loop.every(log_period, [this] { log_load(); });
}

fleet::moment owner_task::state::now() const {
    return {clock.now(), fleet::unix_time(std::chrono::duration_cast<base::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count())};
}

void owner_task::state::wake() {
    if (!decide_timer) {
        const auto rest = last_decision + last_decision_time * rest_per_decision - clock.now();
        decide_timer = loop.after(std::max<base::duration>(decide_delay, rest), [this] {
            decide_timer.reset();
            decide();
        });
    }
}

void owner_task::state::decide() {
    ended_sessions.clear();
    if (decide_timer || !rights.may_order() || !(may_start() || may_start_new_jobs())) {
        return;  // it is decided soon, or not at all
    }
    hold_starts_on_old_news();
    const auto before = clock.now();
    const auto decided = scheduler.decide(now(), advisers.room());
    last_decision = clock.now();
    last_decision_time = last_decision - before;
    deciding += last_decision_time;
    ++decision_count;
    start_count += static_cast<int>(decided.starts.size());
    question_count += static_cast<int>(decided.questions.size());
    for (const auto& it : decided.stops) {
        order_stop(it);
    }
    for (const auto& it : decided.starts) {
        order_start(it);
    }
    for (const auto& it : decided.questions) {
        advisers.ask(it, alive.guard([this, it](const auto& answer) {
            scheduler.advice_given(it, answer, now());
            wake();
        }));
    }
    save();
}

// An owner that does not keep up with the changes of the jobs may not know of cancellations, and
// starts nothing. While the store is away nothing is cancelled, and it goes on.
void owner_task::state::hold_starts_on_old_news() {
    const bool is_old = !jobs_known || clock.now() - jobs.as_of() > settings.start_on_news_for;
    const bool hold = is_old && rights.store_answers();
    if (hold != starts_held) {
        starts_held = hold;
        metrics.count("cranberrydock_starts_held_total", "");
        const auto age = std::chrono::duration_cast<base::milliseconds>(clock.now() - jobs.as_of());
        spdlog::warn("event=starts_held held={} jobs_read_before_ms={} fence={}", hold, age.count(),
                     owner.value());
    }
    scheduler.hold_starts(hold);
}

void owner_task::state::log_load() {
    const auto room = scheduler.capacity();
    std::int64_t waiting = 0;
    for (const auto& it : scheduler.jobs_not_started()) {
        waiting += it.second;
    }
    spdlog::info(
        "event=owner_load fence={} loaded={} jobs={} waiting={} runs={} vms={} cores={} "
        "cores_used={} starts={} "
        "questions={} free_advisers={} decisions={} deciding_us={} reports={} jobs_told={} "
        "status_questions={}",
        owner.value(), jobs_known, scheduler.job_count(), waiting, scheduler.run_count(),
        sessions.size(), room.cores.value(), scheduler.in_use().cores.value(), start_count,
        question_count, advisers.room().questions, decision_count, deciding.count(), report_count,
        told_count, status_count);
    deciding = base::duration{0};
    decision_count = 0;
    start_count = 0;
    question_count = 0;
    report_count = 0;
    told_count = 0;
    status_count = 0;
}

owner_task::owner_task(net::event_loop& loop, fleet::row_store& store, fleet::vm_control& vms,
                       const fleet::platform_rows& rows, const job_layout& layout,
                       adviser_pool& advisers, owner_rights& rights, fleet::fence owner,
                       const owner_settings& settings, base::metrics& metrics)
    : state_(std::make_unique<state>(loop, store, vms, rows, layout, advisers, rights, owner,
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

void owner_task::earlier_owner_gone() {
    state_->earlier_gone = true;
}

void owner_task::job_written(const fleet::job_id& job, const std::string& row,
                             fleet::store_version version) {
    ++state_->told_count;
    // News may be late: a job whose row is older than what was read of the table, and is not known
    // from there, has ended, perhaps under an earlier owner.
    if (state_->jobs_known && version > state_->jobs.handed_on()) {
        state_->take_job({state_->layout.job_row(job), row, version, false}, false);
        state_->wake();
    }
}

bool owner_task::has_read(const fleet::job_id& job) const {
    return state_->scheduler.status_of(job).has_value() || state_->endings.count(job) > 0;
}

void owner_task::job_status(const fleet::job_id& job, const status_done& done) {
    ++state_->status_count;
    const auto ended = state_->endings.find(job);
    if (ended != state_->endings.end()) {
        done(ended->second);
        return;
    }
    const auto known = state_->scheduler.status_of(job);
    if (!known || !state_->rights.may_order()) {
        done(std::nullopt);
    } else if (is_final(known->state) && known->state != fleet::job_state::cancelled) {
        // Told when the end is durable: another owner must not say otherwise. The row of a
        // cancelled job says so already.
        state_->waiting_callers[job].push_back({done, state_->clock.now()});
    } else {
        done(known_status{known->customer, known->queue, known->state});
    }
}

void owner_task::describe(fleet::owner_record& record, std::int64_t number) const {
    if (state_->jobs_current()) {
        record.waiting =
            fleet::waiting_count{state_->owner, number, state_->scheduler.jobs_not_started()};
    }
    if (state_->all_listed()) {
        record.largest_vm = state_->largest_vm;
        record.labels = state_->labels;
    }
    const std::size_t vms = state_->sessions.size();
    record.vm_count = state_->inherited_known ? vms : std::max(vms, state_->settings.expected_vms);
}

}  // namespace cranberrydock::steward
