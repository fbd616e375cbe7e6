// VM sessions: passes the VMs' reports to the scheduler, and sends its decisions to the VMs as
// commands.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::fleet_daemon {

bool owner_task::state::may_issue_commands() {
    return rights.may_issue_commands();
}

base::time_point owner_task::state::last_renewal_sent() {
    return rights.last_renewal_sent();
}

void owner_task::state::on_report(const fleet::vm_id& vm, const fleet::vm_report& report,
                                  base::time_point watch_sent_at) {
    if (!jobs_known || !is_on_record(vm)) {
        // The report can't be compared with the jobs yet, or the next owner would not know of the
        // VM. Until the report has been processed, no task is started on the VM and none of its
        // completions is acknowledged.
        early_reports[vm] = {report, watch_sent_at};
        return;
    }
    early_reports.erase(vm);
    ++report_count;
    inherited_vms.reported(vm, watch_sent_at, report.lists_all_completions());
    const fleet::completion_number last_listed = scheduler.last_completion(vm);
    scheduler.vm_reported(vm, report, watch_sent_at, now());
    for (const auto& it : report.completions) {
        if (it.number > last_listed && completion_log_limiter.allows(watch_sent_at)) {
            spdlog::info("event=task_ended vm={} task={} run={} kind={}", vm.str(),
                         fleet::to_string(it.task), it.run.value(), fleet::to_string(it.kind));
        }
    }
    wake();
}

bool owner_task::state::is_on_record(const fleet::vm_id& vm) const {
    return inherited_vms.is_on_record(vm, rights.last_renewal_sent());
}

void owner_task::state::process_early_reports() {
    if (!jobs_known || early_reports.empty()) {
        return;
    }
    const auto early = std::exchange(early_reports, {});
    for (const auto& it : early) {
        on_report(it.first, it.second.report, it.second.watch_sent_at);
    }
}

void owner_task::state::on_reachable(const fleet::vm_id& vm, bool reachable) {
    if (!reachable) {
        inherited_vms.unresponsive(vm);
    }
    scheduler.vm_reachable(vm, reachable);
    wake();
}

void owner_task::state::on_refused_connection(const fleet::vm_id& vm) {
    scheduler.vm_refuses_connections(vm);
}

void owner_task::state::on_lost(const fleet::vm_id& vm, const std::string& reason, bool gone) {
    early_reports.erase(vm);
    const auto session = sessions.find(vm);
    const auto expiry =
        session == sessions.end() ? fleet::lease_expiry{} : session->second->expiry(clock.now());
    scheduler.vm_lost(vm, reason, expiry, now());
    if (session != sessions.end()) {
        if (gone) {
            inherited_vms.gone(vm);
            ended_sessions.push_back(std::move(session->second));
            sessions.erase(session);
        } else {
            scheduler.vm_listed(session->second->facts());
            inherited_vms.report_outdated(vm);
            early_reports.erase(vm);
        }
    }
    wake();
}

void owner_task::state::on_process_ended(const fleet::vm_id& vm) {
    scheduler.vm_process_ended(vm);
    inherited_vms.ended(vm);
    early_reports.erase(vm);
    wake();
}

void owner_task::state::on_restarted(const fleet::vm_id& vm) {
    scheduler.vm_restarted(vm);
    inherited_vms.report_outdated(vm);
    early_reports.erase(vm);
    wake();
}

void owner_task::state::on_higher_fencing_token(const fleet::vm_id& vm) {
    rights.on_superseded("vm " + vm.str());
}

fleet::completion_number owner_task::state::acknowledgeable_completion(const fleet::vm_id& vm) {
    return scheduler.acknowledgeable_completion(vm);
}

