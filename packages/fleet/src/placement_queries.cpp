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
constexpr milliseconds min_query_interval{300};

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
    std::int64_t tasks;   // how many fit now
    bool granted_before;  // and therefore expected to be granted again
    std::int64_t free;    // millicores
};

}  // namespace

bool scheduler::state::is_long_query(const placement_query_cost& cost) const {
    constexpr int long_query_factor = 3;
    return detail::cost_of(cost, min_vms_per_query) > shortest_query * long_query_factor;
}

std::optional<placement_query> scheduler::state::make_query(open_step& work,
                                                            const placement_round& round,
                                                            const clock_reading& now) {
    detail::step_state& step = *work.step;
    if (step.query_open || now.steady - step.last_query_at < min_query_interval) {
        return std::nullopt;
    }
    const step_spec& spec = *step.spec;
    const auto waiting = std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto& it) {
        return !it.done && (it.vm == nullptr || it.vm->facts.leaving);
    });
    const bool is_long = is_long_query(*work.advice);
    std::vector<candidate> candidates;
    for (vm_record* const vm : round.usable) {
        const auto granted = step.grants.find(vm->number);
        const bool granted_before = granted != step.grants.end();
        const bool has_ticket = granted_before && now.steady < granted->second.until &&
                                granted->second.boot == vm->facts.boot;
        const auto denied = step.not_granted.find(vm->number);
        const bool is_denied = denied != step.not_granted.end() && denied->second == vm->facts.boot;
        if (has_ticket || is_denied || !may_run(*vm, work)) {
            continue;
        }
        std::int64_t n =
            std::min<std::int64_t>(tasks_fitting(spec.need, vm->free_for_query(is_long)), waiting);
        if (spec.max_per_vm > 0) {
            n = std::clamp<std::int64_t>(spec.max_per_vm - detail::running_on(*vm, *work.ref), 0,
                                         n);
        }
        candidates.push_back({vm, n, granted_before, vm->free_for_query(is_long).cores.value()});
    }
    // VMs with room for a task come first, and among them those that were granted before. Wide
    // steps prefer the VMs with the most free capacity. Small steps prefer the fullest ones, which
    // leaves the others to wide gangs.
    const bool wide = spec.gang || waiting > static_cast<std::ptrdiff_t>(min_vms_per_query);
    const auto better = [wide](const candidate& a, const candidate& b) {
        if ((a.tasks > 0) != (b.tasks > 0)) {
            return a.tasks > 0;
        }
        if (a.granted_before != b.granted_before) {
            return a.granted_before;
        }
        return wide ? a.free > b.free : a.free < b.free;
    };
    const auto last = candidates.begin() +
                      static_cast<std::ptrdiff_t>(std::min(candidates.size(), max_vms_per_query));
    std::partial_sort(candidates.begin(), last, candidates.end(), better);
    candidates.erase(last, candidates.end());
    const double expected_share = history[work.job->spec.queue].granted_share();
    const double wanted_tasks =
        static_cast<double>(waiting) * (spec.gang ? gang_spare_factor : spare_factor);
    double expected_tasks = 0;     // that the granted VMs are expected to hold
    std::int64_t named_tasks = 0;  // that the named VMs can hold
    placement_query out;
    out.step = *work.ref;
    for (const auto& it : candidates) {
        if (out.vms.size() >= max_vms_per_query ||
            (expected_tasks >= wanted_tasks && out.vms.size() >= min_vms_per_query)) {
            break;
        }
        expected_tasks +=
            static_cast<double>(it.tasks) * (it.granted_before ? 1.0 : expected_share);
        named_tasks += it.tasks;
        out.vms.push_back(it.vm->facts.id);
        out.boots.push_back(it.vm->facts.boot);
    }
    if (out.vms.empty()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < out.vms.size() && named_tasks > 0; ++i) {
        const double tasks =
            static_cast<double>(waiting * candidates[i].tasks) / static_cast<double>(named_tasks);
        const resources needed{base::millicores(static_cast<std::int64_t>(
                                   tasks * static_cast<double>(spec.need.cores.value()))),
                               base::mebibytes(static_cast<std::int64_t>(
                                   tasks * static_cast<double>(spec.need.memory.value()))),
                               {},
                               {}};
        candidates[i].vm->expected_use(is_long) += needed;
        expectations[out.step].push_back({candidates[i].vm->number, needed, is_long});
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
    if (!answer) {
        state_->metrics->count("cranberrydock_advice_failures_total",
                               std::string("reason=\"") + to_string(answer.error()) + "\"");
        step->last_query_at = {};
        return;
    }
    const auto until = now.steady + answer->ticket_lifetime - state_->settings.ticket_margin;
    std::map<vm_id, placement_ticket> granted;
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
