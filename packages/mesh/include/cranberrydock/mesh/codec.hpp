// The wire form of the messages between daemons: one CBOR map a message. Decoding takes bytes that
// a stranger may have written: it never throws, bounds every size and count, and accepts only the
// one form that encode() writes, so that what was decoded is what was sent.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/mesh/messages.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <string>

namespace cranberrydock::mesh {

// The most that one message may hold; decode() refuses what exceeds them.
struct codec_limits {
    static constexpr std::size_t text_bytes = 64 * 1024;   // of an id, name, note or reason
    static constexpr std::size_t list_entries = 100'000;   // of any list in a message
    static constexpr std::size_t cbor_items = 1'000'000;   // of a whole message
    static constexpr std::size_t cbor_depth = 16;          // maps and lists within each other
    static constexpr std::int64_t task_count = 1'000'000;  // of one job
};

// The message as bytes. Payloads, contents and documents are CBOR byte strings.
std::string encode(const message& what);

// The message that `bytes` hold; otherwise everything that is wrong with them, each fault with its
// place such as /work/need/cores.
tl::expected<message, base::findings> decode(const std::string& bytes);

// The stable name of the message's kind, such as "submit_work".
std::string kind_of(const message& what);

}  // namespace cranberrydock::mesh
