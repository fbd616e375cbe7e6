// Splits messages into chunks and reassembles them.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/mesh/bulk_transfer.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

base::finding transfer_fault(const char* place, const char* expected, const char* found) {
    return {place, expected, found, "the sender may send the message again"};
}

}  // namespace

void bulk_sender::add(std::string message) {
    CRANBERRYDOCK_CHECK(!message.empty(), "a bulk message must not be empty");
    outgoing fresh;
    fresh.transfer = ++last_transfer_;
    fresh.digest = base::sha256_hex(message);
    fresh.message = std::move(message);
    queued_bytes_ += fresh.message.size();
    queue_.push_back(std::move(fresh));
}

std::optional<chunk> bulk_sender::next() {
    if (queue_.empty() || in_flight_ >= window_bytes) {
        return std::nullopt;
    }
    outgoing current = std::move(queue_.front());
    queue_.pop_front();
    const std::size_t n =
        std::min({chunk_bytes, current.message.size() - current.offset, window_bytes - in_flight_});
    chunk out;
    out.transfer = current.transfer;
    out.offset = static_cast<std::int64_t>(current.offset);
    out.total = static_cast<std::int64_t>(current.message.size());
    out.digest = current.offset == 0 ? current.digest : "";
    out.bytes = current.message.substr(current.offset, n);
    current.offset += n;
    queued_bytes_ -= n;
    in_flight_ += n;
    if (current.offset < current.message.size()) {
        queue_.push_back(std::move(current));
    }
    return out;
}

bool bulk_sender::credit(std::int64_t bytes) {
    if (bytes < 0 || static_cast<std::uint64_t>(bytes) > in_flight_) {
        return false;
    }
    in_flight_ -= static_cast<std::size_t>(bytes);
    return true;
}

bulk_receiver::bulk_receiver(base::byte_count max_message, base::byte_count max_open)
    : max_message_(max_message.value()), max_open_(max_open.value()) {}

tl::expected<chunk_outcome, base::finding> bulk_receiver::receive(chunk next) {
    if (auto fault = fault_of(next)) {
        drop(next.transfer);
        return tl::unexpected(std::move(*fault));
    }
    incoming& target = open_[next.transfer];
    if (next.offset == 0) {
        last_started_ = next.transfer;
        open_total_ += next.total;
        target.total = next.total;
        target.digest = std::move(next.digest);
    }
    target.bytes += next.bytes;
    buffered_bytes_ += next.bytes.size();
    if (static_cast<std::int64_t>(target.bytes.size()) < target.total) {
        return chunk_outcome{};
    }
    std::string complete = std::move(target.bytes);
    const bool digest_matches = base::sha256_hex(complete) == target.digest;
    buffered_bytes_ -= complete.size();
    open_total_ -= target.total;
    open_.erase(next.transfer);
    if (!digest_matches) {
        return tl::unexpected(
            transfer_fault("/chunk/digest", "the SHA-256 of the complete message", "another"));
    }
    return chunk_outcome{std::move(complete)};
}

std::optional<base::finding> bulk_receiver::fault_of(const chunk& next) const {
    if (next.bytes.empty() || next.offset < 0) {
        return transfer_fault("/chunk", "at least one byte at an offset from 0", "none");
    }
    const auto it = open_.find(next.transfer);
    if (it == open_.end()) {
        if (next.offset != 0 || next.transfer <= last_started_) {
            return transfer_fault("/chunk/transfer", "a new transfer's first chunk",
                                  "a chunk of a transfer that is not open");
        }
        if (next.total > max_message_ || next.total > max_open_ - open_total_) {
            return transfer_fault("/chunk/total", "a message within the size bounds",
                                  "a larger one");
        }
        if (static_cast<std::int64_t>(next.bytes.size()) > next.total) {
            return transfer_fault("/chunk/bytes", "no more than the message's total", "more");
        }
        return std::nullopt;
    }
    const auto received = static_cast<std::int64_t>(it->second.bytes.size());
    if (next.offset != received || next.total != it->second.total) {
        return transfer_fault("/chunk/offset", "the next part of the same message", "another part");
    }
    if (static_cast<std::int64_t>(next.bytes.size()) > next.total - received) {
        return transfer_fault("/chunk/bytes", "no more than the message's total", "more");
    }
    return std::nullopt;
}

void bulk_receiver::drop(std::int64_t transfer) {
    const auto it = open_.find(transfer);
    if (it == open_.end()) {
        return;
    }
    buffered_bytes_ -= it->second.bytes.size();
    open_total_ -= it->second.total;
    open_.erase(it);
}

}  // namespace cranberrydock::mesh::detail
