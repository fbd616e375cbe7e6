// Forwards work to the owner of its home cell, which is this daemon or another one, and sends it
// again when the owner changes or the link to it is lost. The owner identifies work by team and
// idempotency key, so that work which is sent twice is accepted only once.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/entry/daemon_interfaces.hpp>
#include <cranberrydock/mesh/mesh.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include "cell_host.hpp"
#include "request_history.hpp"
#include "routing_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace cranberrydock::daemon {

// Sends messages to other daemons.
class peer_sender {
public:
    virtual ~peer_sender() = default;
    // Has the semantics of mesh::send.
    virtual bool send(const base::daemon_id& recipient, const mesh::message& outgoing) = 0;
    virtual mesh::round_trip_summary round_trips(const base::daemon_id& peer) const = 0;
};

class work_forwarder final : public entry::work_router {
public:
    work_forwarder(const entry::configuration_source& configuration, const routing_table& routes,
                   cell_host& host, peer_sender& peers, base::metrics& metrics,
                   const base::clock& clock);

    void submit(const base::work& spec, entry::outcome_callback done) override;
    void query_job(const entry::job_lookup& query, entry::job_callback done) override;
    void list(const entry::job_page& page, entry::page_callback done) override;
    std::optional<mesh::latency_verdict> explain(const base::job_id& job) const override;

    // A reply of one of this daemon's own cells.
    void on_reply(cell::reply_id request_id, const base::work_outcome& outcome,
                  const std::vector<base::trace_step>& trace);

    // Messages from other daemons.
    void on_submit(const base::daemon_id& from, const mesh::submit_work& request);
    void on_result(const mesh::work_result& result);
    void on_query(const base::daemon_id& from, const mesh::job_query& request);
    void on_job_reply(const mesh::job_reply& reply);
    // This daemon does not own the cell any more, so the outstanding replies of the cell never
    // come.
    void on_cell_lost(const base::cell_id& cell);
    void on_peer_linked(const base::daemon_id& peer);
    void on_peer_lost(const base::daemon_id& peer);

    // Sends the work and queries that wait for an owner, and fails those whose timeout has passed.
    void tick();

private:
    // Work that a caller submitted through this daemon.
    struct pending_work {
        base::work spec;
        base::cell_id home;
        entry::outcome_callback done;
        base::time_point accepted{};
        base::time_point expires_at{};
        std::optional<base::daemon_id> sent_to;  // nothing while it waits to be sent
        base::time_point sent{};
        base::time_point next_try_at{};
        // A previous owner may have run it, so that a refusal with not_run from a later owner does
        // not show that it has not run.
        bool maybe_run = false;
        std::vector<base::trace_step> trace;
        std::vector<mesh::link_usage> links;
    };

    // Work that another daemon forwarded to a cell of this daemon.
    struct foreign_work {
        base::daemon_id from;
        mesh::call_id call;
        base::cell_id cell;
    };

    // A query that is sent again to the current owner of the cell until an answer arrives. Queries
    // are idempotent.
    struct pending_query {
        entry::job_lookup query;
        base::cell_id home;
        entry::job_callback done;
        base::time_point next_try_at{};
        base::time_point expires_at{};
    };

    void try_send(std::int64_t id, pending_work& work);
    void on_outcome(std::int64_t id, const base::work_outcome& outcome,
                    const std::vector<base::trace_step>& trace);
    void retry_later(pending_work& work);
    void expire(std::int64_t id);
    void finish(std::int64_t id, entry::routed_outcome outcome);
    void try_query(std::int64_t id, pending_query& pending);
    void answer_query(std::int64_t id, const std::optional<base::job_view>& view);
    void tick_queries(base::time_point now);

    const entry::configuration_source& configuration_;
    const routing_table& routes_;
    cell_host& host_;
    peer_sender& peers_;
    base::metrics& metrics_;
    const base::clock& clock_;
    request_history history_;
    std::int64_t next_id_ = 1;
    std::map<std::int64_t, pending_work> pending_;
    std::map<std::int64_t, foreign_work> foreign_;
    std::map<std::int64_t, pending_query> queries_;
    // Work is sent only over these links. A lost link may still accept messages until its last
    // connection is closed, and its loss is not reported a second time.
    std::set<base::daemon_id> linked_;
};

}  // namespace cranberrydock::daemon
