// Placement questions: which VMs to name to the adviser. Its service is slow and serial, so few
// VMs are named, yet enough that those granted hold the step.
#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

using detail::least_named;
using detail::open_step;
using detail::placing_round;
using detail::vm_record;

namespace {

constexpr std::size_t most_named = 100;  // the adviser takes no more
// Room named over what is needed, for what others take meanwhile. A gang needs its room at once.
constexpr double spare_room = 1.5;
constexpr double spare_room_of_gangs = 2.5;
constexpr milliseconds pause_between_questions{300};

std::int64_t times_fitting(std::int64_t need, std::int64_t room) {
    return need <= 0 ? most_named : std::max<std::int64_t>(room, 0) / need;
}

// How many tasks of that need fit into `room`.
std::int64_t tasks_fitting(const resources& need, const resources& room) {
    return std::min({times_fitting(need.cores.value(), room.cores.value()),
                     times_fitting(need.memory.value(), room.memory.value()),
                     times_fitting(need.accelerators.value(), room.accelerators.value())});
}

struct candidate {
    vm_record* vm;
    std::int64_t tasks;  // that fit now
    bool known;          // granted before, so that it will be granted again
    std::int64_t free;   // millicores
};

}  // namespace

bool scheduler::state::asks_long(const advice_cost& cost) const {
    constexpr int times_the_shortest = 3;
    return detail::cost_of(cost, least_named) > shortest_question * times_the_shortest;
}

std::optional<advice_question> scheduler::state::question_for(open_step& work,
                                                              const placing_round& round,
                                                              const moment& now) {
    detail::step_state& step = *work.step;
    if (step.question_open || now.steady - step.last_question < pause_between_questions) {
        return std::nullopt;
    }
    const step_spec& spec = *step.spec;
    const auto waiting = std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto& it) {
        return !it.done && (it.vm == nullptr || it.vm->facts.leaving);
    });
    const bool is_long = asks_long(*work.advice);
    std::vector<candidate> candidates;
    for (vm_record* const vm : round.usable) {
        const auto granted = step.grants.find(vm->number);
        const bool known = granted != step.grants.end();
        if ((known && now.steady < granted->second.until) || step.denied.count(vm->number) > 0 ||
            !may_run(*vm, work)) {
            continue;
        }
        std::int64_t n =
            std::min<std::int64_t>(tasks_fitting(spec.need, vm->free_to_name(is_long)), waiting);
        if (spec.max_per_vm > 0) {
            n = std::min<std::int64_t>(n, spec.max_per_vm);
        }
        candidates.push_back({vm, n, known, vm->free_to_name(is_long).cores.value()});
    }
    // VMs granted before are granted again; then those with room, the fullest of them for small
    // steps, so that wide gangs find room elsewhere.
    const bool wide = spec.gang || waiting > static_cast<std::ptrdiff_t>(least_named);
    const auto better = [wide](const candidate& a, const candidate& b) {
        if (a.known != b.known) {
            return a.known;
        }
        if ((a.tasks > 0) != (b.tasks > 0)) {
            return a.tasks > 0;
        }
        return wide ? a.free > b.free : a.free < b.free;
    };
    const auto best =
        candidates.begin() + static_cast<std::ptrdiff_t>(std::min(candidates.size(), most_named));
    std::partial_sort(candidates.begin(), best, candidates.end(), better);
    candidates.erase(best, candidates.end());
    const double share = history[work.job->spec.queue].granted_share();
    const double wanted =
        static_cast<double>(waiting) * (spec.gang ? spare_room_of_gangs : spare_room);
    double expected = 0;
    std::int64_t room_named = 0;  // in tasks
    advice_question out;
    out.step = *work.where;
    for (const auto& it : candidates) {
        if (out.vms.size() >= most_named || (expected >= wanted && out.vms.size() >= least_named)) {
            break;
        }
        expected += static_cast<double>(it.tasks) * (it.known ? 1.0 : share);
        room_named += it.tasks;
        out.vms.push_back(it.vm->facts.id);
    }
    if (out.vms.empty()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < out.vms.size() && room_named > 0; ++i) {
        const double tasks =
            static_cast<double>(waiting * candidates[i].tasks) / static_cast<double>(room_named);
        const resources room{base::millicores(static_cast<std::int64_t>(
                                 tasks * static_cast<double>(spec.need.cores.value()))),
                             base::mebibytes(static_cast<std::int64_t>(
                                 tasks * static_cast<double>(spec.need.memory.value()))),
                             {},
                             {}};
        candidates[i].vm->asked_for(is_long) += room;
        expectations[out.step].push_back({candidates[i].vm->number, room, is_long});
    }
    return out;
}

void scheduler::state::forget_expectations(const step_ref& where) {
    const auto found = expectations.find(where);
    if (found == expectations.end()) {
        return;
    }
    for (const auto& it : found->second) {
        if (vm_record* const vm = vm_numbers[it.vm]) {
            vm->asked_for(it.is_long) -= it.room;
        }
    }
    expectations.erase(found);
}

void scheduler::advice_given(const advice_question& question,
                             const tl::expected<advice_answer, order_failure>& answer,
                             const moment& now) {
    state_->forget_expectations(question.step);
    detail::job_record* job = nullptr;
    detail::step_state* const step = state_->find_step(
        {question.step.job, question.step.occurrence, question.step.step, 0}, &job);
    if (step == nullptr) {
        return;
    }
    step->question_open = false;
    if (!answer) {
        state_->metrics->count("cranberrydock_advice_failures_total",
                               std::string("reason=\"") + to_string(answer.error()) + "\"");
        step->last_question = {};
        return;
    }
    const auto until = now.steady + answer->ticket_life - state_->settings.ticket_margin;
    std::set<vm_id> granted;
    for (const auto& it : answer->grants) {
        granted.insert(it.vm);
        const vm_record* const vm = state_->find_vm(it.vm);
        if (vm != nullptr) {
            step->grants[vm->number] = {it.ticket, until, vm->facts.boot};
        }
    }
    for (const auto& it : question.vms) {
        const vm_record* const vm = state_->find_vm(it);
        if (vm != nullptr && granted.count(it) == 0) {
            step->denied.insert(vm->number);
            step->grants.erase(vm->number);
        }
    }
    state_->history[job->spec.queue].asked(question.vms.size(), granted.size());
}

}  // namespace cranberrydock::fleet
