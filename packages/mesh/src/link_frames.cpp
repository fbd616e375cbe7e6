// The link's own frames as CBOR lists: positions instead of names, since most of the idle traffic
// is these.
#include "link_frames.hpp"

#include "cbor.hpp"

#include <cstdint>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

constexpr std::uint8_t list_type = 4;  // CBOR's major type, in the upper three bits of a head
constexpr int major_shift = 5;

// Positions in a beat.
enum beat_position : std::size_t { sequence = 0, echo = 1, held = 2, state = 3, positions = 4 };

tl::unexpected<base::findings> refuse(const char* place, const char* expected) {
    base::findings out;
    out.add({place, expected, "something else", "check that both daemons run the same release"});
    return tl::unexpected(std::move(out));
}

}  // namespace

bool is_link_frame(const std::string& frame) {
    return !frame.empty() && static_cast<std::uint8_t>(frame[0]) >> major_shift == list_type;
}

std::string encode(const beat_frame& what) {
    return write_cbor(json::array(
        {what.timing.sequence, what.timing.echo, what.timing.held.count(), binary(what.state)}));
}

tl::expected<beat_frame, base::findings> decode_beat(const std::string& frame) {
    auto document = read_cbor(frame);
    if (!document) {
        return tl::unexpected(std::move(document.error()));
    }
    const json& list = *document;
    if (!list.is_array() || list.size() != beat_position::positions) {
        return refuse("/beat", "a list of four");
    }
    for (const auto n : {beat_position::sequence, beat_position::echo, beat_position::held}) {
        if (!list[n].is_number_unsigned()) {
            return refuse("/beat", "sequence, echo and time held as whole numbers");
        }
    }
    if (!list[beat_position::state].is_binary()) {
        return refuse("/beat/state", "a byte string");
    }
    const auto& state = list[beat_position::state].get_binary();
    beat_frame out;
    out.timing.sequence = list[beat_position::sequence].get<std::int64_t>();
    out.timing.echo = list[beat_position::echo].get<std::int64_t>();
    out.timing.held = base::microseconds(list[beat_position::held].get<std::int64_t>());
    out.state.assign(state.begin(), state.end());
    return out;
}

}  // namespace cranberrydock::mesh::detail
