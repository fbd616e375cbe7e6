// Placement queries: selects the VMs to name to the placement advisor. The advisor's service
// handles queries slowly and one after another, so a query names few VMs, but enough that the
// granted ones are expected to hold the step.
#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

using detail::min_vms_per_query;
using detail::open_step;
using detail::placement_round;
using detail::vm_record;

namespace {

constexpr std::size_t max_vms_per_query = 100;  // the advisor accepts no more
// The factor by which a query names more capacity than the step needs, because other steps may take
// some of it in the meantime. It is larger for gangs, which need all of their capacity at once.
constexpr double spare_factor = 1.5;
constexpr double gang_spare_factor = 2.5;
// The shortest time between two queries of a step, in general and after an answer that led to no
// start. When capacity is short, further answers would expire like the last one, and queries are
// much of an owner's work.
constexpr milliseconds min_query_interval{300};
constexpr milliseconds min_interval_without_room{600};
// A VM without room now may have some when its ticket is used.
constexpr double tasks_expected_on_full_vm = 0.25;

std::int64_t times_fitting(std::int64_t need, std::int64_t room) {
    return need <= 0 ? max_vms_per_query : std::max<std::int64_t>(room, 0) / need;
}

// How many tasks with this need fit into `room`.
std::int64_t tasks_fitting(const resources& need, const resources& room) {
    return std::min({times_fitting(need.cores.value(), room.cores.value()),
                     times_fitting(need.memory.value(), room.memory.value()),
                     times_fitting(need.accelerators.value(), room.accelerators.value())});
}

struct candidate {
    vm_record* vm;
    std::int64_t tasks;  // how many fit now
};

}  // namespace

bool scheduler::state::is_long_query(const placement_query_cost& cost) const {
    constexpr int long_query_factor = 3;
    return detail::cost_of(cost, min_vms_per_query) > shortest_query * long_query_factor;
}

// The usable VMs in the order of the free cores that a query may count on.
const std::vector<detail::vm_with_free_cores>& scheduler::state::vms_by_free_cores(
    placement_round& round, bool is_long) {
    auto& out = round.by_free_cores[is_long ? 1 : 0];
    if (out.empty()) {
        out.reserve(round.usable.size());
        for (vm_record* const vm : round.usable) {
            out.push_back({vm->free_for_query(is_long).cores, vm});
        }
        std::sort(out.begin(), out.end(),
                  [](const auto& a, const auto& b) { return a.free < b.free; });
    }
    return out;
}

