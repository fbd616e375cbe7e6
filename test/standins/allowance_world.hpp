// Keepers of several cells against one model of the table service, with VMs that fence: owners that
// change while the old one goes on acting, answers that are lost, limits that each keeper hears of
// at its own time. It judges each start when it is sent.
#pragma once

#include <cranberrydock/cell/allowance_keeper.hpp>

#include "table_model.hpp"

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct allowance_world_settings {
    std::uint64_t seed = 1;
    std::size_t cells = 3;
    std::int64_t first_limit = 12;
};

class allowance_world {
public:
    explicit allowance_world(const allowance_world_settings& settings);

    // One random step: time passes, a message arrives, a task starts or ends, a fault happens.
    void step();
    void stop_faults() { faults_ = false; }
    // Every cell has work without end, and few tasks end.
    void demand_everything();

    const std::vector<std::string>& breaches() const { return breaches_; }
    std::int64_t running() const;
    std::int64_t running_in(std::size_t cell) const;
    std::int64_t limit() const { return limit_; }
    std::size_t starts() const { return starts_; }

private:
    struct vm {
        std::int64_t epoch = 0;  // the highest seen
        std::int64_t running = 0;
    };
    struct keeper {
        std::size_t cell = 0;
        std::int64_t epoch = 0;
        std::int64_t limit = 0;  // as it knows it
        std::int64_t queued = 0;
        std::vector<bool> heard;
        std::vector<std::int64_t> believed;  // running on each VM heard, starts under way included
        std::unique_ptr<cell::allowance_keeper> machine;
    };
    using keeper_ptr = std::shared_ptr<keeper>;
    struct start {
        keeper_ptr from;
        std::size_t vm = 0;
    };
    struct request {
        keeper_ptr from;
        cell::allowance_effect what;
        bool answered_already = false;  // its answer was lost; it is applied late
    };

    struct answer {
        keeper_ptr to;
        cell::allowance_event event;
    };

    void change_owner(std::size_t cell);
    void retire();
    void tell_demand(const keeper_ptr& one);
    void tell_limit(const keeper_ptr& one);
    void feed(const keeper_ptr& one, const cell::allowance_event& event);
    void send_start(const keeper_ptr& one);
    void deliver_start();
    void serve_request();
    void deliver_answer();
    void hello(const keeper_ptr& one);
    void report(const keeper_ptr& one);
    void finish_task();
    std::int64_t committed_slots() const;
    std::size_t pick(std::size_t n);
    // The oldest, when there are no faults.
    template <typename T>
    typename std::list<T>::iterator any_of(std::list<T>& list) {
        return std::next(list.begin(),
                         static_cast<std::ptrdiff_t>(faults_ ? pick(list.size()) : 0));
    }
    bool chance(double probability);
    base::time_point now() const { return base::time_point(base::milliseconds(now_)); }

    std::mt19937_64 random_;
    table_model table_;
    std::int64_t now_ = 0;  // milliseconds
    std::int64_t limit_;
    bool faults_ = true;
    bool endless_ = false;
    bool store_down_ = false;
    std::vector<std::vector<vm>> vms_;  // by cell
    std::vector<std::int64_t> epochs_;  // by cell
    std::vector<keeper_ptr> keepers_;   // the newest of each cell first, then the replaced
    std::list<start> starts_under_way_;
    std::list<request> requests_;
    std::list<answer> answers_;
    std::vector<std::string> breaches_;
    std::size_t starts_ = 0;
};

}  // namespace cranberrydock::standins
