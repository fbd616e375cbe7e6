// VMs: reports go to the scheduler, its orders go to the VMs.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::steward {
namespace {

// An owner asks each VM anew within 0.7 s, and is told of a higher fence in the answer.
constexpr base::milliseconds earlier_owner_notices_within{1'000};
// Every daemon follows the owner's row, with questions of half a second.
constexpr base::milliseconds entries_know_owner_within{700};

// By now every lease that an earlier owner gave has lapsed, slow clocks included.
base::milliseconds inherited_lease(const session_settings& settings) {
    constexpr double slowest_clock = 0.96;
    constexpr base::milliseconds margin{200};
    return base::milliseconds(static_cast<std::int64_t>(
               static_cast<double>(settings.lease.count()) / slowest_clock)) +
           margin;
}

}  // namespace

bool owner_task::state::may_order() {
    return rights.may_order();
}

void owner_task::state::on_report(const fleet::vm_id& vm, const fleet::vm_report& report,
                                  base::time_point asked) {
    if (!jobs_known) {
        // What runs there can't be judged yet. Nothing starts there and no end is forgotten until
        // it can.
        early_reports[vm] = {report, asked};
        return;
    }
    ++report_count;
    judged.insert(vm);
    unanswering.erase(vm);
    ended_vms.erase(vm);
    const fleet::end_number listed = scheduler.last_end(vm);
    scheduler.vm_reported(vm, report, asked, now());
    for (const auto& it : report.ends) {
        if (it.number > listed && end_lines.allows(asked)) {
            spdlog::info("event=task_ended vm={} task={} run={} kind={}", vm.str(),
                         fleet::to_string(it.task), it.run.value(), fleet::to_string(it.kind));
        }
    }
    wake();
}

void owner_task::state::on_reachable(const fleet::vm_id& vm, bool reachable) {
    if (!reachable) {
        unanswering.insert(vm);
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
            scheduler.vm_seen(session->second->facts());
            judged.erase(vm);
            early_reports.erase(vm);
        }
    }
    wake();
}

void owner_task::state::on_ended(const fleet::vm_id& vm) {
    scheduler.vm_ended(vm);
    ended_vms.insert(vm);
    judged.erase(vm);
    early_reports.erase(vm);
    wake();
}

void owner_task::state::on_reborn(const fleet::vm_id& vm) {
    scheduler.vm_reborn(vm);
    judged.erase(vm);
    early_reports.erase(vm);
    wake();
}

void owner_task::state::on_higher_fence(const fleet::vm_id& vm) {
    rights.superseded("vm " + vm.str());
}

fleet::end_number owner_task::state::acknowledgeable(const fleet::vm_id& vm) {
    return scheduler.acknowledgeable(vm);
}

void owner_task::state::order_start(const fleet::start_decision& what) {
    const auto session = sessions.find(what.vm);
    if (session == sessions.end() || !rights.may_order()) {
        scheduler.start_answered(what.vm, what.task, what.run,
                                 tl::unexpected(fleet::order_failure::not_delivered), now());
        return;
    }
    fleet::start_order order;
    order.task = what.task;
    order.run = what.run;
    order.payload = what.payload;
    order.from = what.from;
    order.ticket = what.ticket;
    order.lease_until = session->second->lease_from_now();
    metrics.count("cranberrydock_starts_total", "");
    const auto sent = clock.now();
    if (start_lines.allows(sent)) {
        spdlog::info("event=task_started vm={} task={} run={} fence={} resumes={}", what.vm.str(),
                     fleet::to_string(what.task), what.run.value(), owner.value(),
                     !what.from.empty());
    }
    vms.start(
        session->second->facts(), owner, order, alive.guard([this, what, sent](const auto& answer) {
            metrics.observe(
                "cranberrydock_start_ms", "",
                static_cast<double>(
                    std::chrono::duration_cast<base::milliseconds>(clock.now() - sent).count()));
            if (!answer) {
                spdlog::info("event=start_failed vm={} task={} run={} reason={}", what.vm.str(),
                             fleet::to_string(what.task), what.run.value(),
                             fleet::to_string(answer.error()));
                if (answer.error() == fleet::order_failure::lower_fence) {
                    rights.superseded("vm " + what.vm.str());
                    return;
                }
                const auto it = sessions.find(what.vm);
                if (answer.error() == fleet::order_failure::other_incarnation &&
                    it != sessions.end()) {
                    it->second->address_taken();
                }
            }
            scheduler.start_answered(what.vm, what.task, what.run, answer, now());
            wake();
        }));
}