std::optional<placement_query> scheduler::state::make_query(open_step& work, placement_round& round,
                                                            const clock_reading& now) {
    detail::step_state& step = *work.step;
    const milliseconds min_interval =
        step.answers_without_start > 0 ? min_interval_without_room : min_query_interval;
    if (step.query_open || now.steady - step.last_query_at < min_interval) {
        return std::nullopt;
    }
    const step_spec& spec = *step.spec;
    const auto waiting = std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto& it) {
        return !it.done && (it.vm == nullptr || it.vm->facts.leaving);
    });
    const bool is_long = is_long_query(*work.advice);
    const double granted_share = history[work.job->spec.queue].granted_share();
    const double wanted_tasks =
        static_cast<double>(waiting) * (spec.gang ? gang_spare_factor : spare_factor);
    double expected_tasks = 0;     // that the granted VMs are expected to hold
    std::int64_t named_tasks = 0;  // that the named VMs can hold
    std::vector<candidate> named;
    const auto has_enough = [&] {
        return named.size() >= max_vms_per_query ||
               (expected_tasks >= wanted_tasks && named.size() >= min_vms_per_query);
    };
    // Names the VM if it has room, or if it has none.
    const auto consider_vm = [&](vm_record& vm, bool granted_before, bool with_room) {
        if (!may_run(vm, work)) {
            return;
        }
        std::int64_t n =
            std::min<std::int64_t>(tasks_fitting(spec.need, vm.free_for_query(is_long)), waiting);
        if (spec.max_per_vm > 0) {
            const std::int64_t left = spec.max_per_vm - detail::running_on(vm, *work.ref);
            if (left <= 0) {
                return;
            }
            n = std::min(n, left);
        }
        if ((n > 0) != with_room) {
            return;
        }
        expected_tasks += (with_room ? static_cast<double>(n) : tasks_expected_on_full_vm) *
                          (granted_before ? 1.0 : granted_share);
        named_tasks += n;
        named.push_back({&vm, n});
    };
    // VMs with room come first, and among those the ones that were granted before. Wide steps
    // prefer the VMs with the most free capacity. Small steps prefer the fullest ones, which leaves
    // the others to wide gangs.
    const bool wide = spec.gang || waiting > static_cast<std::ptrdiff_t>(min_vms_per_query);
    const auto& by_free = vms_by_free_cores(round, is_long);
    // No VM has gained room since the round began.
    const auto first_with_room =
        std::lower_bound(by_free.begin(), by_free.end(), spec.need.cores,
                         [](const auto& it, base::millicores need) { return it.free < need; });
    for (const bool with_room : {true, false}) {
        for (auto it = step.grants.begin(); it != step.grants.end() && !has_enough(); ++it) {
            vm_record* const vm = vms_by_number[it->first];
            const bool has_ticket =
                vm != nullptr && now.steady < it->second.until && it->second.boot == vm->facts.boot;
            if (vm != nullptr && usable(*vm, now) && !has_ticket) {
                consider_vm(*vm, true, with_room);
            }
        }
        const auto consider_new = [&](vm_record& vm) {
            const auto denied = step.not_granted.find(vm.number);
            const bool is_denied =
                denied != step.not_granted.end() && denied->second == vm.facts.boot;
            if (step.grants.count(vm.number) == 0 && !is_denied) {
                consider_vm(vm, false, with_room);
            }
        };
        if (with_room && !wide) {
            for (auto it = first_with_room; it != by_free.end() && !has_enough(); ++it) {
                consider_new(*it->vm);
            }
        } else {
            const auto last = with_room ? first_with_room : by_free.begin();
            for (auto it = by_free.end(); it != last && !has_enough();) {
                consider_new(*(--it)->vm);
            }
        }
    }
    placement_query out;
    out.step = *work.ref;
    for (const auto& it : named) {
        out.vms.push_back(it.vm->facts.id);
        out.boots.push_back(it.vm->facts.boot);
    }
    if (out.vms.empty()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < out.vms.size() && named_tasks > 0; ++i) {
        const double tasks =
            static_cast<double>(waiting * named[i].tasks) / static_cast<double>(named_tasks);
        const resources needed{base::millicores(static_cast<std::int64_t>(
                                   tasks * static_cast<double>(spec.need.cores.value()))),
                               base::mebibytes(static_cast<std::int64_t>(
                                   tasks * static_cast<double>(spec.need.memory.value()))),
                               {},
                               {}};
        named[i].vm->expected_use(is_long) += needed;
        expectations[out.step].push_back({named[i].vm->number, needed, is_long});
    }
    return out;
}

void scheduler::state::drop_expectations(const step_ref& ref) {
    const auto found = expectations.find(ref);
    if (found == expectations.end()) {
        return;
    }
    for (const auto& it : found->second) {
        if (vm_record* const vm = vms_by_number[it.vm_number]) {
            vm->expected_use(it.is_long) -= it.needed;
        }
    }
    expectations.erase(found);
}

void scheduler::query_answered(const placement_query& query,
                               const tl::expected<placement_response, command_failure>& answer,
                               const clock_reading& now) {
    state_->drop_expectations(query.step);
    detail::job_record* job = nullptr;
    detail::step_state* const step =
        state_->find_step({query.step.job, query.step.occurrence, query.step.step, 0}, &job);
    if (step == nullptr) {
        return;
    }
    step->query_open = false;
    // Its tickets would expire before the step's turn if the backlog is long.
    state_->open.set_due(*step);
    if (answer) {
        ++step->answers_without_start;
    }
    if (!answer) {
        state_->metrics->count("cranberrydock_advice_failures_total",
                               std::string("reason=\"") + to_string(answer.error()) + "\"");
        step->last_query_at = {};
        return;
    }
    const auto until = now.steady + answer->ticket_lifetime - state_->settings.ticket_margin;
    std::unordered_map<vm_id, placement_ticket> granted;
    granted.reserve(answer->grants.size());
    for (const auto& it : answer->grants) {
        granted[it.vm] = it.ticket;
    }
    for (std::size_t i = 0; i < query.vms.size(); ++i) {
        const vm_record* const vm = state_->find_vm(query.vms[i]);
        if (vm == nullptr || vm->facts.boot != query.boots[i]) {
            continue;  // the incarnation that was queried has ended
        }
        const auto it = granted.find(query.vms[i]);
        if (it != granted.end()) {
            step->grants[vm->number] = {it->second, until, vm->facts.boot};
        } else {
            step->not_granted[vm->number] = vm->facts.boot;
            step->grants.erase(vm->number);
        }
    }
    state_->history[job->spec.queue].add_query_result(query.vms.size(), granted.size());
}

}  // namespace cranberrydock::fleet
