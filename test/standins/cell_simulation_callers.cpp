// The callers of a simulated cell, which send their work again when its owner is lost.
#include "cell_simulation_detail.hpp"

#include <utility>
#include <variant>

namespace cranberrydock::standins {

using namespace detail;

void cell_simulation::send(caller_state& caller) {
    if (caller.outcome) {
        return;
    }
    owner_state& target = *owners_.back();
    const std::uint64_t send_count = ++caller.send_count;
    if (!target.alive || !target.live) {
        after(resend_delay, [this, &caller] { send(caller); });
        return;
    }
    after(random_delay(max_message_delay), [this, &caller, &target] {
        deliver(target, cell::submit{caller.submission,
                                     cell::reply_id(static_cast<std::int64_t>(caller.index))});
    });
    // The caller's entry notices a dead or unresponsive owner, and sends the work again to the
    // owner of that time.
    const auto watch = std::make_shared<action>();
    *watch = [this, &caller, &target, send_count, watch] {
        if (caller.outcome || caller.send_count != send_count) {
            return;
        }
        const bool owner_lost = !target.alive || target.suspended_until || !target.rightful;
        if (owner_lost) {
            caller.may_have_run = true;
            send(caller);
            return;
        }
        after(owner_check_period, *watch);
    };
    after(owner_check_period, *watch);
}

void cell_simulation::take_outcome(caller_state& caller, const base::work_outcome& outcome) {
    if (std::holds_alternative<base::work_accepted>(outcome)) {
        caller.accepted = true;
        // Sends again until the job is done.
        after(owner_check_period, [this, &caller, send_count = caller.send_count] {
            if (caller.send_count == send_count) {
                send(caller);
            }
        });
        return;
    }
    const auto* const refused = std::get_if<base::refusal>(&outcome);
    if (refused != nullptr && refused->reason == base::refusal_reason::shutting_down) {
        caller.may_have_run = caller.may_have_run || !refused->not_run;
        after(resend_delay, [this, &caller, send_count = caller.send_count] {
            if (caller.send_count == send_count) {
                send(caller);
            }
        });
        return;
    }
    const bool not_accepted =
        refused != nullptr && refused->reason == base::refusal_reason::store_unavailable;
    if (caller.outcome || not_accepted) {
        // The work was not accepted and does not run: the caller tries again with the same key.
        if (!caller.outcome) {
            after(owner_check_period, [this, &caller, send_count = caller.send_count] {
                if (caller.send_count == send_count) {
                    send(caller);
                }
            });
        }
        return;
    }
    caller.outcome = outcome;
    ++answered_;
    if (const auto* const answered = std::get_if<base::work_answered>(&outcome)) {
        check_answers(caller, *answered);
        return;
    }
    unknown_ += refused->reason == base::refusal_reason::outcome_unknown ? 1 : 0;
    const bool expected = refused->reason == base::refusal_reason::outcome_unknown ||
                          refused->reason == base::refusal_reason::attempts_exhausted ||
                          refused->reason == base::refusal_reason::retry_budget_spent ||
                          refused->reason == base::refusal_reason::cancelled;
    if (!expected) {
        add_violation("caller " + std::to_string(caller.index) + " was refused: " +
                      std::string(to_string(refused->reason)) + ": " + refused->detail);
    }
    if (refused->not_run && !caller.may_have_run) {
        // Checked again once any start command that was in transit has arrived.
        after(max_late_delay, [this, &caller] {
            if (started_jobs_.count(caller.submission.job) > 0) {
                add_violation("caller " + std::to_string(caller.index) +
                              " received \"not run\", but its work ran");
            }
        });
    }
}

void cell_simulation::check_answers(const caller_state& caller,
                                    const base::work_answered& outcome) {
    if (outcome.answers.size() != caller.submission.task_count) {
        add_violation("caller " + std::to_string(caller.index) + " got " +
                      std::to_string(outcome.answers.size()) + " answers");
    }
    for (const auto& it : outcome.answers) {
        if (it.content != expected_answer(caller.index)) {
            add_violation("caller " + std::to_string(caller.index) + " got \"" + it.content + "\"");
        }
    }
}

}  // namespace cranberrydock::standins
