// A store of one row whose answers share the bandwidth of a link: the more answers are in transit,
// the longer each takes. An answer that its caller abandons has used bandwidth for nothing.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include "unresponsive_peer.hpp"

#include <algorithm>
#include <list>
#include <memory>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

class bandwidth_limited_store final : public unresponsive_peer {
public:
    explicit bandwidth_limited_store(net::event_loop& loop)
        : tick_(loop.every(tick_time, [this] { advance(); })) {}

    // The time for one version of the row when nothing else is in transit.
    void set_transfer_time(base::milliseconds time) { transfer_time_ = time; }

    void read(const fleet::table_name& table, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/, base::milliseconds timeout,
              fleet::read_callback done) override {
        table_ = table;
        enqueue({true, {}, clock_.now(), timeout, std::move(done)});
    }
    // As in platform/, the answer is expected up to 700 ms after the wait.
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_callback done) override {
        constexpr base::milliseconds slack{700};
        table_ = table;
        enqueue({false, after, clock_.now() + wait, wait + slack, std::move(done)});
    }

    void add_version() { version = version.next(); }
    // Calls get no answer until restore(), and answers in transit are lost.
    void cut() {
        is_cut_ = true;
        for (auto& it : calls_) {
            it.lost = true;
        }
    }
    void restore() { is_cut_ = false; }

    fleet::store_version version{1};
    double transferred_versions = 0;  // in versions, including answers that were abandoned

private:
    static constexpr base::milliseconds tick_time{5};

    struct call {
        bool is_read;
        fleet::store_version after;
        base::time_point answer_by;  // if there are no changes
        base::milliseconds timeout;
        fleet::read_callback done;
        base::time_point deadline{};
        base::time_point final_deadline{};
        bool lost = false;
        bool answering = false;
        double remaining = 0;  // in versions
        bool progressed = false;
        fleet::store_version newest{};
    };

    void enqueue(call entry) {
        entry.deadline = clock_.now() + entry.timeout;
        entry.final_deadline = clock_.now() + entry.timeout * max_answer_timeouts;
        entry.lost = is_cut_;
        calls_.push_back(std::move(entry));
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
            it.newest = version;
            // A read returns the row once; a feed returns each of its versions.
            it.remaining =
                it.after.value() == 0 ? 1 : static_cast<double>(version.value() - it.after.value());
        }
    }

    void transfer() {
        const auto active_count = static_cast<double>(std::count_if(
            calls_.begin(), calls_.end(), [](const auto& it) { return it.answering && !it.lost; }));
        const auto now = clock_.now();
        const double transferable = std::chrono::duration<double>(now - last_tick_) /
                                    std::chrono::duration<double>(transfer_time_);
        last_tick_ = now;
        for (auto& it : calls_) {
            if (it.answering && !it.lost) {
                it.remaining -= transferable / active_count;
                it.progressed = true;
                transferred_versions += transferable / active_count;
            }
        }
    }

    // As in the HTTP client, an answer that is still arriving at its deadline gets more time.
    void end_calls() {
        std::list<call> ended_calls;
        for (auto it = calls_.begin(); it != calls_.end();) {
            const auto current = it++;
            const bool complete = current->answering && !current->lost && current->remaining <= 0;
            if (!complete && clock_.now() < current->deadline) {
                continue;
            }
            if (!complete && !current->lost && current->progressed &&
                clock_.now() < current->final_deadline) {
                current->progressed = false;
                current->deadline = clock_.now() + current->timeout / 2;
                continue;
            }
            ended_calls.splice(ended_calls.end(), calls_, current);
        }
        for (const auto& it : ended_calls) {
            if (it.answering && !it.lost && it.remaining <= 0) {
                it.done(rows_of(it));
            } else {
                it.done(tl::unexpected(fleet::store_error{fleet::store_failure::answer_lost, {}}));
            }
        }
    }

    fleet::rows_read rows_of(const call& entry) const {
        fleet::rows_read out;
        out.version = entry.newest;
        for (auto it = entry.is_read ? entry.newest : entry.after.next(); it <= entry.newest;
             it = it.next()) {
            out.rows.push_back({{table_, {}, fleet::row_name("newest")}, "value", it, false});
        }
        return out;
    }

    static constexpr int max_answer_timeouts = 3;

    base::monotonic_clock clock_;
    base::milliseconds transfer_time_{1};
    base::time_point last_tick_ = clock_.now();
    fleet::table_name table_;
    bool is_cut_ = false;
    std::list<call> calls_;
    std::unique_ptr<net::timer> tick_;
};

}  // namespace cranberrydock::standins
