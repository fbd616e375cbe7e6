// Brings work to the owner of its home cell.
#include "work_forwarder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds resend_delay{100};
constexpr base::milliseconds retry_soon{1'000};
// How long work without an owner is kept trying: several takeovers' time.
constexpr base::milliseconds patience{30'000};
// Questions outlast a takeover, too.
constexpr base::milliseconds question_patience{10'000};
constexpr base::milliseconds question_period{500};

base::refusal no_home(const base::team_id& team) {
    return {base::refusal_reason::cell_without_owner, true, retry_soon,
            "the home region of team " + team.str() + " has no cell"};
}

// Whether the owner's refusal is about the owner and not about the work.
bool goes_elsewhere(const base::work_outcome& outcome) {
    const auto* const refused = std::get_if<base::refusal>(&outcome);
    return refused != nullptr && (refused->reason == base::refusal_reason::shutting_down ||
                                  refused->reason == base::refusal_reason::cell_without_owner);
}

bool says_not_run(const base::work_outcome& outcome) {
    const auto* const refused = std::get_if<base::refusal>(&outcome);
    return refused != nullptr && refused->not_run;
}

// An owner knows only what it did itself with the work.
base::work_outcome outcome_of_all(base::work_outcome outcome, bool maybe_run) {
    if (auto* const refused = std::get_if<base::refusal>(&outcome); refused != nullptr) {
        refused->not_run = refused->not_run && !maybe_run;
    }
    return outcome;
}

}  // namespace

work_forwarder::work_forwarder(const entry::configuration_source& configuration,
                               const routing_table& routes, cell_host& host, peer_sender& peers,
                               base::metrics& metrics, const base::clock& clock)
    : configuration_(configuration),
      routes_(routes),
      host_(host),
      peers_(peers),
      metrics_(metrics),
      clock_(clock) {}

void work_forwarder::submit(const base::work& what, entry::outcome_callback done) {
    const auto current = configuration_.current();
    const auto home = home_cell(*current, what.team, what.job);
    if (!home) {
        done({no_home(what.team), {}});
        return;
    }
    const std::int64_t id = next_id_++;
    pending_work& work = pending_[id];
    work.what = what;
    work.home = *home;
    work.done = std::move(done);
    work.accepted = clock_.now();
    work.give_up_at = work.accepted + patience;
    try_send(id, work);
}

void work_forwarder::try_send(std::int64_t id, pending_work& work) {
    const auto owner = routes_.owner(work.home);
    if (!owner) {
        retry_later(work);
        return;
    }
    const bool here = *owner == routes_.self();
    const bool sent =
        here ? host_.submit(work.home, work.what, cell::reply_id(id))
             : linked_.count(*owner) > 0 &&
                   peers_.send(*owner, mesh::submit_work{mesh::call_id(id), work.home, work.what});
    if (!sent) {
        metrics_.count("cranberrydock_retries_total", "reason=\"owner_unreachable\"");
        retry_later(work);
        return;
    }
    work.sent_to = *owner;
    work.sent = clock_.now();
    if (!here) {
        mesh::link_use use;
        use.peer = *owner;
        work.links.push_back(std::move(use));
    }
    work.trace.push_back({"route", owner->str(), work.sent - work.accepted, base::microseconds{0},
                          "home cell " + work.home.str()});
}

void work_forwarder::retry_later(pending_work& work) {
    work.sent_to.reset();
    work.next_try = clock_.now() + resend_delay;
}

void work_forwarder::on_reply(cell::reply_id to, const base::work_outcome& outcome,
                              const std::vector<base::trace_step>& trace) {
    const auto foreign = foreign_.find(to.value());
    if (foreign == foreign_.end()) {
        on_outcome(to.value(), outcome, trace);
        return;
    }
    peers_.send(foreign->second.from, mesh::work_result{foreign->second.call, outcome, trace});
    foreign_.erase(foreign);
}

void work_forwarder::on_result(const mesh::work_result& what) {
    on_outcome(what.call.value(), what.outcome, what.trace);
}

void work_forwarder::on_outcome(std::int64_t id, const base::work_outcome& outcome,
                                const std::vector<base::trace_step>& trace) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
        return;  // given up, or answered by an earlier owner
    }
    pending_work& work = it->second;
    work.trace.insert(work.trace.end(), trace.begin(), trace.end());
    if (goes_elsewhere(outcome)) {
        metrics_.count("cranberrydock_retries_total", "reason=\"owner_changed\"");
        work.maybe_run = work.maybe_run || !says_not_run(outcome);
        retry_later(work);
        return;
    }
    finish(id, {outcome_of_all(outcome, work.maybe_run), work.trace});
}

