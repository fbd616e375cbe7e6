// The typed messages between daemons. The codec converts them to and from CBOR and refuses every
// frame that is not exactly one of them.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/base/work.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::mesh {

using call_id = base::strong_number<struct call_id_tag>;  // matches a reply to its request

struct owned_cell {
    base::cell_id cell;
    base::epoch epoch;
};

struct team_usage {
    base::team_id team;
    base::slot_count running;
    base::slot_count queued;
};

// The state that each daemon reports to every other daemon, about twice a second by default. The
// mesh also measures the link's round-trip time with its heartbeats.
struct heartbeat {
    base::config_version version;  // the configuration in force at the sender
    bool store_reachable = true;
    bool ready = true;  // false while stopping: the sender accepts no new work
    std::vector<owned_cell> owned;
    std::vector<team_usage> usage;  // in the cells that the sender owns
};

// Submits work for a cell that the receiver is expected to own; answered by work_result.
struct submit_work {
    call_id call;
    base::cell_id cell;
    base::work work;
};

struct work_result {
    call_id call;
    base::work_outcome outcome;
    std::vector<base::trace_step> trace;
};

// Queries or cancels a job; answered by job_reply.
struct job_query {
    call_id call;
    base::cell_id cell;
    base::team_id team;
    base::job_id job;
    bool cancel = false;
};

struct job_reply {
    call_id call;
    bool found = false;
    base::job_view view;
};

// Announces a configuration version. Sent to all daemons by the daemon that committed the version
// or learned of it first.
struct config_announcement {
    base::config_version version;
    std::string document;
};

// Sent to every known daemon by an owner that cannot renew its leases in the store; asks for a
// hold_off_answer for these cells.
struct hold_off_request {
    call_id call;
    std::vector<owned_cell> cells;
};

// Answers a hold_off_request. When `granted` is true, the sender cannot reach the store and
// promises not to take over any of the cells for `duration`, counted from the time at which the
// *query* was sent. When `granted` is false, the sender makes no promise.
struct hold_off_answer {
    call_id call;
    bool granted = false;
    base::milliseconds duration{0};
};

// Sent during a graceful stop: the sender has released these cells in the store, and the receiver
// may take them over at once.
struct cells_offered {
    std::vector<owned_cell> cells;
};

using message = std::variant<heartbeat, submit_work, work_result, job_query, job_reply,
                             config_announcement, hold_off_request, hold_off_answer, cells_offered>;

}  // namespace cranberrydock::mesh
