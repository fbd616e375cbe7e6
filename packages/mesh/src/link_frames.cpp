// Encodes link frames as CBOR lists. Fields are identified by position instead of by name, because
// link frames are most of the traffic on an idle link.
#include "link_frames.hpp"

#include "cbor.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

constexpr std::uint8_t list_type = 4;  // CBOR's major type, in the upper three bits of a head
constexpr int major_shift = 5;

// The first entry of each list.
enum frame_kind : std::int64_t { heartbeat_kind = 0, chunk_kind = 1, credit_kind = 2 };

struct list_writer {
    json operator()(const heartbeat_frame& input) const {
        return json::array({heartbeat_kind, input.timing.sequence, input.timing.echo,
                            input.timing.hold_time.count(),
                            static_cast<std::int64_t>(input.requested_level), binary(input.state)});
    }
    json operator()(const chunk& input) const {
        return json::array({chunk_kind, input.transfer, input.offset, input.total,
                            binary(input.digest), binary(input.bytes)});
    }
    json operator()(const credit_frame& input) const {
        return json::array({credit_kind, input.bytes});
    }
};

// Returns true when the entries have the types in `shape`, one letter per entry: 'n' for an
// unsigned integer, 'b' for a byte string.
bool has_shape(const json& list, const char* shape) {
    const std::string wanted(shape);
    if (list.size() != wanted.size()) {
        return false;
    }
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        if (wanted[i] == 'n' ? !list[i].is_number_unsigned() : !list[i].is_binary()) {
            return false;
        }
    }
    return true;
}

std::string bytes_of(const json& value) {
    const auto& found = value.get_binary();
    return {found.begin(), found.end()};
}

std::int64_t number_of(const json& value) {
    return value.get<std::int64_t>();
}

heartbeat_frame read_heartbeat(const json& list) {
    return {{number_of(list[1]), number_of(list[2]), base::microseconds(number_of(list[3]))},
            static_cast<monitoring_level>(number_of(list[4])),
            bytes_of(list[5])};
}

chunk read_chunk(const json& list) {
    return {number_of(list[1]), number_of(list[2]), number_of(list[3]), bytes_of(list[4]),
            bytes_of(list[5])};
}

}  // namespace

bool is_link_frame(const std::string& frame) {
    return !frame.empty() && static_cast<std::uint8_t>(frame[0]) >> major_shift == list_type;
}

std::string encode(const link_frame& input) {
    return write_cbor(std::visit(list_writer{}, input));
}

tl::expected<link_frame, base::findings> decode_link_frame(const std::string& frame) {
    auto document = read_cbor(frame);
    if (!document) {
        return tl::unexpected(std::move(document.error()));
    }
    const json& list = *document;
    const bool numbered = list.is_array() && !list.empty() && list[0].is_number_unsigned();
    const std::int64_t kind = numbered ? number_of(list[0]) : -1;
    if (kind == heartbeat_kind && has_shape(list, "nnnnnb") &&
        number_of(list[4]) <= static_cast<std::int64_t>(monitoring_level::in_use)) {
        return read_heartbeat(list);
    }
    if (kind == chunk_kind && has_shape(list, "nnnnbb")) {
        return read_chunk(list);
    }
    if (kind == credit_kind && has_shape(list, "nn")) {
        return credit_frame{number_of(list[1])};
    }
    base::findings out;
    out.add({"/", "a heartbeat, a chunk or a credit", "another list",
             "check that both daemons run the same release"});
    return tl::unexpected(std::move(out));
}

}  // namespace cranberrydock::mesh::detail