void work_forwarder::finish(std::int64_t id, entry::routed_outcome outcome) {
    const auto it = pending_.find(id);
    pending_work work = std::move(it->second);
    pending_.erase(it);
    mesh::request_times times;
    times.total = clock_.now() - work.accepted;
    times.steps = work.trace;
    times.links = work.links;
    for (auto& link : times.links) {
        link.round_trips = peers_.round_trips(link.peer);
    }
    log_.add(work.what, std::move(times));
    work.done(std::move(outcome));
}

void work_forwarder::on_cell_lost(const base::cell_id& cell) {
    for (auto& it : pending_) {
        if (it.second.home == cell && it.second.sent_to == routes_.self()) {
            metrics_.count("cranberrydock_retries_total", "reason=\"owner_changed\"");
            it.second.maybe_run = true;
            retry_later(it.second);
        }
    }
    const base::refusal gone{base::refusal_reason::cell_without_owner, false, resend_delay,
                             routes_.self().str() + " owns cell " + cell.str() + " no more"};
    for (auto it = foreign_.begin(); it != foreign_.end();) {
        if (it->second.cell != cell) {
            ++it;
            continue;
        }
        peers_.send(it->second.from, mesh::work_result{it->second.call, gone, {}});
        it = foreign_.erase(it);
    }
}

void work_forwarder::on_peer_linked(const base::daemon_id& peer) {
    linked_.insert(peer);
}

void work_forwarder::on_peer_lost(const base::daemon_id& peer) {
    linked_.erase(peer);
    for (auto& it : pending_) {
        if (it.second.sent_to == peer) {
            metrics_.count("cranberrydock_retries_total", "reason=\"link_lost\"");
            it.second.trace.push_back({"route", peer.str(), clock_.now() - it.second.accepted,
                                       clock_.now() - it.second.sent,
                                       "link lost; sent again to whoever owns the cell"});
            it.second.maybe_run = true;
            it.second.links.back().went_down = true;
            retry_later(it.second);
        }
    }
}

void work_forwarder::tick() {
    const base::time_point now = clock_.now();
    std::vector<std::int64_t> due;
    std::vector<std::int64_t> late;
    for (auto& it : pending_) {
        if (it.second.sent_to) {
            continue;
        }
        (now >= it.second.give_up_at ? late : due).push_back(it.first);
    }
    for (const std::int64_t id : late) {
        give_up(id);
    }
    for (const std::int64_t id : due) {
        const auto it = pending_.find(id);
        if (it != pending_.end() && now >= it->second.next_try) {
            try_send(id, it->second);
        }
    }
    tick_questions(now);
}

void work_forwarder::tick_questions(base::time_point now) {
    std::vector<std::int64_t> late;
    for (auto& it : questions_) {
        if (now >= it.second.give_up_at) {
            late.push_back(it.first);
        } else if (now >= it.second.next_try) {
            try_ask(it.first, it.second);
        }
    }
    for (const std::int64_t id : late) {
        const entry::job_callback done = std::move(questions_.at(id).done);
        questions_.erase(id);
        done(
            tl::unexpected(base::refusal{base::refusal_reason::owner_unreachable, false, retry_soon,
                                         "the owner of the job's home cell did not answer"}));
    }
}

