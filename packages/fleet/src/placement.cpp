// Placement: decides which open tasks start now, and on which VMs. A task goes to the VM with the
// least free capacity that fits it, which leaves room for wide gangs. A gang starts completely or
// not at all. A gang that has to wait reserves the VMs granted to it against less urgent work.
#include "scheduler_state.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step;
using detail::placement_round;
using detail::query_lookahead;
using detail::run_phase;
using detail::step_state;
using detail::vm_record;

namespace {

// Queries are sent for work that can be placed now or soon: for the free capacity plus this
// fraction of the total.
constexpr double lookahead_fraction = 0.25;

resources share_of(const resources& amount, double fraction) {
    const auto part = [fraction](std::int64_t n) {
        return static_cast<std::int64_t>(static_cast<double>(n) * fraction);
    };
    return {base::millicores(part(amount.cores.value())),
            base::mebibytes(part(amount.memory.value())),
            base::accelerator_count(part(amount.accelerators.value())), base::slot_count(0)};
}

resources times(const resources& need, std::int64_t count) {
    return {base::millicores(need.cores.value() * count),
            base::mebibytes(need.memory.value() * count),
            base::accelerator_count(need.accelerators.value() * count), base::slot_count(0)};
}

resources total_need(const open_step& work) {
    return times(work.step->spec->need, static_cast<std::int64_t>(work.step->tasks.size()));
}

// The need of the tasks that wait to be placed.
resources waiting_need(const open_step& work) {
    const auto& tasks = work.step->tasks;
    return times(work.step->spec->need,
                 std::count_if(tasks.begin(), tasks.end(),
                               [](const auto& it) { return !it.done && it.vm == nullptr; }));
}

bool is_positive(const resources& amount) {
    return amount.cores.value() > 0 && amount.memory.value() > 0;
}

bool is_used_up(const query_lookahead& lookahead, bool claims_free_now) {
    return !is_positive(lookahead.free_soon) &&
           !(claims_free_now && is_positive(lookahead.free_now));
}

// Whether the advisor's last answers led to no start, and the next attempt is not due yet.
bool found_no_room_lately(const open_step& work, const clock_reading& now) {
    constexpr milliseconds first_pause{2'500};
    constexpr int max_doublings = 2;
    const int answers = work.step->answers_without_start;
    return answers > 0 && now.steady - work.step->last_query_at <
                              first_pause * (1 << std::min(answers - 1, max_doublings));
}

void take(query_lookahead& lookahead, const resources& need, bool claims_free_now) {
    (claims_free_now && is_positive(lookahead.free_now) ? lookahead.free_now
                                                        : lookahead.free_soon) -= need;
}

}  // namespace

bool scheduler::state::usable(const vm_record& vm, const clock_reading& now) const {
    return vm.reported && vm.reachable && !vm.facts.leaving && now.steady >= vm.avoid_until;
}

// Whether a usable VM may run the step, apart from its current use.
bool scheduler::state::may_run(const vm_record& vm, const open_step& work) {
    const step_spec& spec = *work.step->spec;
    const auto& labels = vm.facts.labels;
    return vm.facts.service == work.terms->service && fits(spec.need, vm.facts.capacity) &&
           (spec.required_label.empty() ||
            std::find(labels.begin(), labels.end(), spec.required_label) != labels.end());
}

// The capacity that the customer may still use. A limit of 0 means no limit.
resources scheduler::state::customer_headroom(const customer_name& customer) const {
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
    const resources& limit = limits->second.upper_limit;
    if (limit.cores.value() > 0) {
        out.cores = limit.cores - taken.cores;
    }
    if (limit.memory.value() > 0) {
        out.memory = limit.memory - taken.memory;
    }
    if (limit.accelerators.value() > 0) {
        out.accelerators = limit.accelerators - taken.accelerators;
    }
    return out;
}

// The usable VMs on which the step may start now, without the VMs that are reserved for gangs.
std::vector<vm_record*> scheduler::state::allowed_vms(const open_step& work,
                                                      const placement_round& round,
                                                      const clock_reading& now) const {
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
        vm_record* const vm = vms_by_number[it.first];
        if (vm != nullptr && now.steady < it.second.until && vm->facts.boot == it.second.boot &&
            usable(*vm, now) && !round.is_reserved(*vm) && may_run(*vm, work)) {
            out.push_back(vm);
        }
    }
    return out;
}

