// Brings work to the owner of its home cell, here or at another daemon, and sends it again when the
// owner changes or its link breaks: the owner knows work by team and idempotency key, so work that
// is sent twice is still taken once.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/entry/gateways.hpp>
#include <cranberrydock/mesh/mesh.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include "cell_host.hpp"
#include "request_log.hpp"
#include "routing_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace cranberrydock::daemon {

// How the forwarder reaches other daemons.
class peer_sender {
public:
    virtual ~peer_sender() = default;
    // As mesh::send.
    virtual bool send(const base::daemon_id& to, const mesh::message& what) = 0;
    virtual mesh::round_trip_summary round_trips(const base::daemon_id& peer) const = 0;
};

class work_forwarder final : public entry::work_router {
public:
    work_forwarder(const entry::configuration_source& configuration, const routing_table& routes,
                   cell_host& host, peer_sender& peers, base::metrics& metrics,
                   const base::clock& clock);

    void submit(const base::work& what, entry::outcome_callback done) override;
    void ask(const entry::job_question& what, entry::job_callback done) override;
    void list(const entry::job_page& page, entry::page_callback done) override;
    std::optional<mesh::verdict> explain(const base::job_id& job) const override;

    // An answer of this daemon's own cells.
    void on_reply(cell::reply_id to, const base::work_outcome& outcome,
                  const std::vector<base::trace_step>& trace);

    // What other daemons send.
    void on_submit(const base::daemon_id& from, const mesh::submit_work& what);
    void on_result(const mesh::work_result& what);
    void on_query(const base::daemon_id& from, const mesh::job_query& what);
    void on_job_reply(const mesh::job_reply& what);
    // This daemon's own cell is gone, and with it the answers that it had still to give.
    void on_cell_lost(const base::cell_id& cell);
    void on_peer_linked(const base::daemon_id& peer);
    void on_peer_lost(const base::daemon_id& peer);

    // Sends again what waits for an owner, and gives up what has waited too long.
    void tick();

private:
    // Work of a caller of this daemon.
    struct pending_work {
        base::work what;
        base::cell_id home;
        entry::outcome_callback done;
        base::time_point accepted{};
        base::time_point give_up_at{};
        std::optional<base::daemon_id> sent_to;  // nothing: waits to be sent
        base::time_point sent{};
        base::time_point next_try{};
        // Whether an earlier owner may have run it: then no later owner's "not run" is the truth.
        bool maybe_run = false;
        std::vector<base::trace_step> trace;
        std::vector<mesh::link_use> links;
    };

    // Work of another daemon's caller, handed to a cell here.
    struct foreign_work {
        base::daemon_id from;
        mesh::call_id call;
        base::cell_id cell;
    };

    // Asked again, of whoever owns the cell then, until somebody answers: asking twice is harmless.
    struct pending_question {
        entry::job_question what;
        base::cell_id home;
        entry::job_callback done;
        base::time_point next_try{};
        base::time_point give_up_at{};
    };

    void try_send(std::int64_t id, pending_work& work);
    void on_outcome(std::int64_t id, const base::work_outcome& outcome,
                    const std::vector<base::trace_step>& trace);
    void retry_later(pending_work& work);
    void give_up(std::int64_t id);
    void finish(std::int64_t id, entry::routed_outcome outcome);
    void try_ask(std::int64_t id, pending_question& question);
    void answer_question(std::int64_t id, const std::optional<base::job_view>& view);
    void tick_questions(base::time_point now);

    const entry::configuration_source& configuration_;
    const routing_table& routes_;
    cell_host& host_;
    peer_sender& peers_;
    base::metrics& metrics_;
    const base::clock& clock_;
    request_log log_;
    std::int64_t next_id_ = 1;
    std::map<std::int64_t, pending_work> pending_;
    std::map<std::int64_t, foreign_work> foreign_;
    std::map<std::int64_t, pending_question> questions_;
    // Work goes over these links only: a lost one may still take messages until its last connection
    // is closed, and is not reported lost a second time.
    std::set<base::daemon_id> linked_;
};

}  // namespace cranberrydock::daemon
