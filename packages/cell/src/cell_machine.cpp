// Dispatches each event to its stage of the decider, and runs the passes that follow every event.
#include <cranberrydock/cell/cell_machine.hpp>

#include "cell_context.hpp"
#include "job_views.hpp"
#include "snapshot.hpp"
#include "stage_admit.hpp"
#include "stage_collect.hpp"
#include "stage_dispatch.hpp"
#include "stage_drain.hpp"
#include "stage_finish.hpp"
#include "stage_queue.hpp"
#include "stage_recover.hpp"
#include "stage_retry.hpp"
#include "stage_timers.hpp"
#include "stage_vms.hpp"
#include "stage_watch.hpp"

#include <utility>
#include <variant>

namespace cranberrydock::cell {

class cell_machine::state {
public:
    state(cell_settings settings, policy::scheduler& scheduler, base::metrics& metrics)
        : context(std::move(settings), scheduler, metrics) {}

    // The path of a request: admit -> (journal) -> queue -> place -> (journal) -> dispatch ->
    // collect -> finish. Each event enters at its stage, and the work then proceeds as far as it
    // can.
    std::vector<cell_effect> handle(const cell_event& event, base::time_point now) {
        begin(now);
        std::visit([this](const auto& alternative) { on(alternative); }, event);
        dispatch.place();
        drain.check();
        return std::exchange(context.out, {});
    }

    cell_context context;
    finish_stage finish{context};
    queue_stage queue{context, finish};
    retry_stage retry{context, queue, finish};
    admit_stage admit{context, queue, finish};
    dispatch_stage dispatch{context, finish, retry};
    collect_stage collect{context, dispatch, finish, retry};
    watch_stage watch{context};
    expire_stage expire{context, queue, finish, retry};
    recover_stage recover{context, expire};
    vms_stage vms{context};
    drain_stage drain{context, finish};

private:
    void begin(base::time_point now) {
        if (context.started == base::time_point{}) {
            context.started = now;
        }
        context.now = now;
    }

    void on(const submit& event) { admit.admit(event); }

    void on(const cancel_job& event) {
        work_state* const work = context.table.find(event.job);
        if (work == nullptr || work->spec.team != event.team || work->outcome) {
            return;
        }
        work->cancelled = true;
        const bool not_run = never_dispatched(*work);
        finish.refuse(*work, {base::refusal_reason::cancelled, not_run, base::milliseconds{0},
                              "cancelled by its team"});
    }

    void on(const vms_listed& event) {
        vms.list(event.vms);
        watch.contact_all();
    }

    void on(const drain_vm& event) { vms.drain(event.vm, event.drain); }

    void on(const vm_answered& event) {
        const auto found = context.commands.find(event.command);
        const base::vm_id vm = found == context.commands.end() ? base::vm_id{} : found->second.vm;
        collect.collect(event);
        if (vm_state* const answered = context.vms.find(vm); answered != nullptr) {
            watch.contact(*answered);
        }
        expire.release_held();
    }

    void on(const record_durable& event) {
        const auto pending = take_pending_record(event.record);
        work_state* const work = pending ? context.table.find(pending->job) : nullptr;
        if (work == nullptr) {
            return;
        }
        if (pending->type == pending_record::kind::accepted) {
            admit.accepted_durable(*work);
        } else if (pending->type == pending_record::kind::outcome) {
            finish.outcome_durable(*work);
        } else if (pending->type == pending_record::kind::intent) {
            const task_ref ref = context.table.find_attempt(pending->attempt);
            if (ref && ref.task->phase == task_phase::recording_intent) {
                dispatch.intent_durable(*ref.work, *ref.task);
            }
        }
    }

    void on(const record_failed& event) {
        const auto pending = take_pending_record(event.record);
        work_state* const work = pending ? context.table.find(pending->job) : nullptr;
        if (work == nullptr) {
            return;
        }
        context.metrics.count("cranberrydock_records_failed_total", "");
        if (pending->type == pending_record::kind::accepted) {
            admit.accepted_failed(*work, event.may_be_written);
        } else if (pending->type == pending_record::kind::outcome) {
            context.timers.add(context.now + context.settings.max_backoff,
                               outcome_write_timer{pending->job});
        } else if (pending->type == pending_record::kind::intent) {
            const task_ref ref = context.table.find_attempt(pending->attempt);
            if (ref && ref.task->phase == task_phase::recording_intent) {
                dispatch.intent_failed(*ref.work, *ref.task, event.may_be_written);
            }
        }
    }

    void on(const rules_changed& event) {
        context.limits = event.limits;
        context.teams = event.teams;
        context.scheduler.set_queues(event.queues);
        context.publish_teams();
    }

    void on(const ownership_evidence_extended& event) { context.evidence_until = event.until; }

    void on(const journal_recovered& event) {
        recover.recover(event.records);
        vms.attach_recovered();
    }

    void on(const drain_requested& /*event*/) { drain.begin(); }

    void on(const clock_tick& /*event*/) {
        expire.expire();
        vms.forget_gone();
        watch.contact_all();
        context.publish_teams_if_changed();
    }

    std::optional<pending_record> take_pending_record(record_id id) {
        const auto found = context.records.find(id);
        if (found == context.records.end()) {
            return std::nullopt;
        }
        pending_record out = found->second;
        context.records.erase(found);
        return out;
    }
};

cell_machine::cell_machine(cell_settings settings, policy::scheduler& scheduler,
                           base::metrics& metrics)
    : state_(std::make_unique<state>(std::move(settings), scheduler, metrics)) {}

cell_machine::~cell_machine() = default;

std::vector<cell_effect> cell_machine::handle(const cell_event& event, base::time_point now) {
    return state_->handle(event, now);
}

std::optional<base::job_view> cell_machine::view(const base::team_id& team,
                                                 const base::job_id& job) const {
    const work_state* const work = state_->context.table.find(job);
    if (work == nullptr || work->spec.team != team || !work->known) {
        return std::nullopt;
    }
    return view_of(*work, state_->context.scheduler);
}

std::vector<base::job_view> cell_machine::list(const base::team_id& team, const base::job_id& after,
                                               std::size_t limit) const {
    std::vector<base::job_view> out;
    const auto& works = state_->context.table.works();
    for (auto it = works.upper_bound(after); it != works.end() && out.size() < limit; ++it) {
        if (it->second.spec.team == team && it->second.known) {
            out.push_back(view_of(it->second, state_->context.scheduler));
        }
    }
    return out;
}

std::vector<work_record> cell_machine::snapshot() const {
    return records_of(state_->context.table);
}

std::optional<base::slot_count> cell_machine::unreported_slots() const {
    if (!state_->context.member_list_received) {
        return std::nullopt;
    }
    return state_->context.unreported_slots();
}

std::vector<vm_view> cell_machine::vms() const {
    std::vector<vm_view> out;
    for (const auto& it : state_->context.vms.all()) {
        const vm_state& vm = it.second;
        out.push_back({it.first, vm.listed.address, vm.listed.rack, describe(vm), vm.capacity,
                       vm.attempts.size()});
    }
    return out;
}

std::vector<broken_promise> cell_machine::broken_promises() const {
    return state_->context.broken;
}

std::vector<policy::team_load> cell_machine::loads() const {
    return state_->context.scheduler.loads();
}

}  // namespace cranberrydock::cell
