// Large messages are split into chunks. Whatever their sizes, the interleaving of sends and the
// time of the credits, each message arrives complete, and never more than one window of bytes is in
// transit. A lost, duplicated, swapped or damaged chunk never yields a wrong message.
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/mesh/bulk_transfer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using mesh::detail::bulk_receiver;
using mesh::detail::bulk_sender;
using mesh::detail::chunk;

constexpr base::byte_count max_bytes{4 * 1024 * 1024};

// Long enough for several chunks; each byte depends on its position.
std::string any_message() {
    const int n = *rc::gen::inRange(1, 300'000);
    const int seed = *rc::gen::inRange(0, 1'000);
    std::string out;
    out.reserve(n);
    for (int i = 0; i < n; ++i) {
        out.push_back(static_cast<char>((i + seed) * 2'654'435'761U >> 24U));
    }
    return out;
}

std::vector<std::string> any_messages() {
    std::vector<std::string> out(*rc::gen::inRange(1, 6));
    for (auto& it : out) {
        it = any_message();
    }
    return out;
}

std::vector<chunk> all_chunks_of(const std::vector<std::string>& messages) {
    bulk_sender sender;
    for (const auto& it : messages) {
        sender.add(it);
    }
    std::vector<chunk> out;
    while (auto next = sender.next()) {
        RC_ASSERT(sender.credit(static_cast<std::int64_t>(next->bytes.size())));
        out.push_back(std::move(*next));
    }
    return out;
}

TEST(bulk_transfer, delivers_every_message_within_window) {
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::string> messages = any_messages();
        bulk_sender sender;
        bulk_receiver receiver(max_bytes, max_bytes);
        std::deque<chunk> wire;
        std::multiset<std::string> received;
        std::size_t added = 0;
        // Draws by RapidCheck shrink towards no progress at all, which would never end.
        std::mt19937 schedule(*rc::gen::arbitrary<std::uint32_t>());
        while (received.size() < messages.size()) {
            if (added < messages.size() && schedule() % 2 == 0) {
                sender.add(messages[added++]);
            }
            if (schedule() % 2 == 0) {
                while (auto next = sender.next()) {
                    wire.push_back(std::move(*next));
                }
            }
            RC_ASSERT(sender.in_flight() <= bulk_sender::window_bytes);
            const auto arrivals = static_cast<int>(schedule() % 12);
            for (int i = 0; i < arrivals && !wire.empty(); ++i) {
                const auto n = static_cast<std::int64_t>(wire.front().bytes.size());
                auto outcome = receiver.receive(std::move(wire.front()));
                wire.pop_front();
                RC_ASSERT(outcome.has_value());
                RC_ASSERT(sender.credit(n));
                if (outcome->message) {
                    received.insert(*outcome->message);
                }
            }
        }
        RC_ASSERT(received == std::multiset<std::string>(messages.begin(), messages.end()));
        RC_ASSERT(receiver.buffered_bytes() == 0U);
        RC_ASSERT(sender.in_flight() == 0U);
        RC_ASSERT(!sender.credit(1));
    }));
}

// Applies one random fault: a chunk is lost, duplicated, swapped or damaged.
void apply_fault(std::vector<chunk>& chunks) {
    const auto at = *rc::gen::inRange<std::size_t>(0, chunks.size());
    chunk& target = chunks[at];
    switch (*rc::gen::inRange(0, 7)) {
        case 0:
            chunks.erase(chunks.begin() + static_cast<std::ptrdiff_t>(at));
            break;
        case 1:
            chunks.insert(chunks.begin() + static_cast<std::ptrdiff_t>(at), chunk(target));
            break;
        case 2:
            std::swap(target, chunks[*rc::gen::inRange<std::size_t>(0, chunks.size())]);
            break;
        case 3:
            target.bytes[target.bytes.size() / 2] ^= 1;
            break;
        case 4:
            target.bytes.pop_back();
            break;
        case 5:
            target.total = *rc::gen::inRange<std::int64_t>(0, 600'000);
            break;
        default:
            target.transfer = *rc::gen::inRange<std::int64_t>(-1, 8);
    }
}

TEST(bulk_transfer, never_delivers_corrupted_message) {
    EXPECT_TRUE(rc::check([] {
        const std::vector<std::string> messages = any_messages();
        const std::set<std::string> sent(messages.begin(), messages.end());
        std::vector<chunk> chunks = all_chunks_of(messages);
        apply_fault(chunks);
        bulk_receiver receiver(max_bytes, max_bytes);
        std::multiset<std::string> received;
        for (auto& it : chunks) {
            const auto outcome = receiver.receive(std::move(it));
            if (outcome && outcome->message) {
                RC_ASSERT(sent.count(*outcome->message) == 1U);
                received.insert(*outcome->message);
            }
        }
        RC_ASSERT(received.size() <= messages.size());
        // A fault loses at most the transfers it affects: two if it swapped chunks of two
        // transfers.
        RC_ASSERT(received.size() + 2 >= messages.size());
    }));
}

TEST(bulk_transfer, refuses_transfers_beyond_limits) {
    const std::string digest = base::sha256_hex("x");
    bulk_receiver receiver(base::byte_count{1'000}, base::byte_count{1'500});
    EXPECT_FALSE(receiver.receive({1, 0, 1'001, digest, "x"}).has_value());
    EXPECT_TRUE(receiver.receive({2, 0, 1'000, digest, "x"}).has_value());
    EXPECT_FALSE(receiver.receive({3, 0, 600, digest, "x"}).has_value());
    EXPECT_TRUE(receiver.receive({4, 0, 500, digest, "x"}).has_value());
    EXPECT_FALSE(receiver.receive({5, 0, 3, digest, ""}).has_value());
    EXPECT_FALSE(receiver.receive({6, 0, -1, digest, "x"}).has_value());
    EXPECT_EQ(receiver.buffered_bytes(), 2U);
}

}  // namespace