void owner_task::state::order_stop(const fleet::stop_decision& what) {
    const auto session = sessions.find(what.vm);
    if (session == sessions.end()) {
        return;
    }
    if (stop_lines.allows(clock.now())) {
        spdlog::info("event=task_stop vm={} task={} run={} reason={}", what.vm.str(),
                     fleet::to_string(what.task), what.run.value(), what.reason);
    }
    vms.stop(session->second->facts(), owner, what.task, what.run,
             alive.guard([this, what](const auto& answer) {
                 if (!answer && answer.error() == fleet::order_failure::lower_fence) {
                     rights.superseded("vm " + what.vm.str());
                     return;
                 }
                 scheduler.stop_answered(what.vm, what.task, what.run, answer, now());
                 wake();
             }));
}

// What an earlier owner may still do decides what this one may start. Until every VM has been told
// of this owner, or the earlier one is known to have ended, or its permission has run out, it may
// start inherited tasks on the VMs that have not been told.
bool owner_task::state::may_start() {
    if (may_start_known || !members_known || !jobs_known) {
        return may_start_known;
    }
    const auto passed = clock.now() - begun;
    const bool all_judged = all_told([this](const auto& vm) { return judged.count(vm) > 0; });
    // An earlier owner that reaches any of the others has heard of this one by now. Else it would
    // have to be the first to reach the next life of a VM whose process has ended.
    const bool others_have_ended =
        passed > earlier_owner_notices_within && all_told([this](const auto& vm) {
            return judged.count(vm) > 0 || ended_vms.count(vm) > 0;
        });
    may_start_known = all_judged || others_have_ended || earlier_gone ||
                      passed > settings.earlier_owner_valid_for;
    if (may_start_known) {
        spdlog::info(
            "event=owner_starts_work all_judged={} others_have_ended={} earlier_gone={} took_ms={}",
            all_judged, others_have_ended, earlier_gone,
            std::chrono::duration_cast<base::milliseconds>(passed).count());
    }
    return may_start_known;
}

// Jobs that an earlier owner can't know may be started before that: those accepted once every entry
// has heard of this owner.
bool owner_task::state::may_start_new_jobs() {
    const auto renewal = rights.last_renewal();
    if (!new_jobs_after && jobs_known && renewal.sent > begun + entries_know_owner_within) {
        new_jobs_after = renewal.version;
        spdlog::info("event=owner_starts_new_jobs fence={} after_version={}", owner.value(),
                     renewal.version.value());
    }
    return new_jobs_after.has_value() && members_known;
}

bool owner_task::state::all_told(const std::function<bool(const fleet::vm_id&)>& told) const {
    return std::all_of(sessions.begin(), sessions.end(),
                       [&](const auto& it) { return told(it.first); });
}

bool owner_task::state::all_listed() const {
    const auto now_steady = clock.now();
    const bool as_many = sessions.size() >= settings.expected_vms ||
                         now_steady - members_read >= members_return_within;
    return members_known && as_many && now_steady >= settings.members_complete_from;
}

// Inherited work may be started once every VM has said what it runs, or can't run anything any
// more that an earlier owner started.
void owner_task::state::check_inherited() {
    if (inherited_known || !may_start() || !all_listed()) {
        return;
    }
    const bool all_judged = all_told(
        [this](const auto& vm) { return judged.count(vm) > 0 || ended_vms.count(vm) > 0; });
    const auto last_orders =
        earlier_gone ? base::milliseconds{0} : settings.earlier_owner_valid_for;
    const bool lapsed = clock.now() - begun > last_orders + inherited_lease(settings.session);
    // What a VM has to tell is waited for, unless it does not answer.
    const bool all_heard = all_told(
        [this](const auto& vm) { return judged.count(vm) > 0 || unanswering.count(vm) > 0; });
    if (all_judged || (lapsed && all_heard)) {
        inherited_known = true;
        spdlog::info("event=inherited_runs_known all_judged={} vms={} took_ms={}", all_judged,
                     sessions.size(),
                     std::chrono::duration_cast<base::milliseconds>(clock.now() - begun).count());
        scheduler.inherited_runs_known(now());
    }
}

}  // namespace cranberrydock::steward