void owner_task::state::send_start(const fleet::start_decision& decision) {
    const auto session = sessions.find(decision.vm);
    // The entry may have changed since the last renewal.
    if (session == sessions.end() || !rights.may_issue_commands() || !is_on_record(decision.vm)) {
        scheduler.start_answered(decision.vm, decision.task, decision.run,
                                 tl::unexpected(fleet::command_failure::not_delivered), now());
        return;
    }
    fleet::start_command command;
    command.task = decision.task;
    command.run = decision.run;
    command.payload = decision.payload;
    command.resume_from = decision.resume_from;
    command.ticket = decision.ticket;
    command.lease_until = session->second->lease_from_now();
    if (rights.store_answers()) {
        // The job may have been cancelled since it was last read.
        command.not_after = jobs.as_of() + settings.cancel_deadline;
    }
    metrics.count("cranberrydock_starts_total", "");
    const auto sent = clock.now();
    if (start_log_limiter.allows(sent)) {
        spdlog::info("event=task_started vm={} task={} run={} fence={} resumes={}",
                     decision.vm.str(), fleet::to_string(decision.task), decision.run.value(),
                     owner.value(), !decision.resume_from.empty());
    }
    log_restart(decision);
    vms.start(
        session->second->facts(), owner, command,
        alive.guard([this, decision, sent](const auto& answer) {
            metrics.observe(
                "cranberrydock_start_ms", "",
                static_cast<double>(
                    std::chrono::duration_cast<base::milliseconds>(clock.now() - sent).count()));
            if (!answer && start_failed_log_limiter.allows(clock.now())) {
                spdlog::info("event=start_failed vm={} task={} run={} reason={}", decision.vm.str(),
                             fleet::to_string(decision.task), decision.run.value(),
                             fleet::to_string(answer.error()));
            }
            if (!answer) {
                if (answer.error() == fleet::command_failure::stale_fencing_token) {
                    rights.on_superseded("vm " + decision.vm.str());
                    return;
                }
                const auto it = sessions.find(decision.vm);
                if (answer.error() == fleet::command_failure::other_incarnation &&
                    it != sessions.end()) {
                    it->second->on_address_reused();
                }
            }
            scheduler.start_answered(decision.vm, decision.task, decision.run, answer, now());
            wake();
        }));
}

// Never limited: the line is the only record of why a second run was allowed.
void owner_task::state::log_restart(const fleet::start_decision& decision) {
    if (!decision.previous || decision.previous->proof == fleet::end_proof::start_refused) {
        return;
    }
    const fleet::ended_run& earlier = *decision.previous;
    const auto at = clock.now();
    const auto age_ms = [at](base::time_point since) {
        return std::chrono::duration_cast<base::milliseconds>(at - since).count();
    };
    const auto& expiry = earlier.expiry;
    spdlog::info(
        "event=task_restarted vm={} task={} run={} fence={} earlier_vm={} earlier_run={} "
        "earlier_adopted={} proof={} proof_age_ms={} lease_until={} vm_clock={} reading_age_ms={} "
        "expired_for_ms={}",
        decision.vm.str(), fleet::to_string(decision.task), decision.run.value(), owner.value(),
        earlier.vm.str(), earlier.run.value(), earlier.adopted, fleet::to_string(earlier.proof),
        age_ms(earlier.proved_at), expiry.lease_until.value(), expiry.vm_clock.value(),
        expiry.vm_clock.value() == 0 ? 0 : expiry.reading_age.count() + age_ms(earlier.proved_at),
        expiry.expired_for ? std::to_string(expiry.expired_for->count() + age_ms(earlier.proved_at))
                           : "unknown");
}

void owner_task::state::send_stop(const fleet::stop_decision& decision) {
    const auto session = sessions.find(decision.vm);
    if (session == sessions.end()) {
        return;
    }
    if (stop_log_limiter.allows(clock.now())) {
        spdlog::info("event=task_stop vm={} task={} run={} reason={}", decision.vm.str(),
                     fleet::to_string(decision.task), decision.run.value(), decision.reason);
    }
    vms.stop(session->second->facts(), owner, decision.task, decision.run,
             alive.guard([this, decision](const auto& answer) {
                 if (!answer && answer.error() == fleet::command_failure::stale_fencing_token) {
                     rights.on_superseded("vm " + decision.vm.str());
                     return;
                 }
                 scheduler.stop_answered(decision.vm, decision.task, decision.run, answer, now());
                 wake();
             }));
}

void owner_task::state::update_drained_vms() {
    const auto at = clock.now();
    for (const auto& it : sessions) {
        if (it.second->facts().leaving) {
            // Before a report is processed, the VM's runs are not known.
            const bool is_drained =
                scheduler.is_drained(it.first) && early_reports.count(it.first) == 0;
            inherited_vms.drained(it.first, is_drained, at);
        }
    }
}

base::milliseconds owner_task::state::owner_age() const {
    return std::chrono::duration_cast<base::milliseconds>(clock.now() - started_at);
}