void scheduler::state::start(open_step& work, int index, vm_record& vm, run_number run,
                             const clock_reading& now, decisions& out) {
    const task_ref task{work.ref->job, work.ref->occurrence, work.ref->step, index};
    work.step->answers_without_start = 0;
    place_run(vm, *work.job, *work.step, task, run, now);
    work.step->waits_since = now.steady;
    out.starts.push_back(make_start_decision(vm, *work.job, *work.step, task, run));
    if (ended_run* const previous =
            work.step->tasks[static_cast<std::size_t>(index)].previous.get()) {
        previous->restarted_at = now.steady;
        out.starts.back().previous = *previous;
    }
}

start_decision scheduler::state::make_start_decision(const vm_record& vm,
                                                     const detail::job_record& job,
                                                     const step_state& step, const task_ref& task,
                                                     run_number run) {
    start_decision out;
    out.vm = vm.facts.id;
    out.task = task;
    out.run = run;
    out.payload = job.spec.payload;
    out.resume_from = step.tasks[static_cast<std::size_t>(task.index)].saved;
    const auto granted = step.grants.find(vm.number);
    if (granted != step.grants.end()) {
        out.ticket = granted->second.ticket;
    }
    return out;
}

int detail::running_on(const vm_record& vm, const step_ref& ref) {
    const task_ref first{ref.job, ref.occurrence, ref.step, 0};
    int out = 0;
    for (auto it = vm.runs.lower_bound(first);
         it != vm.runs.end() && it->first.job == ref.job &&
         it->first.occurrence == ref.occurrence && it->first.step == ref.step;
         ++it) {
        ++out;
    }
    return out;
}

namespace {

// The number of a step's tasks on each VM, on each rack and in each zone.
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

