// The wire format of the messages between daemons: one CBOR map per message. The decoder accepts
// untrusted input: it never throws, bounds every size and count, and accepts only the canonical
// form that encode() writes, so that nothing the sender wrote is ignored.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/mesh/messages.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <string>

namespace cranberrydock::mesh {

// Size limits of one message. decode() refuses a message that exceeds any of them.
struct codec_limits {
    static constexpr std::size_t text_bytes = 64 * 1024;   // in an id, name, note or reason
    static constexpr std::size_t list_entries = 100'000;   // in any list of a message
    static constexpr std::size_t cbor_items = 1'000'000;   // in a complete message
    static constexpr std::size_t cbor_depth = 16;          // nesting of maps and lists
    static constexpr std::int64_t task_count = 1'000'000;  // in one job
};

// Encodes a message. Payloads, contents and documents become CBOR byte strings.
std::string encode(const message& msg);

// Decodes a message. On failure returns all faults found, each with its location in the document,
// such as /work/need/cores.
tl::expected<message, base::findings> decode(const std::string& bytes);

// The stable name of the message's type, such as "submit_work".
std::string kind_of(const message& msg);

}  // namespace cranberrydock::mesh