void work_forwarder::give_up(std::int64_t id) {
    const pending_work& work = pending_.at(id);
    base::refusal why;
    why.retry_after = retry_soon;
    if (work.maybe_run) {
        why.reason = base::refusal_reason::outcome_unknown;
        why.detail = "the owner of cell " + work.home.str() +
                     " can't be reached; send the same request with the same Idempotency-Key again";
    } else {
        why.reason = base::refusal_reason::cell_without_owner;
        why.not_run = true;
        why.detail = "cell " + work.home.str() + " has had no owner that can be reached";
    }
    metrics_.count("cranberrydock_refusals_total",
                   "reason=\"" + std::string(to_string(why.reason)) + "\"");
    finish(id, {why, work.trace});
}

void work_forwarder::on_submit(const base::daemon_id& from, const mesh::submit_work& what) {
    const base::refusal not_here{base::refusal_reason::cell_without_owner, true, resend_delay,
                                 routes_.self().str() + " does not own cell " + what.cell.str()};
    if (!routes_.owned_here(what.cell)) {
        peers_.send(from, mesh::work_result{what.call, not_here, {}});
        return;
    }
    const std::int64_t id = next_id_++;
    foreign_[id] = {from, what.call, what.cell};
    if (!host_.submit(what.cell, what.work, cell::reply_id(id))) {
        foreign_.erase(id);
        const base::refusal full{base::refusal_reason::overloaded, true, retry_soon,
                                 "the owner's mailbox is full"};
        peers_.send(from, mesh::work_result{what.call, full, {}});
    }
}

void work_forwarder::ask(const entry::job_question& what, entry::job_callback done) {
    const auto current = configuration_.current();
    const auto home = home_cell(*current, what.team, what.job);
    if (!home) {
        done(tl::unexpected(no_home(what.team)));
        return;
    }
    const std::int64_t id = next_id_++;
    pending_question& question = questions_[id];
    question.what = what;
    question.home = *home;
    question.done = std::move(done);
    question.give_up_at = clock_.now() + question_patience;
    try_ask(id, question);
}

void work_forwarder::try_ask(std::int64_t id, pending_question& question) {
    question.next_try = clock_.now() + question_period;
    const auto owner = routes_.owner(question.home);
    if (!owner) {
        return;
    }
    const entry::job_question& what = question.what;
    if (*owner != routes_.self()) {
        peers_.send(*owner, mesh::job_query{mesh::call_id(id), question.home, what.team, what.job,
                                            what.cancel});
        return;
    }
    host_.ask(question.home, what.team, what.job, what.cancel,
              [this, id](const job_answer& answer) {
                  if (answer.owned) {
                      answer_question(id, answer.view);
                  }
              });
}

void work_forwarder::answer_question(std::int64_t id, const std::optional<base::job_view>& view) {
    const auto it = questions_.find(id);
    if (it == questions_.end()) {
        return;
    }
    const entry::job_callback done = std::move(it->second.done);
    questions_.erase(it);
    if (view) {
        done(*view);
        return;
    }
    done(tl::unexpected(base::refusal{base::refusal_reason::unknown_job, false,
                                      base::milliseconds{0},
                                      "this team has no such job, or it ended too long ago"}));
}

void work_forwarder::on_query(const base::daemon_id& from, const mesh::job_query& what) {
    host_.ask(what.cell, what.team, what.job, what.cancel,
              [this, from, call = what.call](const job_answer& answer) {
                  // Without the cell there is nothing to say; the asker tries the next owner.
                  if (answer.owned) {
                      peers_.send(from, mesh::job_reply{call, answer.view.has_value(),
                                                        answer.view.value_or(base::job_view{})});
                  }
              });
}

void work_forwarder::on_job_reply(const mesh::job_reply& what) {
    answer_question(what.call.value(),
                    what.found ? std::optional(what.view) : std::optional<base::job_view>());
}

std::optional<mesh::verdict> work_forwarder::explain(const base::job_id& job) const {
    return log_.explain(job);
}

void work_forwarder::list(const entry::job_page& page, entry::page_callback done) {
    host_.list(page.team, page.after, page.limit, std::move(done));
}

}  // namespace cranberrydock::daemon
