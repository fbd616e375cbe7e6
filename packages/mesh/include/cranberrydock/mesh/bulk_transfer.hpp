// Transfers large messages in chunks, with flow control. The sender keeps at most one window of
// unacknowledged bytes in flight, so a slow reader fills neither its own memory nor the sender's
// socket buffer. Chunks of concurrent messages are interleaved round-robin. The receiver delivers a
// message only once it is complete and its digest matches.
//
// Both sides do no I/O and belong to one connection: the chunks of a transfer arrive in order, and
// unfinished transfers are discarded with the connection.
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
    std::int64_t transfer = 0;  // the transfer's number: from 1, increasing
    std::int64_t offset = 0;    // position of `bytes` in the message
    std::int64_t total = 0;     // size of the message in bytes
    std::string digest;         // base::sha256_hex of the message at offset 0; empty otherwise
    std::string bytes;          // never empty
};

class bulk_sender {
public:
    static constexpr std::size_t chunk_bytes = 32 * 1024;
    // Larger than the bandwidth-delay product of a link of 30 Mbit/s with a round trip of 60 ms, so
    // that the window does not limit the throughput.
    static constexpr std::size_t window_bytes = 512 * 1024;

    // Queues a message, which must not be empty.
    void add(std::string message);

    // The next chunk to send, or none while the window is full or the queue is empty. Successive
    // calls return chunks of the queued messages in turn.
    std::optional<chunk> next();

    // Records that the receiver has accepted `bytes` more bytes. Returns false when fewer bytes
    // than that are in flight.
    bool credit(std::int64_t bytes);

    // Bytes in the queue that have not been sent.
    std::size_t queued_bytes() const { return queued_bytes_; }
    // Bytes sent and not yet credited by the receiver, at most window_bytes.
    std::size_t in_flight() const { return in_flight_; }

private:
    struct outgoing {
        std::int64_t transfer = 0;
        std::string message;
        std::string digest;
        std::size_t offset = 0;  // of the next chunk; less than the message's size
    };

    std::int64_t last_transfer_ = 0;
    std::deque<outgoing> queue_;  // in round-robin order; the front is sent next
    std::size_t queued_bytes_ = 0;
    std::size_t in_flight_ = 0;
};

// The result of an accepted chunk.
struct chunk_outcome {
    std::optional<std::string> message;  // the complete message, after its last chunk
};

class bulk_receiver {
public:
    // Refuses messages larger than `max_message` bytes, and transfers that would raise the total
    // size of all open transfers above `max_open` bytes.
    bulk_receiver(base::byte_count max_message, base::byte_count max_open);

    // Accepts the next chunk. A faulty chunk discards its whole transfer.
    tl::expected<chunk_outcome, base::finding> receive(chunk next);

    // Bytes buffered for unfinished messages.
    std::size_t buffered_bytes() const { return buffered_bytes_; }

private:
    struct incoming {
        std::int64_t total = 0;
        std::string digest;
        std::string bytes;  // received so far; fewer than `total`
    };

    std::optional<base::finding> fault_of(const chunk& next) const;
    void drop(std::int64_t transfer);

    std::int64_t max_message_;
    std::int64_t max_open_;
    std::int64_t last_started_ = 0;
    std::int64_t open_total_ = 0;  // sum of the totals of all open transfers, at most max_open_
    std::size_t buffered_bytes_ = 0;
    std::map<std::int64_t, incoming> open_;  // by transfer number
};

}  // namespace cranberrydock::mesh::detail
