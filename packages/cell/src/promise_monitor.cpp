// Checks observations against the promises.
#include <cranberrydock/cell/promise_monitor.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cranberrydock::cell {
namespace {

std::string text_of(const base::resources& amounts) {
    std::ostringstream out;
    out << amounts.cores << " millicores, " << amounts.memory << " MiB, " << amounts.accelerators
        << " accelerators, " << amounts.slots << " slots";
    return out.str();
}

broken_promise breach(promise which, const std::ostringstream& evidence) {
    return {to_string(which), evidence.str()};
}

void remove_vm_of_task(std::map<base::task_id, std::vector<base::vm_id>>& places,
                       const base::task_id& task, const base::vm_id& vm) {
    const auto it = places.find(task);
    if (it == places.end()) {
        return;
    }
    auto& vms = it->second;
    vms.erase(std::remove(vms.begin(), vms.end(), vm), vms.end());
    if (vms.empty()) {
        places.erase(it);
    }
}

}  // namespace

std::string to_string(promise which) {
    switch (which) {
        case promise::vm_overcommitted:
            return "vm_overcommitted";
        case promise::task_in_two_places:
            return "task_in_two_places";
        case promise::team_over_limit:
            return "team_over_limit";
        case promise::started_by_nobody:
            return "started_by_nobody";
        case promise::answer_not_whole:
            return "answer_not_whole";
        case promise::withdrawn_key_used:
            return "withdrawn_key_used";
        case promise::version_went_back:
            return "version_went_back";
    }
    return "unknown";
}

const std::vector<promise>& all_promises() {
    static const std::vector<promise> all = {promise::vm_overcommitted, promise::task_in_two_places,
                                             promise::team_over_limit,  promise::started_by_nobody,
                                             promise::answer_not_whole, promise::withdrawn_key_used,
                                             promise::version_went_back};
    return all;
}

std::vector<broken_promise> promise_monitor::observe(const observed_report& seen) {
    std::vector<broken_promise> out;
    auto& view = vms_[seen.vm];
    const bool incarnation_changed = view.incarnation != seen.report.incarnation;
    if (!incarnation_changed && seen.report.number < view.number) {
        return out;  // a later report has arrived first
    }
    auto before = std::exchange(view.running, {});
    for (const auto& it : before) {
        remove_vm_of_task(vms_by_task_, it.second.task, seen.vm);
    }
    if (incarnation_changed) {
        before.clear();
        view.overcommit_reported = false;
    }
    view.incarnation = seen.report.incarnation;
    view.number = seen.report.number;
    bool any_new = false;
    for (const auto& it : seen.report.running) {
        observed_attempt now{it.task, seen.received, seen.sent, seen.received, false};
        const auto earlier = before.find(it.attempt);
        any_new = any_new || earlier == before.end();
        if (earlier != before.end()) {
            now.first_received = earlier->second.first_received;
            now.reported = earlier->second.reported;
        }
        view.running[it.attempt] = now;
        vms_by_task_[it.task].push_back(seen.vm);
    }
    check_capacity(seen, any_new, out);
    check_duplicate_attempts(seen.vm, view, out);
    return out;
}

// A capacity that shrinks below the running tasks is no violation; a start beyond the capacity is.
void promise_monitor::check_capacity(const observed_report& seen, bool any_new,
                                     std::vector<broken_promise>& out) {
    base::resources reserved;
    for (const auto& it : seen.report.running) {
        reserved += it.reserved;
    }
    auto& view = vms_[seen.vm];
    if (base::fits(reserved, seen.report.capacity)) {
        view.overcommit_reported = false;
        return;
    }
    if (view.overcommit_reported || !any_new) {
        return;
    }
    view.overcommit_reported = true;
    std::ostringstream evidence;
    evidence << "VM " << seen.vm << " reports " << seen.report.running.size()
             << " tasks that reserve " << text_of(reserved) << "; it has "
             << text_of(seen.report.capacity);
    out.push_back(breach(promise::vm_overcommitted, evidence));
}

