// Large messages in chunks. The sender has at most a window of bytes under way that the receiver
// hasn't taken in yet, so a slow reader fills neither its own memory nor the sender's socket;
// several messages take turns. The receiver gives a message on only when all of it is there and its
// digest is right.
//
// Both sides are pure and belong to one connection: chunks of one transfer come in order, and when
// the connection goes, so do they.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/units.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cranberrydock::mesh::detail {

struct chunk {
    std::int64_t transfer = 0;  // from 1, rising
    std::int64_t offset = 0;    // of these bytes in the message
    std::int64_t total = 0;     // bytes of the message
    std::string digest;  // base::sha256_hex of the message, in the chunk at offset 0; else empty
    std::string bytes;   // at least one
};

class bulk_sender {
public:
    static constexpr std::size_t chunk_bytes = 32 * 1024;
    // More than a link of 30 Mbit/s and 60 ms there and back holds, so that the window doesn't slow
    // it.
    static constexpr std::size_t window_bytes = 512 * 1024;

    // Takes a message, which must not be empty.
    void add(std::string message);

    // The next chunk to send; none while the window is full or nothing waits. Messages take turns.
    std::optional<chunk> next();

    // The receiver has taken in that many bytes more. False when that is more than was under way.
    bool credit(std::int64_t bytes);

    // Bytes that wait to be sent.
    std::size_t waiting() const { return waiting_; }
    // Bytes under way, at most window_bytes.
    std::size_t under_way() const { return under_way_; }

private:
    struct outgoing {
        std::int64_t transfer = 0;
        std::string message;
        std::string digest;
        std::size_t offset = 0;  // of the next chunk; below the message's size
    };

    std::int64_t last_transfer_ = 0;
    std::deque<outgoing> queue_;  // the next one's turn is at the front
    std::size_t waiting_ = 0;
    std::size_t under_way_ = 0;
};

// What a chunk led to.
struct chunk_outcome {
    std::optional<std::string> message;  // the whole message, with its last chunk
};

class bulk_receiver {
public:
    // Refuses a message over `max_message` bytes, and more than `max_open` bytes of unfinished
    // ones.
    bulk_receiver(base::byte_count max_message, base::byte_count max_open);

    // After a fault the chunk's whole transfer is dropped.
    tl::expected<chunk_outcome, base::finding> receive(chunk next);

    // Bytes held for unfinished messages.
    std::size_t held() const { return held_; }

private:
    struct incoming {
        std::int64_t total = 0;
        std::string digest;
        std::string bytes;  // shorter than total
    };

    std::optional<base::finding> fault_of(const chunk& next) const;
    void drop(std::int64_t transfer);

    std::int64_t max_message_;
    std::int64_t max_open_;
    std::int64_t last_started_ = 0;
    std::int64_t open_total_ = 0;  // the totals of all open transfers, at most max_open_
    std::size_t held_ = 0;
    std::map<std::int64_t, incoming> open_;  // by transfer
};

}  // namespace cranberrydock::mesh::detail
