// The frames that a link uses itself. A frame that holds a CBOR map is a message; one that holds a
// CBOR list is a link frame.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/mesh/bulk_transfer.hpp>

#include "round_trip.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace cranberrydock::mesh::detail {

// How often an end requests heartbeats. Both ends use the higher of the two requested levels.
enum class monitoring_level : std::int64_t {
    far = 0,     // a heartbeat on the control channel every far_period
    near = 1,    // heartbeats at the full rate on the control channel
    in_use = 2,  // heartbeats at the full rate on both channels
};

// A heartbeat. On the control channel it also carries the sender's state.
struct heartbeat_frame {
    heartbeat_timing timing;
    monitoring_level requested_level = monitoring_level::far;  // by the sender of the frame
    std::string state;  // a state_delta_encoder delta; empty on the bulk channel
};

// The receiver has accepted `bytes` more bytes of chunks.
struct credit_frame {
    std::int64_t bytes = 0;
};

using link_frame = std::variant<heartbeat_frame, chunk, credit_frame>;

bool is_link_frame(const std::string& frame);

std::string encode(const link_frame& input);
tl::expected<link_frame, base::findings> decode_link_frame(const std::string& frame);

}  // namespace cranberrydock::mesh::detail
