// The link's own frames, beside the messages. A CBOR map is a message, a CBOR list is one of these.
#pragma once

#include <cranberrydock/base/finding.hpp>

#include "round_trip.hpp"

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::mesh::detail {

// A sign of life, with the sender's state on the control channel.
struct beat_frame {
    beat timing;
    std::string state;  // an encoded heartbeat; empty on the bulk channel
};

bool is_link_frame(const std::string& frame);

std::string encode(const beat_frame& what);
tl::expected<beat_frame, base::findings> decode_beat(const std::string& frame);

}  // namespace cranberrydock::mesh::detail
