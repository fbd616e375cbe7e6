// A request that was refused by a full queue is sent again with the same key when there is room. It
// must be accepted, and must not get the old refusal for as long as outcomes are kept.
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace cranberrydock;

const base::team_id team("survey");
const base::queue_name queue("previews");

base::work work_named(const std::string& name) {
    base::work out;
    out.job = base::job_id(name);
    out.team = team;
    out.queue = queue;
    out.digest = "digest of " + name;
    out.need.slots = base::slot_count(1);
    return out;
}

// Returns the reason of the refusal among the effects, or nothing if there is none.
std::optional<base::refusal_reason> refusal_in(const std::vector<cell::cell_effect>& effects) {
    for (const auto& it : effects) {
        const auto* const reply = std::get_if<cell::reply>(&it);
        const auto* const refused =
            reply == nullptr ? nullptr : std::get_if<base::refusal>(&reply->outcome);
        if (refused != nullptr) {
            return refused->reason;
        }
    }
    return std::nullopt;
}

TEST(refused_request, can_be_resubmitted) {
    const auto scheduler = policy::make_scheduler();
    base::metrics metrics;
    cell::cell_settings settings;
    settings.cell = base::cell_id("cell");
    settings.epoch = base::epoch(1);
    cell::cell_machine machine(settings, *scheduler, metrics);
    base::manual_clock clock;
    clock.advance(base::seconds(1));
    const auto handle_event = [&](const cell::cell_event& event) {
        clock.advance(base::milliseconds(1));
        return machine.handle(event, clock.now());
    };
    cell::rules_changed rules;
    rules.queues = {{queue, policy::queue_kind::must_finish, 1}};
    policy::team_settings of_team;
    of_team.team = team;
    of_team.allowance = base::slot_count(4);
    rules.teams = {of_team};
    handle_event(rules);
    handle_event(cell::journal_recovered{});

    EXPECT_FALSE(refusal_in(handle_event(cell::submit{work_named("first"), cell::reply_id(1)})));
    EXPECT_EQ(refusal_in(handle_event(cell::submit{work_named("second"), cell::reply_id(2)})),
              base::refusal_reason::queue_full);
    EXPECT_EQ(refusal_in(handle_event(cell::submit{work_named("second"), cell::reply_id(3)})),
              base::refusal_reason::queue_full);
    EXPECT_EQ(refusal_in(handle_event(cell::cancel_job{team, base::job_id("first")})),
              base::refusal_reason::cancelled);
    EXPECT_FALSE(refusal_in(handle_event(cell::submit{work_named("second"), cell::reply_id(4)})));
    ASSERT_TRUE(machine.view(team, base::job_id("second")).has_value());
    EXPECT_EQ(machine.view(team, base::job_id("second"))->state, base::job_state::queued);
    // A job that its team cancelled stays cancelled.
    EXPECT_EQ(refusal_in(handle_event(cell::submit{work_named("first"), cell::reply_id(5)})),
              base::refusal_reason::cancelled);
}

}  // namespace
