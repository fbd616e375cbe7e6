// Placing: which of the open tasks start now, and where. Tasks go to the VM that they fill best, so
// that wide gangs find room; a gang starts whole or not at all, and one that has to wait keeps less
// urgent work off the VMs granted to it.
#include "scheduler_state.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step;
using detail::placing_round;
using detail::run_phase;
using detail::step_state;
using detail::vm_record;

namespace {

// Questions are asked for work that can be placed now or soon: for so much more than is free.
constexpr double lookahead_share = 0.25;

std::int64_t looked_ahead(std::int64_t most) {
    return static_cast<std::int64_t>(static_cast<double>(most) * lookahead_share);
}

resources need_of_all(const open_step& work) {
    const resources& need = work.step->spec->need;
    const auto count = static_cast<std::int64_t>(work.step->tasks.size());
    return {base::millicores(need.cores.value() * count),
            base::mebibytes(need.memory.value() * count),
            base::accelerator_count(need.accelerators.value() * count), base::slot_count(0)};
}

}  // namespace

bool scheduler::state::usable(const vm_record& vm, const moment& now) const {
    return vm.reported && vm.reachable && !vm.facts.leaving && now.steady >= vm.avoid_until;
}

// Whether a usable VM may ever run the step, full or not.
bool scheduler::state::may_run(const vm_record& vm, const open_step& work) {
    const step_spec& spec = *work.step->spec;
    const auto& labels = vm.facts.labels;
    return vm.facts.service == work.terms->service && fits(spec.need, vm.facts.capacity) &&
           (spec.required_label.empty() ||
            std::find(labels.begin(), labels.end(), spec.required_label) != labels.end());
}

// What the customer may still start; a limit of 0 is no limit.
resources scheduler::state::customer_room(const customer_name& customer) const {
    constexpr std::int64_t unlimited = INT64_MAX / 4;
    resources out{base::millicores(unlimited), base::mebibytes(unlimited),
                  base::accelerator_count(unlimited), base::slot_count(unlimited)};
    const auto limits = configuration->customers.find(customer);
    if (limits == configuration->customers.end()) {
        return out;
    }
    const auto used = in_use.find(customer);
    const resources taken =
        unknown_use + unreported_use + (used == in_use.end() ? resources{} : used->second);
    const resources& most = limits->second.upper_limit;
    if (most.cores.value() > 0) {
        out.cores = most.cores - taken.cores;
    }
    if (most.memory.value() > 0) {
        out.memory = most.memory - taken.memory;
    }
    if (most.accelerators.value() > 0) {
        out.accelerators = most.accelerators - taken.accelerators;
    }
    return out;
}

// The usable VMs on which the step may start now, those reserved for gangs left out.
std::vector<vm_record*> scheduler::state::allowed_vms(const open_step& work,
                                                      const placing_round& round,
                                                      const moment& now) const {
    std::vector<vm_record*> out;
    if (work.advice == nullptr) {
        for (vm_record* const vm : round.usable) {
            if (!round.is_reserved(*vm) && may_run(*vm, work)) {
                out.push_back(vm);
            }
        }
        return out;
    }
    for (const auto& it : work.step->grants) {
        vm_record* const vm = vm_numbers[it.first];
        if (vm != nullptr && now.steady < it.second.until && vm->facts.boot == it.second.boot &&
            usable(*vm, now) && !round.is_reserved(*vm) && may_run(*vm, work)) {
            out.push_back(vm);
        }
    }
    return out;
}

void scheduler::state::start(open_step& work, int index, vm_record& vm, run_number run,
                             const moment& now, decisions& out) {
    const task_ref task{work.where->job, work.where->occurrence, work.where->step, index};
    place(vm, *work.job, *work.step, task, run, now);
    out.starts.push_back(start_order_of(vm, *work.job, *work.step, task, run));
}

