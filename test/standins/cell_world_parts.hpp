// What the files of cell_world share: its times and names, an owner and a caller.
#pragma once

#include <cranberrydock/cell/record_codec.hpp>

#include "cell_world.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {
namespace detail {

using base::milliseconds;

inline constexpr milliseconds tick_period{50};
inline constexpr milliseconds message_delay{20};  // the longest, when all is well
inline constexpr milliseconds very_late{9'000};   // of a delayed command
inline constexpr milliseconds evidence_length{2'500};
inline constexpr milliseconds takeover_delay{1'000};  // the longest, after the evidence has ended
inline constexpr milliseconds link_silence{2'000};    // after which a caller's entry sends again
inline constexpr milliseconds resend_delay{100};
inline constexpr milliseconds cancel_delay{30};
// Until a lowered limit binds: the owner hears of it, and starts that are on their way arrive or
// are too late for their leases.
inline constexpr milliseconds limit_delay{4'500};
inline constexpr std::int64_t slots_per_vm = 4;
inline constexpr std::int64_t first_limit = 10;
inline constexpr std::int64_t limit_divisor = 4;
inline constexpr std::size_t tasks_of_job = 2;
inline constexpr int lossy_permille = 150;
inline constexpr int late_permille = 30;
inline constexpr int store_loss_permille = 300;

inline const base::cell_id cell_name("cell");
inline const base::team_id team_name("team");
inline const base::queue_name queue_name("queue");
inline const platform::row_key guard_key("cell/cell");

inline base::vm_id name_vm(std::size_t i) {
    return base::vm_id("vm-" + std::to_string(i));
}

inline std::string answer_for(std::size_t caller) {
    return "answer-" + std::to_string(caller);
}

inline base::work work_for(std::size_t index, const caller_plan& plan) {
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
                  answer_for(index) + "\"}";
    return out;
}

}  // namespace detail

struct cell_world::owner {
    explicit owner(base::epoch which, platform::row_condition guard_condition,
                   base::metrics& metrics)
        : epoch(which),
          guard(std::move(guard_condition)),
          scheduler(policy::make_scheduler()),
          machine(settings_for(which), *scheduler, metrics),
          writer({detail::cell_name, which, guard}) {}

    static cell::cell_settings settings_for(base::epoch which) {
        cell::cell_settings out;
        out.cell = detail::cell_name;
        out.epoch = which;
        out.owner = base::daemon_id("owner-" + std::to_string(which.value()));
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
    bool live = false;  // has read the journal
    bool rightful = true;
    bool draining = false;
    std::optional<base::time_point> frozen_until;
    base::time_point evidence_until{};
    std::vector<action> asleep;  // what came in while it was frozen
};

struct cell_world::caller {
    std::size_t index = 0;
    caller_plan plan;
    base::work what;
    bool maybe_run = false;
    bool accepted = false;
    std::optional<base::work_outcome> outcome;
    std::uint64_t sending = 0;  // counts sendings, so that an old one's timeout is known
};

}  // namespace cranberrydock::standins
