// A store of one row whose answers share a link: each takes the longer the more of them are under
// way, and what is given up was transferred for nothing.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include "silent_peer.hpp"

#include <algorithm>
#include <list>
#include <memory>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

class store_behind_a_link final : public silent_peer {
public:
    explicit store_behind_a_link(net::event_loop& loop)
        : tick_(loop.every(tick_time, [this] { advance(); })) {}

    // Of one version of the row, when nothing else is under way.
    void set_transfer_time(base::milliseconds time) { transfer_time_ = time; }

    void read(const fleet::table_name& table, const fleet::part_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/, base::milliseconds timeout,
              fleet::read_done done) override {
        table_ = table;
        enqueue({true, {}, clock_.now(), timeout, std::move(done)});
    }
    // As platform/ does: the answer is expected a while after the wait.
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_done done) override {
        constexpr base::milliseconds slack{700};
        table_ = table;
        enqueue({false, after, clock_.now() + wait, wait + slack, std::move(done)});
    }

    void change() { version = version.next(); }
    // Nothing gets through, and what is under way is lost.
    void cut() {
        is_cut_ = true;
        for (auto& it : calls_) {
            it.lost = true;
        }
    }
    void restore() { is_cut_ = false; }

    fleet::store_version version{1};
    double transferred = 0;  // versions, also of answers that were given up

private:
    static constexpr base::milliseconds tick_time{5};

    struct call {
        bool is_read;
        fleet::store_version after;
        base::time_point answer_by;  // with no changes
        base::milliseconds timeout;
        fleet::read_done done;
        base::time_point deadline{};
        base::time_point last_moment{};
        bool lost = false;
        bool answering = false;
        double left = 0;  // versions
        bool progressed = false;
        fleet::store_version up_to{};
    };

    void enqueue(call one) {
        one.deadline = clock_.now() + one.timeout;
        one.last_moment = clock_.now() + one.timeout * longest_answer_in_timeouts;
        one.lost = is_cut_;
        calls_.push_back(std::move(one));
    }

    void advance() {
        begin_answers();
        transfer();
        end_calls();
    }

    void begin_answers() {
        for (auto& it : calls_) {
            const bool changed = it.after < version;
            if (it.lost || it.answering || (!changed && clock_.now() < it.answer_by)) {
                continue;
            }
            it.answering = true;
            it.up_to = version;
            // A read has the row once; a feed lists each of its versions.
            it.left =
                it.after.value() == 0 ? 1 : static_cast<double>(version.value() - it.after.value());
        }
    }

    void transfer() {
        const auto under_way = static_cast<double>(std::count_if(
            calls_.begin(), calls_.end(), [](const auto& it) { return it.answering && !it.lost; }));
        const auto now = clock_.now();
        const double room = std::chrono::duration<double>(now - last_tick_) /
                            std::chrono::duration<double>(transfer_time_);
        last_tick_ = now;
        for (auto& it : calls_) {
            if (it.answering && !it.lost) {
                it.left -= room / under_way;
                it.progressed = true;
                transferred += room / under_way;
            }
        }
    }

    // As the HTTP client: an answer that is coming in at its deadline is waited for.
    void end_calls() {
        std::list<call> ended;
        for (auto it = calls_.begin(); it != calls_.end();) {
            const auto one = it++;
            const bool whole = one->answering && !one->lost && one->left <= 0;
            if (!whole && clock_.now() < one->deadline) {
                continue;
            }
            if (!whole && !one->lost && one->progressed && clock_.now() < one->last_moment) {
                one->progressed = false;
                one->deadline = clock_.now() + one->timeout / 2;
                continue;
            }
            ended.splice(ended.end(), calls_, one);
        }
        for (const auto& it : ended) {
            if (it.answering && !it.lost && it.left <= 0) {
                it.done(rows_of(it));
            } else {
                it.done(tl::unexpected(fleet::store_error{fleet::store_failure::answer_lost, {}}));
            }
        }
    }

    fleet::rows_read rows_of(const call& one) const {
        fleet::rows_read out;
        out.version = one.up_to;
        for (auto it = one.is_read ? one.up_to : one.after.next(); it <= one.up_to;
             it = it.next()) {
            out.rows.push_back({{table_, {}, fleet::row_name("newest")}, "value", it, false});
        }
        return out;
    }

    static constexpr int longest_answer_in_timeouts = 3;

    base::monotonic_clock clock_;
    base::milliseconds transfer_time_{1};
    base::time_point last_tick_ = clock_.now();
    fleet::table_name table_;
    bool is_cut_ = false;
    std::list<call> calls_;
    std::unique_ptr<net::timer> tick_;
};

}  // namespace cranberrydock::standins
