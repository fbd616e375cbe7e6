// Queues the transactions of each partition and answers them by timers.
#include "slow_store.hpp"

#include <algorithm>

namespace cranberrydock::standins {

void slow_store::answer(const std::shared_ptr<call>& answered,
                        const tl::expected<fleet::store_version, fleet::store_error>& result,
                        base::milliseconds after) {
    answered->timers.push_back(loop_.after(after, [target = answered.get(), result] {
        if (target->done) {
            const auto done = std::move(target->done);
            target->done = nullptr;
            done(result);
        }
    }));
}

void slow_store::commit(const fleet::row_transaction& requested, base::milliseconds timeout,
                        fleet::commit_callback done) {
    const auto new_call = std::make_shared<call>();
    new_call->done = std::move(done);
    calls_.push_back(new_call);
    answer(new_call, tl::make_unexpected(fleet::store_error{fleet::store_failure::answer_lost, {}}),
           timeout);
    if (unresponsive_) {
        return;
    }
    const auto now = clock_.now();
    const auto part =
        requested.puts.empty() ? std::string() : requested.puts.front().address.partition.str();
    auto& free_at = free_at_[part];
    if (free_at - now > options_.max_queue_time) {
        answer(new_call, tl::make_unexpected(fleet::store_error{fleet::store_failure::refused, {}}),
               options_.answer_delay);
        return;
    }
    free_at = std::max(free_at, now) + options_.transaction_time;
    new_call->timers.push_back(
        loop_.after(free_at - now, [this, requested, weak = std::weak_ptr(new_call)] {
            if (const auto pending = weak.lock()) {
                apply(requested, pending);
            }
        }));
}

void slow_store::apply(const fleet::row_transaction& requested,
                       const std::shared_ptr<call>& pending) {
    ++transaction_count_;
    fleet::store_error conflict{fleet::store_failure::conflict, {}};
    bool holds = true;
    for (const auto& it : requested.conditions) {
        const auto row = rows_.find(key_of(it.address));
        const auto version = row == rows_.end() ? fleet::store_version(0) : row->second;
        holds = holds && version == it.version;
        conflict.rows.push_back({it.address, "", version, false});
    }
    if (!holds) {
        answer(pending, tl::make_unexpected(conflict), options_.answer_delay);
        return;
    }
    version_ = version_.next();
    for (const auto& it : requested.puts) {
        rows_[key_of(it.address)] = version_;
    }
    for (const auto& it : requested.removals) {
        rows_.erase(key_of(it));
    }
    answer(pending, version_, options_.answer_delay);
}

void slow_store::read(const fleet::table_name& /*table*/, const fleet::partition_name& /*part*/,
                      const fleet::row_name& /*from*/, std::size_t /*limit*/,
                      base::milliseconds /*timeout*/, fleet::read_callback /*done*/) {}

void slow_store::follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                        base::milliseconds /*wait*/, fleet::read_callback /*done*/) {}

}  // namespace cranberrydock::standins
