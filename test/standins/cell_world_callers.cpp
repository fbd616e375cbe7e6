// The callers of a simulated cell, which send their work again when its owner goes.
#include "cell_world_parts.hpp"

#include <utility>
#include <variant>

namespace cranberrydock::standins {

using namespace detail;

void cell_world::send(caller& one) {
    if (one.outcome) {
        return;
    }
    owner& to = *owners_.back();
    const std::uint64_t sending = ++one.sending;
    if (!to.alive || !to.live) {
        after(resend_delay, [this, &one] { send(one); });
        return;
    }
    after(draw(message_delay), [this, &one, &to] {
        deliver(to, cell::submit{one.what, cell::reply_id(static_cast<std::int64_t>(one.index))});
    });
    // Its entry notices a dead or silent owner, and sends again to whoever owns the cell then.
    const auto watch = std::make_shared<action>();
    *watch = [this, &one, &to, sending, watch] {
        if (one.outcome || one.sending != sending) {
            return;
        }
        const bool gone = !to.alive || to.frozen_until || !to.rightful;
        if (gone) {
            one.maybe_run = true;
            send(one);
            return;
        }
        after(link_silence, *watch);
    };
    after(link_silence, *watch);
}

void cell_world::take_outcome(caller& one, const base::work_outcome& outcome) {
    if (std::holds_alternative<base::work_accepted>(outcome)) {
        one.accepted = true;
        // Asks again until it is done.
        after(link_silence, [this, &one, sending = one.sending] {
            if (one.sending == sending) {
                send(one);
            }
        });
        return;
    }
    const auto* const refused = std::get_if<base::refusal>(&outcome);
    if (refused != nullptr && refused->reason == base::refusal_reason::shutting_down) {
        one.maybe_run = one.maybe_run || !refused->not_run;
        after(resend_delay, [this, &one, sending = one.sending] {
            if (one.sending == sending) {
                send(one);
            }
        });
        return;
    }
    const bool nothing_taken =
        refused != nullptr && refused->reason == base::refusal_reason::store_unavailable;
    if (one.outcome || nothing_taken) {
        // Truthfully refused: the caller tries again with the same key.
        if (!one.outcome) {
            after(link_silence, [this, &one, sending = one.sending] {
                if (one.sending == sending) {
                    send(one);
                }
            });
        }
        return;
    }
    one.outcome = outcome;
    ++answered_;
    if (const auto* const answered = std::get_if<base::work_answered>(&outcome)) {
        check_answers(one, *answered);
        return;
    }
    unknown_ += refused->reason == base::refusal_reason::outcome_unknown ? 1 : 0;
    const bool expected = refused->reason == base::refusal_reason::outcome_unknown ||
                          refused->reason == base::refusal_reason::attempts_exhausted ||
                          refused->reason == base::refusal_reason::retry_budget_spent ||
                          refused->reason == base::refusal_reason::cancelled;
    if (!expected) {
        breach("caller " + std::to_string(one.index) +
               " was refused: " + std::string(to_string(refused->reason)) + ": " + refused->detail);
    }
    if (refused->not_run && !one.maybe_run) {
        // Looked at once more when a start that was under way would have come.
        after(very_late, [this, &one] {
            if (started_jobs_.count(one.what.job) > 0) {
                breach("caller " + std::to_string(one.index) +
                       " was told \"not run\", and its work ran");
            }
        });
    }
}

void cell_world::check_answers(const caller& one, const base::work_answered& outcome) {
    if (outcome.answers.size() != one.what.task_count) {
        breach("caller " + std::to_string(one.index) + " got " +
               std::to_string(outcome.answers.size()) + " answers");
    }
    for (const auto& it : outcome.answers) {
        if (it.content != answer_for(one.index)) {
            breach("caller " + std::to_string(one.index) + " got \"" + it.content + "\"");
        }
    }
}

}  // namespace cranberrydock::standins