// This owner may start inherited tasks only once no previous owner can start them, and once every
// VM that may run one of them has been accounted for (fleet/inherited_vms.hpp).
void owner_task::state::check_inherited_runs() {
    if (inherited_known || !members_known || !jobs_known) {
        return;
    }
    check_unknown_vms();
    if (!may_start_known && inherited_vms.starts_ended(clock.now())) {
        may_start_known = true;
        const auto& proofs = inherited_vms.proofs();
        metrics.observe("cranberrydock_owner_wait_ms", "wait=\"previous_starts\"",
                        static_cast<double>(owner_age().count()));
        spdlog::info(
            "event=owner_starts_work all_judged={} others_have_ended={} earlier_gone={} took_ms={}",
            proofs.all_reported, proofs.others_have_ended, proofs.commands_ended,
            owner_age().count());
    }
    const auto renewal_sent = rights.last_renewal_sent();
    const auto own_leases_expired = [&](const fleet::vm_id& vm) {
        const auto it = sessions.find(vm);
        return it == sessions.end() || it->second->leases_expired(renewal_sent);
    };
    if (inherited_vms.runs_known(clock.now(), renewal_sent, own_leases_expired)) {
        on_inherited_runs_known();
    }
}

void owner_task::state::on_inherited_runs_known() {
    const bool all_listed = inherited_vms.all_accounted(clock.now());
    log_wait("owner_wait_ended");
    inherited_known = true;
    metrics.observe("cranberrydock_owner_wait_ms", "wait=\"inherited_runs\"",
                    static_cast<double>(owner_age().count()));
    if (!all_listed) {
        metrics.observe("cranberrydock_owner_wait_ms", "wait=\"missing_vms\"",
                        static_cast<double>(owner_age().count()));
    }
    const auto expired_for =
        std::chrono::duration_cast<base::milliseconds>(clock.now() - inherited.latest_run_end());
    spdlog::info(
        "event=inherited_runs_known all_judged={} vms={} all_listed={} took_ms={} "
        "expired_for_ms={} fence={}",
        inherited_vms.ended_by() == fleet::wait_ended_by::reports, sessions.size(), all_listed,
        owner_age().count(), expired_for.count(), owner.value());
    inherited_jobs.clear();
    const bool by_expiry = inherited_vms.ended_by() == fleet::wait_ended_by::expiry;
    scheduler.inherited_runs_reported(
        now(), by_expiry ? std::optional(inherited.latest_run_end()) : std::nullopt);
}

void owner_task::state::check_unknown_vms() {
    const auto unknown = inherited_vms.unknown(clock.now());
    if (unknown == vms_unknown) {
        return;
    }
    vms_unknown = unknown;
    if (unknown == fleet::vms_unknown::nothing) {
        metrics.observe("cranberrydock_owner_wait_ms", "wait=\"missing_vms\"",
                        static_cast<double>(owner_age().count()));
    }
    log_wait("owner_waits");
}

void owner_task::state::log_wait(const char* event) {
    std::int64_t inherited_waiting = 0;
    for (const auto& it : inherited_jobs) {
        const auto known = scheduler.status_of(it);
        inherited_waiting += known && known->state == fleet::job_state::queued ? 1 : 0;
    }
    std::int64_t waiting = 0;
    for (const auto& it : scheduler.jobs_not_started()) {
        waiting += it.second;
    }
    const auto at = clock.now();
    const auto missing = inherited_vms.missing_capacity(largest_vm, at);
    const auto silent = inherited_vms.silent_capacity();
    const auto ended_by = inherited_vms.ended_by();
    spdlog::info(
        "event={} fence={} unknown={} ended_by={} missing_vms={} replaced_vms={} silent_vms={} "
        "partly_listed_vms={} missing_cores={} missing_memory={} silent_cores={} silent_memory={} "
        "members_complete={} "
        "inherited_waiting={} new_waiting={} waited_ms={}",
        event, owner.value(), fleet::to_string(inherited_vms.unknown(at)),
        ended_by ? fleet::to_string(*ended_by) : "nothing", inherited_vms.missing_count(at),
        inherited_vms.replaced_count(), inherited_vms.silent_count(),
        inherited_vms.partly_listed_count(), missing.cores.value(), missing.memory.value(),
        silent.cores.value(), silent.memory.value(), at >= settings.members_complete_from,
        inherited_waiting, waiting - inherited_waiting, owner_age().count());
}

}  // namespace cranberrydock::fleet_daemon
