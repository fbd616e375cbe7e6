// Attributes the latency of a slow or lost request to a link, a VM, an owner's decision or a stage
// of the entry. Computed from recorded times only. A link is blamed only for time that no other
// part accounts for and that the link's recent round trips do account for.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/mesh/round_trip_history.hpp>

#include <string>
#include <vector>

namespace cranberrydock::mesh {

// The use that one request and its answer made of a link.
struct link_usage {
    base::daemon_id peer;
    round_trip_summary round_trips;
    int crossings = 1;                       // number of round trips
    base::microseconds transfer{0};          // time for the request's bytes at the recent rate
    base::microseconds typical_transfer{0};  // time for the request's bytes at the usual rate
    bool went_down = false;                  // while the request was in progress
};

// Typical times of comparable requests, for instance the medians of the same team and kind.
struct typical_times {
    base::microseconds entry{0};     // spent in the entry's stages
    base::microseconds decision{0};  // spent waiting for the owner's decision
    base::microseconds vm{0};        // from the placement to the answer
};

struct request_times {
    base::microseconds total{0};  // at the entry, until the answer or the present
    bool answered = true;
    // Steps of the entry have `where` "entry" or the stage "route". All other steps belong to the
    // owner; their timestamps are readings of the owner's clock, in order.
    std::vector<base::trace_step> steps;
    std::vector<link_usage> links;
    typical_times typical;
};

enum class latency_cause {
    nothing,  // no part exceeded its typical time
    link,
    vm,
    decision,     // the work waited for the owner's decision
    entry,        // a stage of the entry
    unaccounted,  // no measured part accounts for the time
};

std::string to_string(latency_cause what);

// One part of the request's time.
struct latency_part {
    latency_cause cause = latency_cause::unaccounted;
    std::string location;  // the peer, VM or stage
    base::microseconds duration{0};
    base::microseconds typical{0};
    std::string note;  // the round-trip times of a link, or the reason for a decision

    base::microseconds excess() const { return duration - typical; }
};

struct latency_verdict {
    latency_cause cause = latency_cause::nothing;
    std::string location;
    base::microseconds excess{0};     // above the typical time
    double share = 0;                 // the blamed part's time as a fraction of the total, 0 to 1
    std::string text;                 // one sentence that names the part and its times
    std::vector<latency_part> parts;  // their times sum to the total
};

// Blames the part that exceeds its typical time by the most. A link is blamed only when no other
// part has the same excess.
latency_verdict attribute_latency(const request_times& request);

}  // namespace cranberrydock::mesh