start_decision scheduler::state::start_order_of(const vm_record& vm, const detail::job_record& job,
                                                const step_state& step, const task_ref& task,
                                                run_number run) {
    start_decision out;
    out.vm = vm.facts.id;
    out.task = task;
    out.run = run;
    out.payload = job.spec.payload;
    out.from = step.tasks[static_cast<std::size_t>(task.index)].saved;
    const auto granted = step.grants.find(vm.number);
    if (granted != step.grants.end()) {
        out.ticket = granted->second.ticket;
    }
    return out;
}

namespace {

// Tasks of each step that each VM runs, for steps that limit them.
int running_of(const vm_record& vm, const step_ref& where) {
    const task_ref first{where.job, where.occurrence, where.step, 0};
    int out = 0;
    for (auto it = vm.runs.lower_bound(first);
         it != vm.runs.end() && it->first.job == where.job &&
         it->first.occurrence == where.occurrence && it->first.step == where.step;
         ++it) {
        ++out;
    }
    return out;
}

// How many tasks of a step run on each rack and in each zone.
struct step_spread {
    explicit step_spread(const step_state& step) {
        for (const auto& it : step.tasks) {
            if (it.vm != nullptr) {
                add(*it.vm);
            }
        }
    }

    void add(const vm_record& vm) {
        ++on_vm[vm.number];
        ++on_rack[vm.facts.rack];
        ++in_zone[vm.facts.zone];
    }

    // Tasks that would be lost together with one more there: with its zone, its rack, its VM.
    std::tuple<int, int, int> shared_fate(const vm_record& vm) const {
        return {count_in(in_zone, vm.facts.zone), count_in(on_rack, vm.facts.rack),
                count_in(on_vm, vm.number)};
    }

    template <typename Map>
    static int count_in(const Map& counts, const typename Map::key_type& key) {
        const auto it = counts.find(key);
        return it == counts.end() ? 0 : it->second;
    }

    std::map<std::size_t, int> on_vm;
    std::map<rack_name, int> on_rack;
    std::map<zone_name, int> in_zone;
};

}  // namespace

// Starts what fits of a step whose tasks are independent. False when some had to wait.
bool scheduler::state::place_tasks(open_step& work, const placing_round& round, const moment& now,
                                   decisions& out) {
    const step_spec& spec = *work.step->spec;
    const auto allowed = allowed_vms(work, round, now);
    resources room = customer_room(work.job->spec.customer);
    bool all = true;
    std::optional<step_spread> spread;
    if (spec.long_running) {
        spread.emplace(*work.step);
    }
    for (std::size_t i = 0; i < work.step->tasks.size(); ++i) {
        auto& task = work.step->tasks[i];
        if (task.done || task.vm != nullptr) {
            continue;
        }
        vm_record* best = nullptr;
        const auto better = [&](const vm_record& a, const vm_record& b) {
            // Lasting work is spread, so that most of it outlives a VM, a rack or a zone.
            if (spread && spread->shared_fate(a) != spread->shared_fate(b)) {
                return spread->shared_fate(a) < spread->shared_fate(b);
            }
            const bool near_a = a.facts.rack == spec.data_rack;
            const bool near_b = b.facts.rack == spec.data_rack;
            return near_a != near_b ? near_a : a.free().cores < b.free().cores;
        };
        if (fits(spec.need, room)) {
            for (vm_record* const vm : allowed) {
                const bool full =
                    spec.max_per_vm > 0 && running_of(*vm, *work.where) >= spec.max_per_vm;
                if (fits(spec.need, vm->free()) && !full &&
                    (best == nullptr || better(*vm, *best))) {
                    best = vm;
                }
            }
        }
        if (best == nullptr) {
            all = false;
            break;  // the other tasks need the same
        }
        room -= spec.need;
        if (spread) {
            spread->add(*best);
        }
        start(work, static_cast<int>(i), *best, task.last_run.next(), now, out);
    }
    return all;
}