// Looks for two attempts of one task. This VM's attempt is certain to have run from
// `first_received` to `last_requested`. The other attempt ran at some time within its last
// exchange; if that exchange lies entirely within the first interval, the two ran together. Two
// attempts in one report always did.
void promise_monitor::check_duplicate_attempts(const base::vm_id& vm, observed_vm& view,
                                               std::vector<broken_promise>& out) {
    for (auto& own : view.running) {
        auto& own_attempt = own.second;
        for (const auto& other_vm : vms_by_task_[own_attempt.task]) {
            for (const auto& other : vms_[other_vm].running) {
                const auto& other_attempt = other.second;
                const bool is_duplicate =
                    other_attempt.task == own_attempt.task && other.first != own.first;
                const bool overlapping =
                    other_vm == vm || (other_attempt.last_requested >= own_attempt.first_received &&
                                       other_attempt.last_received <= own_attempt.last_requested);
                if (!is_duplicate || !overlapping || own_attempt.reported) {
                    continue;
                }
                own_attempt.reported = true;
                std::ostringstream evidence;
                evidence << "task " << own_attempt.task << " runs on " << vm << " as " << own.first
                         << " and on " << other_vm << " as " << other.first;
                out.push_back(breach(promise::task_in_two_places, evidence));
            }
        }
    }
}

void promise_monitor::forget(const base::vm_id& vm) {
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    for (const auto& entry : it->second.running) {
        remove_vm_of_task(vms_by_task_, entry.second.task, vm);
    }
    vms_.erase(it);
}

void promise_monitor::forget(const base::daemon_id& daemon) {
    versions_.erase(daemon);
}

std::vector<broken_promise> promise_monitor::observe(const observed_usage& seen,
                                                     base::time_point now) {
    auto& team = teams_[seen.team];
    if (seen.upper_limit < team.upper_limit) {
        // Running work continues under a lowered limit, but its usage must not grow.
        team.ceiling = std::max(seen.upper_limit, std::min(team.ceiling, seen.running));
    } else if (seen.upper_limit > team.upper_limit) {
        team.ceiling = std::max(team.ceiling, seen.upper_limit);
    }
    team.upper_limit = seen.upper_limit;
    if (seen.running < team.ceiling) {
        team.ceiling = std::max(seen.upper_limit, seen.running);
    }
    if (seen.running <= team.ceiling) {
        team.above = false;
        team.reported = false;
        return {};
    }
    if (!team.above) {
        team.above = true;
        team.above_since = now;
    }
    if (team.reported || now - team.above_since < settings_.usage_grace) {
        return {};
    }
    team.reported = true;
    std::ostringstream evidence;
    evidence << "team " << seen.team << " has " << seen.running
             << " slots running, its upper limit is " << seen.upper_limit;
    return {breach(promise::team_over_limit, evidence)};
}

std::vector<broken_promise> promise_monitor::observe(const observed_key_use& seen) const {
    const auto late = seen.taken - seen.withdrawn;
    if (late <= settings_.withdrawal_grace) {
        return {};
    }
    std::ostringstream evidence;
    evidence << "daemon " << seen.accepted_by << " accepted work with key " << seen.key << ' '
             << std::chrono::duration_cast<base::milliseconds>(late).count()
             << " ms after its withdrawal";
    return {breach(promise::withdrawn_key_used, evidence)};
}

std::vector<broken_promise> promise_monitor::observe(const base::daemon_id& daemon,
                                                     base::config_version version) {
    auto& last = versions_[daemon];
    const auto before = std::exchange(last, version);
    if (version >= before) {
        return {};
    }
    std::ostringstream evidence;
    evidence << "daemon " << daemon << " had configuration version " << before
             << " in force and now has " << version;
    return {breach(promise::version_went_back, evidence)};
}

}  // namespace cranberrydock::cell
