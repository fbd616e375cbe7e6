// A store whose partitions apply transactions one at a time and slowly, as the platform's store
// does when it is slow, on the test's own event loop. It also applies transactions that timed out
// for the caller.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cranberrydock::standins {

struct slow_store_options {
    base::milliseconds answer_delay{0};        // delay of the answer
    base::milliseconds transaction_time{5};    // time per transaction of a partition
    base::milliseconds max_queue_time{1'000};  // of a partition; further transactions are refused
};

class slow_store final : public fleet::row_store {
public:
    slow_store(net::event_loop& loop, const slow_store_options& plan)
        : loop_(loop), options_(plan) {}

    void commit(const fleet::row_transaction& requested, base::milliseconds timeout,
                fleet::commit_callback done) override;
    void read(const fleet::table_name& table, const fleet::partition_name& part,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_callback done) override;
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_callback done) override;

    // Applies to transactions that arrive from now on.
    void set_options(const slow_store_options& plan) { options_ = plan; }
    // From now on accepts calls and does nothing.
    void become_unresponsive() { unresponsive_ = true; }

    bool has_row(const fleet::row_address& row) const { return rows_.count(key_of(row)) > 0; }
    int transaction_count() const { return transaction_count_; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    static row_key key_of(const fleet::row_address& row) {
        return {row.table.str(), row.partition.str(), row.name.str()};
    }
    struct call {
        fleet::commit_callback done;
        std::vector<std::unique_ptr<net::timer>> timers;
    };
    void apply(const fleet::row_transaction& requested, const std::shared_ptr<call>& pending);
    void answer(const std::shared_ptr<call>& answered,
                const tl::expected<fleet::store_version, fleet::store_error>& result,
                base::milliseconds after);

    net::event_loop& loop_;
    slow_store_options options_;
    base::monotonic_clock clock_;
    std::map<row_key, fleet::store_version> rows_;
    std::map<std::string, base::time_point> free_at_;  // by partition
    std::vector<std::shared_ptr<call>> calls_;
    fleet::store_version version_;
    bool unresponsive_ = false;
    int transaction_count_ = 0;
};

}  // namespace cranberrydock::standins