// Starts a gang whole, on the fewest VMs, on one rack if it asks for that and one has room.
bool scheduler::state::place_gang(open_step& work, const placing_round& round, const moment& now,
                                  decisions& out) {
    const step_spec& spec = *work.step->spec;
    auto& tasks = work.step->tasks;
    run_number last;
    checkpoint saved;
    for (const auto& it : tasks) {
        if (it.vm != nullptr) {
            return true;  // members of the last run have not ended yet
        }
        last = std::max(last, it.last_run);
        if (it.saved.str() > saved.str()) {
            saved = it.saved;
        }
    }
    const auto count = static_cast<std::int64_t>(tasks.size());
    const resources room = customer_room(work.job->spec.customer);
    if (!fits(need_of_all(work), room)) {
        return true;  // waits for its own customer, and keeps nobody else off
    }
    struct share {
        vm_record* vm;
        std::int64_t tasks;
    };
    std::map<rack_name, std::int64_t> rack_room;
    std::vector<share> shares;
    for (vm_record* const vm : allowed_vms(work, round, now)) {
        std::int64_t n = 0;
        resources left = vm->free();
        const std::int64_t most = spec.max_per_vm > 0 ? spec.max_per_vm : count;
        while (n < std::min(most, count) && fits(spec.need, left)) {
            left -= spec.need;
            ++n;
        }
        if (n > 0) {
            shares.push_back({vm, n});
            rack_room[vm->facts.rack] += n;
        }
    }
    rack_name rack;
    for (const auto& it : rack_room) {
        if (it.second >= count && (rack.empty() || it.first == spec.data_rack)) {
            rack = it.first;
        }
    }
    std::sort(shares.begin(), shares.end(), [&](const share& a, const share& b) {
        if (spec.same_rack && (a.vm->facts.rack == rack) != (b.vm->facts.rack == rack)) {
            return a.vm->facts.rack == rack;
        }
        return a.tasks != b.tasks ? a.tasks > b.tasks : a.vm->facts.id < b.vm->facts.id;
    });
    std::int64_t total = 0;
    for (const auto& it : shares) {
        total += it.tasks;
    }
    if (total < count) {
        return false;
    }
    std::size_t index = 0;
    for (const auto& it : shares) {
        for (std::int64_t n = 0; n < it.tasks && index < tasks.size(); ++n) {
            tasks[index].saved = saved;
            start(work, static_cast<int>(index), *it.vm, last.next(), now, out);
            ++index;
        }
    }
    forming.insert(*work.where);
    return true;
}

// Whether the step may start somewhere, as far as the adviser has its say.
bool scheduler::state::has_ticket(const open_step& work, const moment& now) const {
    const auto& grants = work.step->grants;
    return work.advice == nullptr || std::any_of(grants.begin(), grants.end(), [&](const auto& it) {
               return now.steady < it.second.until;
           });
}

// Whether the step can't start soon because its customer is near its limit; else counts it among
// what may start. Such a backlog must not use up the questions of other customers.
bool scheduler::state::waits_for_limit(const open_step& work, placing_round& round) const {
    const customer_name& customer = work.job->spec.customer;
    const auto found = round.customers_ahead.find(customer);
    if (found == round.customers_ahead.end()) {
        resources ahead = customer_room(customer);
        const auto limits = configuration->customers.find(customer);
        if (limits != configuration->customers.end()) {
            const resources& most = limits->second.upper_limit;
            ahead.cores += base::millicores(looked_ahead(most.cores.value()));
            ahead.memory += base::mebibytes(looked_ahead(most.memory.value()));
        }
        round.customers_ahead.emplace(customer, ahead);
    }
    resources& ahead = round.customers_ahead.at(customer);
    if (ahead.cores.value() <= 0 || ahead.memory.value() <= 0) {
        return true;
    }
    ahead -= need_of_all(work);
    return false;
}

