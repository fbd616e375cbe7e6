// Cutting messages into chunks and putting them together again.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/mesh/bulk_transfer.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

base::finding broken(const char* place, const char* expected, const char* found) {
    return {place, expected, found, "the sender may send the message again"};
}

}  // namespace

void bulk_sender::add(std::string message) {
    CRANBERRYDOCK_CHECK(!message.empty(), "a bulk message holds at least one byte");
    outgoing fresh;
    fresh.transfer = ++last_transfer_;
    fresh.digest = base::sha256_hex(message);
    fresh.message = std::move(message);
    waiting_ += fresh.message.size();
    queue_.push_back(std::move(fresh));
}

std::optional<chunk> bulk_sender::next() {
    if (queue_.empty() || under_way_ >= window_bytes) {
        return std::nullopt;
    }
    outgoing turn = std::move(queue_.front());
    queue_.pop_front();
    const std::size_t n =
        std::min({chunk_bytes, turn.message.size() - turn.offset, window_bytes - under_way_});
    chunk out;
    out.transfer = turn.transfer;
    out.offset = static_cast<std::int64_t>(turn.offset);
    out.total = static_cast<std::int64_t>(turn.message.size());
    out.digest = turn.offset == 0 ? turn.digest : "";
    out.bytes = turn.message.substr(turn.offset, n);
    turn.offset += n;
    waiting_ -= n;
    under_way_ += n;
    if (turn.offset < turn.message.size()) {
        queue_.push_back(std::move(turn));
    }
    return out;
}

bool bulk_sender::credit(std::int64_t bytes) {
    if (bytes < 0 || static_cast<std::uint64_t>(bytes) > under_way_) {
        return false;
    }
    under_way_ -= static_cast<std::size_t>(bytes);
    return true;
}

bulk_receiver::bulk_receiver(base::byte_count max_message, base::byte_count max_open)
    : max_message_(max_message.value()), max_open_(max_open.value()) {}

tl::expected<chunk_outcome, base::finding> bulk_receiver::receive(chunk next) {
    if (auto fault = fault_of(next)) {
        drop(next.transfer);
        return tl::unexpected(std::move(*fault));
    }
    incoming& into = open_[next.transfer];
    if (next.offset == 0) {
        last_started_ = next.transfer;
        open_total_ += next.total;
        into.total = next.total;
        into.digest = std::move(next.digest);
    }
    into.bytes += next.bytes;
    held_ += next.bytes.size();
    if (static_cast<std::int64_t>(into.bytes.size()) < into.total) {
        return chunk_outcome{};
    }
    std::string whole = std::move(into.bytes);
    const bool right = base::sha256_hex(whole) == into.digest;
    held_ -= whole.size();
    open_total_ -= into.total;
    open_.erase(next.transfer);
    if (!right) {
        return tl::unexpected(
            broken("/chunk/digest", "the SHA-256 of the whole message", "another"));
    }
    return chunk_outcome{std::move(whole)};
}

std::optional<base::finding> bulk_receiver::fault_of(const chunk& next) const {
    if (next.bytes.empty() || next.offset < 0) {
        return broken("/chunk", "at least one byte at an offset from 0", "none");
    }
    const auto it = open_.find(next.transfer);
    if (it == open_.end()) {
        if (next.offset != 0 || next.transfer <= last_started_) {
            return broken("/chunk/transfer", "a new transfer's first chunk",
                          "a part of one that is not open");
        }
        if (next.total > max_message_ || next.total > max_open_ - open_total_) {
            return broken("/chunk/total", "a message within the size bounds", "a larger one");
        }
        if (static_cast<std::int64_t>(next.bytes.size()) > next.total) {
            return broken("/chunk/bytes", "no more than the message's total", "more");
        }
        return std::nullopt;
    }
    const auto has = static_cast<std::int64_t>(it->second.bytes.size());
    if (next.offset != has || next.total != it->second.total) {
        return broken("/chunk/offset", "the next part of the same message", "another part");
    }
    if (static_cast<std::int64_t>(next.bytes.size()) > next.total - has) {
        return broken("/chunk/bytes", "no more than the message's total", "more");
    }
    return std::nullopt;
}

void bulk_receiver::drop(std::int64_t transfer) {
    const auto it = open_.find(transfer);
    if (it == open_.end()) {
        return;
    }
    held_ -= it->second.bytes.size();
    open_total_ -= it->second.total;
    open_.erase(it);
}

}  // namespace cranberrydock::mesh::detail
