// A store whose parts do one transaction after another and take long over it.
#include "slow_store.hpp"

#include <algorithm>

namespace cranberrydock::standins {

void slow_store::answer(const std::shared_ptr<call>& to,
                        const tl::expected<fleet::store_version, fleet::store_error>& result,
                        base::milliseconds after) {
    to->timers.push_back(loop_.after(after, [to = to.get(), result] {
        if (to->done) {
            const auto done = std::move(to->done);
            to->done = nullptr;
            done(result);
        }
    }));
}

void slow_store::commit(const fleet::row_transaction& what, base::milliseconds timeout,
                        fleet::commit_done done) {
    const auto one = std::make_shared<call>();
    one->done = std::move(done);
    calls_.push_back(one);
    answer(one, tl::make_unexpected(fleet::store_error{fleet::store_failure::answer_lost, {}}),
           timeout);
    if (silent_) {
        return;
    }
    const auto now = clock_.now();
    const auto part = what.puts.empty() ? std::string() : what.puts.front().address.part.str();
    auto& free_from = free_from_[part];
    if (free_from - now > plan_.longest_queue) {
        answer(one, tl::make_unexpected(fleet::store_error{fleet::store_failure::refused, {}}),
               plan_.answer);
        return;
    }
    free_from = std::max(free_from, now) + plan_.transaction;
    one->timers.push_back(loop_.after(free_from - now, [this, what, weak = std::weak_ptr(one)] {
        if (const auto from = weak.lock()) {
            carry_out(what, from);
        }
    }));
}

void slow_store::carry_out(const fleet::row_transaction& what, const std::shared_ptr<call>& from) {
    ++transactions_;
    fleet::store_error conflict{fleet::store_failure::conflict, {}};
    bool holds = true;
    for (const auto& it : what.conditions) {
        const auto row = rows_.find(key_of(it.address));
        const auto version = row == rows_.end() ? fleet::store_version(0) : row->second;
        holds = holds && version == it.version;
        conflict.rows.push_back({it.address, "", version, false});
    }
    if (!holds) {
        answer(from, tl::make_unexpected(conflict), plan_.answer);
        return;
    }
    version_ = version_.next();
    for (const auto& it : what.puts) {
        rows_[key_of(it.address)] = version_;
    }
    for (const auto& it : what.removals) {
        rows_.erase(key_of(it));
    }
    answer(from, version_, plan_.answer);
}

void slow_store::read(const fleet::table_name& /*table*/, const fleet::part_name& /*part*/,
                      const fleet::row_name& /*from*/, std::size_t /*limit*/,
                      base::milliseconds /*timeout*/, fleet::read_done /*done*/) {}

void slow_store::follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                        base::milliseconds /*wait*/, fleet::read_done /*done*/) {}

}  // namespace cranberrydock::standins
