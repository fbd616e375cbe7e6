// VM sessions: passes the VMs' reports to the scheduler, and sends its decisions to the VMs as
// commands.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

// An owner sends each VM a new watch command within 0.7 s, and learns of a higher fencing token
// from the answer.
constexpr base::milliseconds previous_owner_detection_time{1'000};

}  // namespace

bool owner_task::state::may_issue_commands() {
    return rights.may_issue_commands();
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
    reported_vms.insert(vm);
    unresponsive_vms.erase(vm);
    ended_vms.erase(vm);
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
    const auto session = sessions.find(vm);
    return session != sessions.end() && session->second->created_at() < rights.last_renewal_sent();
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
        unresponsive_vms.insert(vm);
    }
    scheduler.vm_reachable(vm, reachable);
    wake();
}

void owner_task::state::on_lost(const fleet::vm_id& vm, const std::string& reason, bool gone) {
    early_reports.erase(vm);
    scheduler.vm_lost(vm, reason);
    const auto session = sessions.find(vm);
    if (session != sessions.end()) {
        if (gone) {
            ended_vms.erase(vm);
            ended_sessions.push_back(std::move(session->second));
            sessions.erase(session);
        } else {
            scheduler.vm_listed(session->second->facts());
            reported_vms.erase(vm);
            early_reports.erase(vm);
        }
    }
    wake();
}

void owner_task::state::on_process_ended(const fleet::vm_id& vm) {
    scheduler.vm_process_ended(vm);
    ended_vms.insert(vm);
    reported_vms.erase(vm);
    early_reports.erase(vm);
    wake();
}

void owner_task::state::on_restarted(const fleet::vm_id& vm) {
    scheduler.vm_restarted(vm);
    reported_vms.erase(vm);
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
    if (session == sessions.end() || !rights.may_issue_commands()) {
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
    metrics.count("cranberrydock_starts_total", "");
    const auto sent = clock.now();
    if (start_log_limiter.allows(sent)) {
        spdlog::info("event=task_started vm={} task={} run={} fence={} resumes={}",
                     decision.vm.str(), fleet::to_string(decision.task), decision.run.value(),
                     owner.value(), !decision.resume_from.empty());
    }
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

// This owner may start inherited tasks only once no previous owner can start them: when every VM
// has received this owner's fencing token, when the previous owner is known to have ended, or when
// its permission to issue commands has expired. Until then a previous owner may start inherited
// tasks on VMs that have not received the token.
bool owner_task::state::may_start() {
    if (may_start_known || !members_known || !jobs_known) {
        return may_start_known;
    }
    const auto elapsed = clock.now() - started_at;
    const bool all_reported = all_listed() && all_vms_satisfy([this](const auto& vm) {
                                  return reported_vms.count(vm) > 0;
                              });
    // A previous owner that can still reach one of the VMs that have reported has learned of this
    // owner by now. The incarnations of the remaining VMs have ended: there it could start a task
    // only if it were the first to reach the next incarnation.
    const bool others_have_ended = all_listed() && elapsed > previous_owner_detection_time &&
                                   all_vms_satisfy([this](const auto& vm) {
                                       return reported_vms.count(vm) > 0 || ended_vms.count(vm) > 0;
                                   });
    const bool earlier_commands_ended = inherited.commands_ended(clock.now());
    may_start_known = all_reported || others_have_ended || earlier_commands_ended;
    if (may_start_known) {
        spdlog::info(
            "event=owner_starts_work all_judged={} others_have_ended={} earlier_gone={} took_ms={}",
            all_reported, others_have_ended, earlier_commands_ended,
            std::chrono::duration_cast<base::milliseconds>(elapsed).count());
    }
    return may_start_known;
}

bool owner_task::state::all_vms_satisfy(
    const std::function<bool(const fleet::vm_id&)>& predicate) const {
    return std::all_of(sessions.begin(), sessions.end(),
                       [&](const auto& it) { return predicate(it.first); });
}

fleet::resources owner_task::state::unlisted_use() const {
    if (all_listed()) {
        return {};
    }
    // If other VMs are listed in place of the missing ones, the number of those is not known.
    const std::size_t known = sessions.size() < settings.expected_vms ? sessions.size() : 0;
    const auto missing = static_cast<std::int64_t>(settings.expected_vms - known);
    return {base::millicores(largest_vm.cores.value() * missing),
            base::mebibytes(largest_vm.memory.value() * missing),
            base::accelerator_count(largest_vm.accelerators.value() * missing),
            {}};
}

// Inherited tasks may be started once every VM that may run one of them has reported its runs or
// has ended, or once every lease of the previous owners has expired.
void owner_task::state::check_inherited_runs() {
    if (inherited_known || !may_start()) {
        return;
    }
    const bool all_reported = all_listed() && all_vms_satisfy([this](const auto& vm) {
                                  return reported_vms.count(vm) > 0 || ended_vms.count(vm) > 0;
                              });
    // A VM that answers may hold runs whose leases this owner has extended.
    const bool all_responsive_reported = all_vms_satisfy([this](const auto& vm) {
        return reported_vms.count(vm) > 0 || unresponsive_vms.count(vm) > 0;
    });
    const bool leases_expired = inherited.all_expired(clock.now());
    if (all_reported || (leases_expired && all_responsive_reported)) {
        inherited_known = true;
        spdlog::info(
            "event=inherited_runs_known all_judged={} vms={} all_listed={} took_ms={}",
            all_reported, sessions.size(), all_listed(),
            std::chrono::duration_cast<base::milliseconds>(clock.now() - started_at).count());
        scheduler.inherited_runs_reported(now());
    }
}

}  // namespace cranberrydock::fleet_daemon
