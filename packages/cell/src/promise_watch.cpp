// Judging observations against promises.
#include <cranberrydock/cell/promise_watch.hpp>

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

void remove_place(std::map<base::task_id, std::vector<base::vm_id>>& places,
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

std::vector<broken_promise> promise_watch::see(const observed_report& seen) {
    std::vector<broken_promise> out;
    auto& view = vms_[seen.vm];
    const bool other_boot = view.incarnation != seen.report.incarnation;
    if (!other_boot && seen.report.number < view.number) {
        return out;  // overtaken by a later one
    }
    auto before = std::exchange(view.running, {});
    for (const auto& it : before) {
        remove_place(places_, it.second.task, seen.vm);
    }
    if (other_boot) {
        before.clear();
        view.told_overcommitted = false;
    }
    view.incarnation = seen.report.incarnation;
    view.number = seen.report.number;
    bool any_new = false;
    for (const auto& it : seen.report.running) {
        sighting now{it.task, seen.received, seen.asked, seen.received, false};
        const auto earlier = before.find(it.attempt);
        any_new = any_new || earlier == before.end();
        if (earlier != before.end()) {
            now.first_received = earlier->second.first_received;
            now.told = earlier->second.told;
        }
        view.running[it.attempt] = now;
        places_[it.task].push_back(seen.vm);
    }
    check_capacity(seen, any_new, out);
    check_places(seen.vm, view, out);
    return out;
}

// A capacity that shrinks under running tasks is no breach; a start beyond it is.
void promise_watch::check_capacity(const observed_report& seen, bool any_new,
                                   std::vector<broken_promise>& out) {
    base::resources reserved;
    for (const auto& it : seen.report.running) {
        reserved += it.reserved;
    }
    auto& view = vms_[seen.vm];
    if (base::fits(reserved, seen.report.capacity)) {
        view.told_overcommitted = false;
        return;
    }
    if (view.told_overcommitted || !any_new) {
        return;
    }
    view.told_overcommitted = true;
    std::ostringstream evidence;
    evidence << "VM " << seen.vm << " reports " << seen.report.running.size()
             << " tasks that reserve " << text_of(reserved) << "; it has "
             << text_of(seen.report.capacity);
    out.push_back(breach(promise::vm_overcommitted, evidence));
}

// Two attempts of a task: this VM's surely ran from `first_received` to `last_asked`. The other's
// ran at some moment of its last exchange; if that lies wholly within, they ran together. Two in
// one report did so in any case.
void promise_watch::check_places(const base::vm_id& vm, vm_view& view,
                                 std::vector<broken_promise>& out) {
    for (auto& own : view.running) {
        auto& here = own.second;
        for (const auto& other_vm : places_[here.task]) {
            for (const auto& other : vms_[other_vm].running) {
                const auto& there = other.second;
                const bool rival = there.task == here.task && other.first != own.first;
                const bool together = other_vm == vm || (there.last_asked >= here.first_received &&
                                                         there.last_received <= here.last_asked);
                if (!rival || !together || here.told) {
                    continue;
                }
                here.told = true;
                std::ostringstream evidence;
                evidence << "task " << here.task << " runs on " << vm << " as " << own.first
                         << " and on " << other_vm << " as " << other.first;
                out.push_back(breach(promise::task_in_two_places, evidence));
            }
        }
    }
}

void promise_watch::forget(const base::vm_id& vm) {
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    for (const auto& one : it->second.running) {
        remove_place(places_, one.second.task, vm);
    }
    vms_.erase(it);
}

void promise_watch::forget(const base::daemon_id& daemon) {
    versions_.erase(daemon);
}

std::vector<broken_promise> promise_watch::see(const observed_usage& seen, base::time_point now) {
    auto& team = teams_[seen.team];
    if (seen.upper_limit < team.upper_limit) {
        // Running work goes on under a lowered limit; it only must not grow.
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
        team.told = false;
        return {};
    }
    if (!team.above) {
        team.above = true;
        team.above_since = now;
    }
    if (team.told || now - team.above_since < settings_.usage_grace) {
        return {};
    }
    team.told = true;
    std::ostringstream evidence;
    evidence << "team " << seen.team << " has " << seen.running
             << " slots running, its upper limit is " << seen.upper_limit;
    return {breach(promise::team_over_limit, evidence)};
}

std::vector<broken_promise> promise_watch::see(const observed_key_use& seen) const {
    const auto late = seen.taken - seen.withdrawn;
    if (late <= settings_.withdrawal_grace) {
        return {};
    }
    std::ostringstream evidence;
    evidence << "daemon " << seen.taken_by << " took work under key " << seen.key << ' '
             << std::chrono::duration_cast<base::milliseconds>(late).count()
             << " ms after its withdrawal";
    return {breach(promise::withdrawn_key_used, evidence)};
}

std::vector<broken_promise> promise_watch::see(const base::daemon_id& daemon,
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
