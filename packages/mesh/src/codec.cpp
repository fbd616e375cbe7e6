// Selects the message type of a document and checks that its encoding is canonical.
#include <cranberrydock/mesh/codec.hpp>

#include "codec_parts.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace cranberrydock::mesh {
namespace {

using detail::json;
using detail::object_reader;

const char* const type_key = "type";

// The names of the variant's alternatives, in the same order.
constexpr std::array<std::string_view, std::variant_size_v<message>> kinds = {
    "heartbeat",           "submit_work",   "work_result",     "job_query",    "job_reply",
    "config_announcement", "silence_query", "silence_promise", "cells_offered"};

using reader = message (*)(object_reader&);

template <typename T, T (*Read)(object_reader&)>
message read_as(object_reader& in) {
    return Read(in);
}

// Parallel to `kinds`.
constexpr std::array<reader, std::variant_size_v<message>> readers = {
    read_as<heartbeat, detail::read_heartbeat>,
    read_as<submit_work, detail::read_submit_work>,
    read_as<work_result, detail::read_work_result>,
    read_as<job_query, detail::read_job_query>,
    read_as<job_reply, detail::read_job_reply>,
    read_as<config_announcement, detail::read_config_announcement>,
    read_as<hold_off_request, detail::read_hold_off_request>,
    read_as<hold_off_answer, detail::read_hold_off_answer>,
    read_as<cells_offered, detail::read_cells_offered>};

tl::unexpected<base::findings> refuse(std::string place, std::string expected, std::string found) {
    base::findings out;
    out.add({std::move(place), std::move(expected), std::move(found),
             "check that both daemons run the same release"});
    return tl::unexpected(std::move(out));
}

tl::expected<message, base::findings> read_document(json& document) {
    base::findings faults;
    object_reader in(document, "", faults);
    const std::string type = in.text(type_key);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (kinds[i] != type) {
            continue;
        }
        message out = readers[i](in);
        if (!faults.empty()) {
            return tl::unexpected(std::move(faults));
        }
        return out;
    }
    return refuse("/type", "the name of a message", "an unknown name");
}

}  // namespace

std::string kind_of(const message& msg) {
    return std::string(kinds[msg.index()]);
}

std::string encode(const message& msg) {
    json document =
        std::visit([](const auto& content) { return detail::write_fields(content); }, msg);
    document[type_key] = kind_of(msg);
    return detail::write_cbor(document);
}

tl::expected<message, base::findings> decode(const std::string& bytes) {
    auto document = detail::read_cbor(bytes);
    if (!document) {
        return tl::unexpected(std::move(document.error()));
    }
    auto out = read_document(*document);
    if (out && encode(*out) != bytes) {
        // The input has unknown or duplicate members, or numbers that are not in the shortest form.
        // Accepting it would silently drop part of what the sender wrote.
        return refuse("/", "exactly the members of the message, in canonical form",
                      "other members or another encoding");
    }
    return out;
}

}  // namespace cranberrydock::mesh
