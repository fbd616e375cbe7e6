// The link's own frames, beside the messages. A CBOR map is a message, a CBOR list is one of these.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/mesh/bulk_transfer.hpp>

#include "round_trip.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace cranberrydock::mesh::detail {

// How closely an end wants the link watched; both ends follow the higher wish.
enum class pace : std::int64_t {
    far = 0,     // a beat on the control channel now and then
    near = 1,    // beats at the full rate on the control channel
    in_use = 2,  // on both channels
};

// A sign of life, with the sender's state on the control channel.
struct beat_frame {
    beat timing;
    pace wished = pace::far;  // by the sender
    std::string state;        // from state_sender; empty on the bulk channel
};

// The receiver has taken in that many bytes of chunks more.
struct credit_frame {
    std::int64_t bytes = 0;
};

using link_frame = std::variant<beat_frame, chunk, credit_frame>;

bool is_link_frame(const std::string& frame);

std::string encode(const link_frame& what);
tl::expected<link_frame, base::findings> decode_link_frame(const std::string& frame);

}  // namespace cranberrydock::mesh::detail
