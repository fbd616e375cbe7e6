// Forwards work to the owner of its home cell.
#include "work_forwarder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds resend_delay{100};
constexpr base::milliseconds client_retry_delay{1'000};
// The time for which work without a reachable owner is retried: long enough for several takeovers.
constexpr base::milliseconds submit_timeout{30'000};
// Long enough for a takeover.
constexpr base::milliseconds query_timeout{10'000};
constexpr base::milliseconds query_retry_period{500};

base::refusal no_home(const base::team_id& team) {
    return {base::refusal_reason::cell_without_owner, true, client_retry_delay,
            "the home region of team " + team.str() + " has no cell"};
}

// Whether the refusal concerns the daemon and not the work, so that another owner may accept it.
bool is_daemon_refusal(const base::work_outcome& outcome) {
    const auto* const refused = std::get_if<base::refusal>(&outcome);
    return refused != nullptr && (refused->reason == base::refusal_reason::shutting_down ||
                                  refused->reason == base::refusal_reason::cell_without_owner);
}

bool reports_not_run(const base::work_outcome& outcome) {
    const auto* const refused = std::get_if<base::refusal>(&outcome);
    return refused != nullptr && refused->not_run;
}

// A refusal's not_run covers only the owner that sends it. With `maybe_run`, a previous owner may
// have run the work, and not_run is cleared.
base::work_outcome combined_outcome(base::work_outcome outcome, bool maybe_run) {
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

void work_forwarder::submit(const base::work& spec, entry::outcome_callback done) {
    const auto current = configuration_.current();
    const auto home = home_cell(*current, spec.team, spec.job);
    if (!home) {
        done({no_home(spec.team), {}});
        return;
    }
    const std::int64_t id = next_id_++;
    pending_work& work = pending_[id];
    work.spec = spec;
    work.home = *home;
    work.done = std::move(done);
    work.accepted = clock_.now();
    work.expires_at = work.accepted + submit_timeout;
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
        here ? host_.submit(work.home, work.spec, cell::reply_id(id))
             : linked_.count(*owner) > 0 &&
                   peers_.send(*owner, mesh::submit_work{mesh::call_id(id), work.home, work.spec});
    if (!sent) {
        metrics_.count("cranberrydock_retries_total", "reason=\"owner_unreachable\"");
        retry_later(work);
        return;
    }
    work.sent_to = *owner;
    work.sent = clock_.now();
    if (!here) {
        mesh::link_usage use;
        use.peer = *owner;
        work.links.push_back(std::move(use));
    }
    work.trace.push_back({"route", owner->str(), work.sent - work.accepted, base::microseconds{0},
                          "home cell " + work.home.str()});
}

void work_forwarder::retry_later(pending_work& work) {
    work.sent_to.reset();
    work.next_try_at = clock_.now() + resend_delay;
}

void work_forwarder::on_reply(cell::reply_id request_id, const base::work_outcome& outcome,
                              const std::vector<base::trace_step>& trace) {
    const auto foreign = foreign_.find(request_id.value());
    if (foreign == foreign_.end()) {
        on_outcome(request_id.value(), outcome, trace);
        return;
    }
    peers_.send(foreign->second.from, mesh::work_result{foreign->second.call, outcome, trace});
    foreign_.erase(foreign);
}

void work_forwarder::on_result(const mesh::work_result& result) {
    on_outcome(result.call.value(), result.outcome, result.trace);
}

void work_forwarder::on_outcome(std::int64_t id, const base::work_outcome& outcome,
                                const std::vector<base::trace_step>& trace) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
        return;  // timed out, or answered by a previous owner
    }
    pending_work& work = it->second;
    work.trace.insert(work.trace.end(), trace.begin(), trace.end());
    if (is_daemon_refusal(outcome)) {
        metrics_.count("cranberrydock_retries_total", "reason=\"owner_changed\"");
        work.maybe_run = work.maybe_run || !reports_not_run(outcome);
        retry_later(work);
        return;
    }
    finish(id, {combined_outcome(outcome, work.maybe_run), work.trace});
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
    history_.add(work.spec, std::move(times));
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
    const base::refusal cell_lost{
        base::refusal_reason::cell_without_owner, false, resend_delay,
        routes_.self().str() + " lost cell " + cell.str() + " before it replied"};
    for (auto it = foreign_.begin(); it != foreign_.end();) {
        if (it->second.cell != cell) {
            ++it;
            continue;
        }
        peers_.send(it->second.from, mesh::work_result{it->second.call, cell_lost, {}});
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
    std::vector<std::int64_t> unsent;
    std::vector<std::int64_t> expired;
    for (auto& it : pending_) {
        if (it.second.sent_to) {
            continue;
        }
        (now >= it.second.expires_at ? expired : unsent).push_back(it.first);
    }
    for (const std::int64_t id : expired) {
        expire(id);
    }
    for (const std::int64_t id : unsent) {
        const auto it = pending_.find(id);
        if (it != pending_.end() && now >= it->second.next_try_at) {
            try_send(id, it->second);
        }
    }
    tick_queries(now);
}

void work_forwarder::tick_queries(base::time_point now) {
    std::vector<std::int64_t> expired;
    for (auto& it : queries_) {
        if (now >= it.second.expires_at) {
            expired.push_back(it.first);
        } else if (now >= it.second.next_try_at) {
            try_query(it.first, it.second);
        }
    }
    for (const std::int64_t id : expired) {
        const entry::job_callback done = std::move(queries_.at(id).done);
        queries_.erase(id);
        done(tl::unexpected(base::refusal{base::refusal_reason::owner_unreachable, false,
                                          client_retry_delay,
                                          "the owner of the job's home cell did not answer"}));
    }
}

void work_forwarder::expire(std::int64_t id) {
    const pending_work& work = pending_.at(id);
    base::refusal timed_out;
    timed_out.retry_after = client_retry_delay;
    if (work.maybe_run) {
        timed_out.reason = base::refusal_reason::outcome_unknown;
        timed_out.detail =
            "the owner of cell " + work.home.str() +
            " can't be reached; send the same request with the same Idempotency-Key again";
    } else {
        timed_out.reason = base::refusal_reason::cell_without_owner;
        timed_out.not_run = true;
        timed_out.detail = "cell " + work.home.str() + " has had no owner that can be reached";
    }
    metrics_.count("cranberrydock_refusals_total",
                   "reason=\"" + std::string(to_string(timed_out.reason)) + "\"");
    finish(id, {timed_out, work.trace});
}

void work_forwarder::on_submit(const base::daemon_id& from, const mesh::submit_work& request) {
    const base::refusal not_owned{
        base::refusal_reason::cell_without_owner, true, resend_delay,
        routes_.self().str() + " does not own cell " + request.cell.str()};
    if (!routes_.owned_here(request.cell)) {
        peers_.send(from, mesh::work_result{request.call, not_owned, {}});
        return;
    }
    const std::int64_t id = next_id_++;
    foreign_[id] = {from, request.call, request.cell};
    if (!host_.submit(request.cell, request.work, cell::reply_id(id))) {
        foreign_.erase(id);
        const base::refusal mailbox_full{base::refusal_reason::overloaded, true, client_retry_delay,
                                         "the owner's mailbox is full"};
        peers_.send(from, mesh::work_result{request.call, mailbox_full, {}});
    }
}

void work_forwarder::query_job(const entry::job_lookup& query, entry::job_callback done) {
    const auto current = configuration_.current();
    const auto home = home_cell(*current, query.team, query.job);
    if (!home) {
        done(tl::unexpected(no_home(query.team)));
        return;
    }
    const std::int64_t id = next_id_++;
    pending_query& pending = queries_[id];
    pending.query = query;
    pending.home = *home;
    pending.done = std::move(done);
    pending.expires_at = clock_.now() + query_timeout;
    try_query(id, pending);
}

void work_forwarder::try_query(std::int64_t id, pending_query& pending) {
    pending.next_try_at = clock_.now() + query_retry_period;
    const auto owner = routes_.owner(pending.home);
    if (!owner) {
        return;
    }
    const entry::job_lookup& query = pending.query;
    if (*owner != routes_.self()) {
        peers_.send(*owner, mesh::job_query{mesh::call_id(id), pending.home, query.team, query.job,
                                            query.cancel});
        return;
    }
    host_.query_job(pending.home, query.team, query.job, query.cancel,
                    [this, id](const job_query_result& answer) {
                        if (answer.owned) {
                            answer_query(id, answer.view);
                        }
                    });
}

void work_forwarder::answer_query(std::int64_t id, const std::optional<base::job_view>& view) {
    const auto it = queries_.find(id);
    if (it == queries_.end()) {
        return;
    }
    const entry::job_callback done = std::move(it->second.done);
    queries_.erase(it);
    if (view) {
        done(*view);
        return;
    }
    done(tl::unexpected(base::refusal{base::refusal_reason::unknown_job, false,
                                      base::milliseconds{0},
                                      "this team has no such job, or it ended too long ago"}));
}

void work_forwarder::on_query(const base::daemon_id& from, const mesh::job_query& request) {
    host_.query_job(request.cell, request.team, request.job, request.cancel,
                    [this, from, call = request.call](const job_query_result& answer) {
                        // Sends no reply without the cell: the querying daemon retries with the
                        // next owner.
                        if (answer.owned) {
                            peers_.send(from,
                                        mesh::job_reply{call, answer.view.has_value(),
                                                        answer.view.value_or(base::job_view{})});
                        }
                    });
}

void work_forwarder::on_job_reply(const mesh::job_reply& reply) {
    answer_query(reply.call.value(),
                 reply.found ? std::optional(reply.view) : std::optional<base::job_view>());
}

std::optional<mesh::latency_verdict> work_forwarder::explain(const base::job_id& job) const {
    return history_.explain(job);
}

void work_forwarder::list(const entry::job_page& page, entry::page_callback done) {
    host_.list(page.team, page.after, page.limit, std::move(done));
}

}  // namespace cranberrydock::daemon