    // The numbers of tasks that share the zone, the rack and the VM with a new task on `vm`, and
    // would be lost together with it.
    std::tuple<int, int, int> failure_domain_counts(const vm_record& vm) const {
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

// The number of the gang's members that fit into `room` on one VM.
std::int64_t members_fitting(const step_spec& spec, resources room) {
    const int limit =
        spec.max_per_vm > 0 ? std::min(spec.max_per_vm, spec.task_count) : spec.task_count;
    std::int64_t out = 0;
    for (; out < limit && fits(spec.need, room); ++out) {
        room -= spec.need;
    }
    return out;
}

}  // namespace

// Starts the tasks that fit, for a step with independent tasks. Returns false if some have to wait.
bool scheduler::state::place_tasks(open_step& work, const placement_round& round,
                                   const clock_reading& now, decisions& out) {
    const step_spec& spec = *work.step->spec;
    const auto allowed = allowed_vms(work, round, now);
    resources room = customer_headroom(work.job->spec.customer);
    bool all_placed = true;
    std::optional<step_spread> spread;
    if (spec.long_running) {
        spread.emplace(*work.step);
    }
    for (std::size_t i = 0; i < work.step->tasks.size(); ++i) {
        auto& task = work.step->tasks[i];
        if (task.done || task.vm != nullptr) {
            continue;
        }
        const bool on_probation = needs_probation(work, task, now);
        const bool may_begin = !on_probation || may_begin_probation(work, task, round, now);
        if (!is_saved(work, task) || (!may_begin && !may_join_probation(task, now))) {
            all_placed = false;
            continue;
        }
        if (pending_starts >= max_pending_commands()) {
            return false;
        }
        vm_record* best = nullptr;
        const auto better = [&](const vm_record& a, const vm_record& b) {
            // A crash is to take as little other work with it as possible.
            if (on_probation && a.on_probation != b.on_probation) {
                return a.on_probation;
            }
            const bool avoid_a = now.steady < a.for_probations_until;
            const bool avoid_b = now.steady < b.for_probations_until;
            if (avoid_a != avoid_b) {
                return on_probation ? avoid_a : avoid_b;
            }
            if (on_probation || task.crashes.suspected()) {
                return a.used.cores < b.used.cores;
            }
            // Long-running tasks are spread, so that most of them survive the loss of a VM, a rack
            // or a zone.
            if (spread && spread->failure_domain_counts(a) != spread->failure_domain_counts(b)) {
                return spread->failure_domain_counts(a) < spread->failure_domain_counts(b);
            }
            const bool near_a = a.facts.rack == spec.data_rack;
            const bool near_b = b.facts.rack == spec.data_rack;
            return near_a != near_b ? near_a : a.free().cores < b.free().cores;
        };
        if (fits(spec.need, room)) {
            for (vm_record* const vm : allowed) {
                const bool full =
                    spec.max_per_vm > 0 && detail::running_on(*vm, *work.ref) >= spec.max_per_vm;
                if (fits(spec.need, vm->free()) && !full &&
                    vm->pending_starts < settings.max_pending_starts_per_vm &&
                    accepts_start(*vm, work, task, on_probation, now) &&
                    (may_begin || vm->on_probation) && (best == nullptr || better(*vm, *best))) {
                    best = vm;
                }
            }
        }
        if (best == nullptr) {
            all_placed = false;
            if (on_probation) {
                continue;
            }
            break;  // the other tasks have the same need
        }
        room -= spec.need;
        if (spread) {
            spread->add(*best);
        }
        start(work, static_cast<int>(i), *best, task.last_run.next(), now, out);
        if (on_probation) {
            begin_probation(
                *best, {work.ref->job, work.ref->occurrence, work.ref->step, static_cast<int>(i)},
                task.last_run, now);
        }
    }
    return all_placed;
}

// Starts a complete gang on the fewest VMs, and on a single rack if the step prefers that and a
// rack has room. Returns false if the gang has to wait for capacity.
bool scheduler::state::place_gang(open_step& work, const placement_round& round,
                                  const clock_reading& now, decisions& out) {
    const step_spec& spec = *work.step->spec;
    auto& tasks = work.step->tasks;
    run_number last;
    checkpoint saved;
    for (const auto& it : tasks) {
        if (it.vm != nullptr) {
            return true;  // members of the previous run have not ended yet
        }
        last = std::max(last, it.last_run);
        if (it.saved.str() > saved.str()) {
            saved = it.saved;
        }
    }
    const auto count = static_cast<std::int64_t>(tasks.size());
    const resources room = customer_headroom(work.job->spec.customer);
    if (!fits(total_need(work), room)) {
        return true;  // waits for its customer's limit, and must not reserve VMs
    }
    const bool on_probation = std::any_of(
        tasks.begin(), tasks.end(), [&](const auto& it) { return needs_probation(work, it, now); });
    struct share {
        vm_record* vm;
        std::int64_t tasks;
    };
    std::map<rack_name, std::int64_t> rack_room;
    std::vector<share> shares;
    for (vm_record* const vm : allowed_vms(work, round, now)) {
        const std::int64_t n = members_fitting(spec, vm->free());
        if (n > 0 && accepts_start(*vm, work, tasks.front(), on_probation, now)) {
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
        const bool avoid_a = now.steady < a.vm->for_probations_until;
        const bool avoid_b = now.steady < b.vm->for_probations_until;
        if (avoid_a != avoid_b && !on_probation) {
            return avoid_b;
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
    // Suspected members come first, each on a VM of its own as far as possible.
    std::vector<std::size_t> order(tasks.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto first_trusted = std::stable_partition(
        order.begin(), order.end(),
        [&](std::size_t member) { return tasks[member].crashes.suspected(); });
    const auto suspected = static_cast<std::size_t>(first_trusted - order.begin());
    const auto start_on = [&](std::size_t position, share& target) {
        const auto member = static_cast<int>(order[position]);
        --target.tasks;
        tasks[order[position]].saved = saved;
        start(work, member, *target.vm, last.next(), now, out);
        if (on_probation && (suspected == 0 || position < suspected)) {
            begin_probation(*target.vm,
                            {work.ref->job, work.ref->occurrence, work.ref->step, member},
                            last.next(), now);
        }
    };
    std::size_t position = 0;
    for (; position < std::min(suspected, shares.size()); ++position) {
        start_on(position, shares[position]);
    }
    std::rotate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(position),
                shares.end());
    for (auto& it : shares) {
        while (it.tasks > 0 && position < order.size()) {
            start_on(position++, it);
        }
    }
    forming_gangs.insert(*work.ref);
    return true;
}

// Reserves the VMs on which the waiting gang may start. Returns false, and reserves none, if they
// could not hold the gang even without other work.
bool scheduler::state::reserve_for_gang(const open_step& work, placement_round& round,
                                        const clock_reading& now) const {
    const step_spec& spec = *work.step->spec;
    const auto allowed = allowed_vms(work, round, now);
    std::int64_t members = 0;
    for (const vm_record* const vm : allowed) {
        members += members_fitting(spec, vm->facts.capacity);
    }
    if (members < spec.task_count) {
        return false;
    }
    round.reserved.resize(vms_by_number.size(), false);
    for (const vm_record* const vm : allowed) {
        round.reserved[vm->number] = true;
    }
    return true;
}

// Whether the step has a valid ticket for some VM, or needs none.
bool scheduler::state::has_valid_ticket(const open_step& work, const clock_reading& now) const {
    const auto& grants = work.step->grants;
    return work.advice == nullptr || std::any_of(grants.begin(), grants.end(), [&](const auto& it) {
               return now.steady < it.second.until;
           });
}

// What the customer may still start, now and while queries are being answered.
query_lookahead& scheduler::state::customer_lookahead(const customer_name& customer,
                                                      placement_round& round) const {
    const auto found = round.customer_lookahead.find(customer);
    if (found != round.customer_lookahead.end()) {
        return found->second;
    }
    query_lookahead out;
    out.free_now = customer_headroom(customer);
    const auto limits = configuration->customers.find(customer);
    const bool limited = limits != configuration->customers.end();
    const resources limit = limited ? limits->second.upper_limit : resources{};
    out.free_soon = share_of(limit, lookahead_fraction);
    out.free_soon.cores = limit.cores.value() > 0 ? out.free_soon.cores : out.free_now.cores;
    out.free_soon.memory = limit.memory.value() > 0 ? out.free_soon.memory : out.free_now.memory;
    return round.customer_lookahead.emplace(customer, out).first->second;
}

wait_reason scheduler::state::query_advisor(open_step& work, placement_round& round,
                                            const clock_reading& now, decisions& out) {
    const bool is_long = is_long_query(*work.advice);
    int& queries_left = is_long ? round.budget.long_queries : round.budget.queries;
    if (work.step->query_open) {
        return wait_reason::query_open;
    }
    if (queries_left <= 0) {
        return wait_reason::no_free_advisor;
    }
    if (auto query = make_query(work, round, now)) {
        query->is_long = is_long;
        query->service_time = detail::cost_of(*work.advice, query->vms.size());
        work.step->query_open = true;
        work.step->last_query_at = now.steady;
        out.queries.push_back(std::move(*query));
        --round.budget.queries;
        round.budget.long_queries -= is_long ? 1 : 0;
        return wait_reason::query_sent;
    }
    return wait_reason::no_room;
}

// Places the step's tasks or, if some have to wait, queries the advisor on their behalf. Returns
// whether the step waits for capacity of the VMs, and not for its customer's limit.
bool scheduler::state::consider(open_step& work, placement_round& round, const clock_reading& now,
                                decisions& out) {
    work.step->considered_at = now.steady;
    if (work.job->progress_rejected) {
        work.step->waits_for = wait_reason::progress_rejected;
        return false;
    }
    if (pending_starts >= max_pending_commands()) {
        work.step->waits_for = wait_reason::pending_starts;
        return false;
    }
    if (waits_for_probation(work, round, now)) {
        work.step->waits_for = wait_reason::probation;
        return false;
    }
    const bool has_ticket = has_valid_ticket(work, now);
    if (has_ticket) {
        const bool placed = work.step->spec->gang ? place_gang(work, round, now, out)
                                                  : place_tasks(work, round, now, out);
        if (placed) {
            // A gang also counts as placed while it has to wait for anything but room.
            const auto& tasks = work.step->tasks;
            work.step->waits_for = std::any_of(tasks.begin(), tasks.end(),
                                               [](const auto& it) { return it.vm != nullptr; })
                                       ? wait_reason::gang_ending
                                       : wait_reason::customer_limit;
            return false;
        }
    }
    // A step that found no room on the VMs granted to it leaves the capacity that is free now to
    // less urgent steps for a while. Otherwise, wide steps that can't be placed would keep it idle.
    // A gang that is in time claims it for some more answers, since small tasks would take it bit
    // by bit.
    constexpr int max_answers_of_claiming_gang = 2;
    const bool is_claiming_gang = work.step->spec->gang && work.tier == 0 &&
                                  work.step->answers_without_start <= max_answers_of_claiming_gang;
    const bool claims_free_now = is_claiming_gang || !found_no_room_lately(work, now);
    const resources need = waiting_need(work);
    query_lookahead& customer = customer_lookahead(work.job->spec.customer, round);
    if (is_used_up(customer, claims_free_now)) {
        work.step->waits_for = wait_reason::customer_limit;
        return false;
    }
    wait_reason& reason = work.step->waits_for;
    if (work.advice == nullptr) {
        reason = wait_reason::no_room;
    } else if (!work.step->query_open && is_used_up(round.lookahead, claims_free_now)) {
        reason = wait_reason::lookahead;
    } else {
        reason = query_advisor(work, round, now, out);
    }
    // A step that has no ticket and can't get one now leaves the capacity to others.
    if (has_ticket || reason == wait_reason::query_open || reason == wait_reason::query_sent) {
        take(customer, need, claims_free_now);
        take(round.lookahead, need, claims_free_now);
    }
    return true;
}

void scheduler::state::place_open_steps(const clock_reading& now, const query_budget& budget,
                                        decisions& out) {
    placement_round round;
    round.budget = budget;
    resources total;
    std::size_t vm_count = 0;
    unreported_use = inherited_known ? resources{} : unlisted_use;
    for (vm_record* const vm : vms_by_number) {
        if (vm != nullptr && !inherited_known && !vm->reported && !vm->ended) {
            unreported_use += vm->largest_capacity;
        }
        if (vm != nullptr && usable(*vm, now)) {
            round.usable.push_back(vm);
            round.lookahead.free_now += max_of(resources{}, vm->free());
            total += vm->facts.capacity;
        }
        vm_count += vm != nullptr && vm->reported && !vm->facts.leaving ? 1 : 0;
    }
    constexpr std::size_t min_probations = 2;
    // The emptier the fleet, the less work a crash takes with it.
    constexpr double room_for_other_work = 1.5;
    const double used_share =
        total.cores.value() <= 0 ? 1
                                 : 1 - static_cast<double>(round.lookahead.free_now.cores.value()) /
                                           static_cast<double>(total.cores.value());
    const double share = std::max(settings.crashes.min_share, 1 - used_share * room_for_other_work);
    round.max_probations =
        std::max(min_probations, static_cast<std::size_t>(static_cast<double>(vm_count) * share));
    max_probations = round.max_probations;
    round.lookahead.free_soon = share_of(total, lookahead_fraction);
    int reserving_gangs = 0;
    for (detail::open_step_entry* const entry : next_open_steps(now)) {
        open_step work = make_open_step(*entry);
        const bool waits_for_capacity = consider(work, round, now, out);
        if (!has_waiting_tasks(*entry)) {
            open.close(*entry->step);
        } else if (waits_for_capacity && work.step->spec->gang && work.tier == 0 &&
                   reserving_gangs < settings.max_reserving_gangs) {
            reserving_gangs += reserve_for_gang(work, round, now) ? 1 : 0;
        }
    }
    move_tasks_off_leaving_vms(round, now, out);
}

// Stops long-running tasks on leaving VMs once there is room for them elsewhere. Otherwise the VM
// would end them, and they would restart only after the scheduler has learned of that.
void scheduler::state::move_tasks_off_leaving_vms(placement_round& round, const clock_reading& now,
                                                  decisions& out) {
    std::set<step_ref> steps_to_move;
    for (const vm_record* const vm : vms_by_number) {
        if (vm == nullptr || !vm->facts.leaving || !vm->reachable) {
            continue;
        }
        for (const auto& it : vm->runs) {
            job_record* job = nullptr;
            const step_state* const step = find_step(it.first, &job);
            if (step != nullptr && step->spec->long_running && !is_final(job->state) &&
                it.second.phase != run_phase::stopping) {
                steps_to_move.insert({it.first.job, it.first.occurrence, it.first.step});
            }
        }
    }
    for (const auto& it : steps_to_move) {
        job_record* job = nullptr;
        step_state* const step = find_step({it.job, it.occurrence, it.step, 0}, &job);
        detail::open_step_entry entry;
        entry.ref = it;
        entry.job = job;
        entry.step = step;
        open_step work = make_open_step(entry);
        move_tasks(work, round, now, out);
    }
}

void scheduler::state::move_tasks(open_step& work, placement_round& round, const clock_reading& now,
                                  decisions& out) {
    std::int64_t free_places = 0;
    for (const vm_record* const vm : allowed_vms(work, round, now)) {
        free_places += fits(work.step->spec->need, vm->free()) ? 1 : 0;
    }
    for (std::size_t i = 0; i < work.step->tasks.size(); ++i) {
        vm_record* const vm = work.step->tasks[i].vm;
        if (vm == nullptr || !vm->facts.leaving) {
            continue;
        }
        if (free_places <= 0) {
            if (work.advice != nullptr) {
                query_advisor(work, round, now, out);
            }
            return;
        }
        const auto run = vm->runs.find(
            {work.ref->job, work.ref->occurrence, work.ref->step, static_cast<int>(i)});
        if (run != vm->runs.end() && run->second.phase != run_phase::stopping) {
            request_stop(*vm, run->second, "vm_leaving");
            --free_places;
        }
    }
}

}  // namespace cranberrydock::fleet