void scheduler::state::ask_for(open_step& work, placing_round& round, const moment& now,
                               decisions& out) {
    const bool is_long = asks_long(*work.advice);
    int& room = is_long ? round.advisers.long_questions : round.advisers.questions;
    if (room <= 0 || round.ahead <= 0 || work.step->question_open) {
        return;
    }
    if (auto question = question_for(work, round, now)) {
        question->is_long = is_long;
        question->service_time = detail::cost_of(*work.advice, question->vms.size());
        work.step->question_open = true;
        work.step->last_question = now.steady;
        out.questions.push_back(std::move(*question));
        --round.advisers.questions;
        round.advisers.long_questions -= is_long ? 1 : 0;
    }
}

void scheduler::state::place_work(const moment& now, const adviser_room& advisers, decisions& out) {
    placing_round round;
    round.advisers = advisers;
    resources free;
    resources total;
    unreported_use = {};
    for (vm_record* const vm : vm_numbers) {
        if (vm != nullptr && !inherited_known && !vm->reported && !vm->ended) {
            unreported_use += vm->facts.capacity;
        }
        if (vm != nullptr && usable(*vm, now)) {
            round.usable.push_back(vm);
            free += vm->free();
            total += vm->facts.capacity;
        }
    }
    round.ahead = free.cores.value() + looked_ahead(total.cores.value());
    int reserving = 0;
    for (auto& work : work_in_order(now)) {
        if (has_ticket(work, now)) {
            const bool placed = work.step->spec->gang ? place_gang(work, round, now, out)
                                                      : place_tasks(work, round, now, out);
            if (placed) {
                continue;
            }
        }
        if (waits_for_limit(work, round)) {
            continue;
        }
        if (work.advice != nullptr) {
            ask_for(work, round, now, out);
        }
        round.ahead -= need_of_all(work).cores.value();
        if (work.step->spec->gang && work.tier == 0 && reserving < settings.most_reserving_gangs) {
            round.reserved.resize(vm_numbers.size(), false);
            for (const vm_record* const vm : allowed_vms(work, round, now)) {
                round.reserved[vm->number] = true;
            }
            ++reserving;
        }
    }
    move_off_leaving(round, now, out);
}

// Lasting work is stopped on VMs that leave once there is room for it elsewhere, before the VM ends
// it and that has to be noticed first.
void scheduler::state::move_off_leaving(placing_round& round, const moment& now, decisions& out) {
    std::set<step_ref> steps;
    for (const vm_record* const vm : vm_numbers) {
        if (vm == nullptr || !vm->facts.leaving || !vm->reachable) {
            continue;
        }
        for (const auto& it : vm->runs) {
            job_record* job = nullptr;
            const step_state* const step = find_step(it.first, &job);
            if (step != nullptr && step->spec->long_running && !is_final(job->state) &&
                it.second.phase != run_phase::stopping) {
                steps.insert({it.first.job, it.first.occurrence, it.first.step});
            }
        }
    }
    for (const auto& it : steps) {
        job_record* job = nullptr;
        step_state* const step = find_step({it.job, it.occurrence, it.step, 0}, &job);
        open_step work = judge({it, job, step}, now);
        work.where = &it;
        move_tasks(work, round, now, out);
    }
}

void scheduler::state::move_tasks(open_step& work, placing_round& round, const moment& now,
                                  decisions& out) {
    std::int64_t places = 0;
    for (const vm_record* const vm : allowed_vms(work, round, now)) {
        places += fits(work.step->spec->need, vm->free()) ? 1 : 0;
    }
    for (std::size_t i = 0; i < work.step->tasks.size(); ++i) {
        vm_record* const vm = work.step->tasks[i].vm;
        if (vm == nullptr || !vm->facts.leaving) {
            continue;
        }
        if (places <= 0) {
            if (work.advice != nullptr) {
                ask_for(work, round, now, out);
            }
            return;
        }
        const auto run = vm->runs.find(
            {work.where->job, work.where->occurrence, work.where->step, static_cast<int>(i)});
        if (run != vm->runs.end() && run->second.phase != run_phase::stopping) {
            want_stop(*vm, run->second, "vm_leaving");
            --places;
        }
    }
}

}  // namespace cranberrydock::fleet
