// Shared by the files of cell_simulation: durations, names, and the state of an owner and of a
// caller.
#pragma once

#include <cranberrydock/cell/record_codec.hpp>

#include "cell_simulation.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {
namespace detail {

using base::milliseconds;

inline constexpr milliseconds tick_period{50};
inline constexpr milliseconds max_message_delay{20};  // without faults
inline constexpr milliseconds max_late_delay{9'000};  // of a command that is delayed
inline constexpr milliseconds evidence_length{2'500};
inline constexpr milliseconds max_takeover_delay{1'000};  // after the end of the evidence
inline constexpr milliseconds owner_check_period{2'000};  // between a caller's checks of its owner
inline constexpr milliseconds resend_delay{100};
inline constexpr milliseconds cancel_delay{30};
// Time until a lowered limit must hold: the owner learns of it, and starts in transit arrive or are
// too late for their leases.
inline constexpr milliseconds limit_delay{4'500};
inline constexpr std::int64_t slots_per_vm = 4;
inline constexpr std::int64_t first_limit = 10;  // slots
inline constexpr std::int64_t limit_divisor = 4;
inline constexpr std::size_t tasks_of_job = 2;
inline constexpr int lost_command_permille = 150;
inline constexpr int late_command_permille = 30;
inline constexpr int lost_answer_permille = 300;

inline const base::cell_id cell_name("cell");
inline const base::team_id team_name("team");
inline const base::queue_name queue_name("queue");
inline const platform::row_key guard_key("cell/cell");

inline base::vm_id vm_name(std::size_t i) {
    return base::vm_id("vm-" + std::to_string(i));
}

inline std::string expected_answer(std::size_t caller_number) {
    return "answer-" + std::to_string(caller_number);
}

inline base::work make_work(std::size_t index, const caller_plan& plan) {
    base::work out;
    const std::string name = std::to_string(index);
    out.id = base::request_id("r-" + name);
    out.job = base::job_id("j-" + name);
    out.team = team_name;
    out.key = base::idempotency_key(name);
    out.digest = "digest-" + name;
    out.queue = queue_name;
    out.kind = base::kind_name("kind");
    out.need.slots = base::slot_count(1);
    out.need.cores = base::millicores(1'000);
    out.repeatable = plan.repeatable;
    out.durable = plan.job;
    out.gang = plan.job && plan.gang;
    out.task_count = plan.job ? tasks_of_job : 1;
    out.payload = "{\"for_ms\":" + std::to_string(plan.task_time.count()) + ",\"answer\":\"" +
                  expected_answer(index) + "\"}";
    return out;
}

}  // namespace detail

struct cell_simulation::owner_state {
    explicit owner_state(base::epoch owner_epoch, platform::row_condition guard_condition,
                         base::metrics& metrics)
        : epoch(owner_epoch),
          guard(std::move(guard_condition)),
          scheduler(policy::make_scheduler()),
          machine(make_settings(owner_epoch), *scheduler, metrics),
          writer({detail::cell_name, owner_epoch, guard}) {}

    static cell::cell_settings make_settings(base::epoch owner_epoch) {
        cell::cell_settings out;
        out.cell = detail::cell_name;
        out.epoch = owner_epoch;
        out.owner = base::daemon_id("owner-" + std::to_string(owner_epoch.value()));
        out.vm_lease = base::milliseconds{4'000};
        out.unproven_renewal = base::milliseconds{10'000};
        out.unknown_wait = base::milliseconds{5'000};
        return out;
    }

    base::epoch epoch;
    platform::row_condition guard;
    std::unique_ptr<policy::scheduler> scheduler;
    cell::cell_machine machine;
    cell::journal_writer writer;
    bool alive = true;
    bool live = false;     // once it has read the journal
    bool rightful = true;  // until a fault takes the cell from it
    bool draining = false;
    std::optional<base::time_point> suspended_until;
    base::time_point evidence_until{};
    std::vector<action> deferred;  // received while suspended, to run when resumed
};

struct cell_simulation::caller_state {
    std::size_t index = 0;
    caller_plan plan;
    base::work submission;
    bool may_have_run = false;
    bool accepted = false;
    std::optional<base::work_outcome> outcome;
    std::uint64_t send_count =
        0;  // counts sends, so that the timeout of an earlier send is ignored
};

}  // namespace cranberrydock::standins
