// The typed messages between daemons. The codec turns them into CBOR and back; a frame that is not
// one of these is refused whole.
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

using call_id = base::strong_number<struct call_id_tag>;  // pairs an answer with its question

struct owned_cell {
    base::cell_id cell;
    base::epoch epoch;
};

struct team_usage {
    base::team_id team;
    base::slot_count running;
    base::slot_count queued;
};

// What each daemon tells every other, about twice a second. The mesh itself measures the link's
// round-trip time with it.
struct heartbeat {
    base::config_version version;  // the configuration in force at the sender
    bool store_reachable = true;
    bool ready = true;  // false: stopping, give it no new work
    std::vector<owned_cell> owned;
    std::vector<team_usage> usage;  // in the cells that the sender owns
};

// Work for a cell that the receiver should own.
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

// Asks about a job, or cancels it; answered by job_reply.
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

// "This version exists": sent to all by whoever committed or first learnt it.
struct config_announcement {
    base::config_version version;
    std::string document;
};

// Owners that can't renew in the store ask this of every daemon that they know.
struct silence_query {
    call_id call;
    std::vector<owned_cell> cells;
};

// "The store is unavailable to me and I take none of these cells for `lasting`", counted from when
// the *question* was sent. `given` false: no such promise.
struct silence_promise {
    call_id call;
    bool given = false;
    base::milliseconds lasting{0};
};

// A graceful stop: the sender has released these cells in the store; take them at once.
struct cells_offered {
    std::vector<owned_cell> cells;
};

using message = std::variant<heartbeat, submit_work, work_result, job_query, job_reply,
                             config_announcement, silence_query, silence_promise, cells_offered>;

}  // namespace cranberrydock::mesh
