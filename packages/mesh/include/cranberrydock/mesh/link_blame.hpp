// What to blame for a slow or lost request: the link, a VM, or a decision. Pure: times in, verdict
// out. The network is blamed only for time that nothing else explains and that the link's own round
// trips of late do explain.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/mesh/round_trip_history.hpp>

#include <string>
#include <vector>

namespace cranberrydock::mesh {

// A link that the request and its answer crossed.
struct link_use {
    base::daemon_id peer;
    round_trip_summary round_trips;
    int crossings = 1;                       // there and back, each
    base::microseconds transfer{0};          // of the request's bytes at the link's rate of late
    base::microseconds typical_transfer{0};  // the same at its usual rate
    bool went_down = false;                  // while the request was under way
};

// What such requests usually take, such as the medians of the same team and kind.
struct typical_times {
    base::microseconds entry{0};     // in the entry's stages
    base::microseconds decision{0};  // waiting for the owner's decision
    base::microseconds vm{0};        // from placement to answer
};

struct request_times {
    base::microseconds total{0};  // at the entry, until the answer or until now
    bool answered = true;
    // The entry's steps have `where` "entry" or the stage "route"; the others are the owner's, each
    // at its moment on the owner's clock, in order.
    std::vector<base::trace_step> steps;
    std::vector<link_use> links;
    typical_times typical;
};

enum class blamed {
    nothing,  // no part took longer than usual
    link,
    vm,
    decision,     // of the owner: the work waited for it
    entry,        // a stage of the entry
    unaccounted,  // nothing that was measured explains it
};

std::string to_string(blamed what);

// One part of the request's time.
struct blame_part {
    blamed what = blamed::unaccounted;
    std::string where;  // the peer, VM or stage
    base::microseconds took{0};
    base::microseconds typical{0};
    std::string note;  // the figures of a link, the reason of a decision

    base::microseconds excess() const { return took - typical; }
};

struct verdict {
    blamed what = blamed::nothing;
    std::string where;
    base::microseconds excess{0};   // over the usual
    double share = 0;               // of the total, from 0 to 1: the blamed part's whole time
    std::string text;               // one sentence, with the figures
    std::vector<blame_part> parts;  // their times sum to the total
};

// Blames the part with the largest excess over what is usual; between equals the link comes last.
verdict explain_blame(const request_times& request);

}  // namespace cranberrydock::mesh
