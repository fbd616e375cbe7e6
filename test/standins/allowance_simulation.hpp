// Simulates the allowance machines of several cells against one model of the table service. A
// replaced owner goes on acting for a while, the VMs refuse commands of lower epochs, answers get
// lost, and each owner learns of a new limit at a time of its own. Each start is checked against
// the team's limit when it is sent.
#pragma once

#include <cranberrydock/cell/allowance_manager.hpp>

#include "table_model.hpp"

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct allowance_simulation_settings {
    std::uint64_t seed = 1;
    std::size_t cells = 3;
    std::int64_t first_limit = 12;
};

class allowance_simulation {
public:
    explicit allowance_simulation(const allowance_simulation_settings& settings);

    // One random step: time passes, a message arrives, a task starts or ends, a fault happens.
    void step();
    void stop_faults() { faults_ = false; }
    // From now on every cell has more queued tasks than it has slots, and few tasks end.
    void set_unlimited_demand();

    // One line for each start that exceeded the limit.
    const std::vector<std::string>& violations() const { return violations_; }
    // Slots in use on all VMs, or on those of one cell.
    std::int64_t running_slots() const;
    std::int64_t running_slots_in(std::size_t cell) const;
    std::int64_t limit() const { return limit_; }
    std::size_t starts() const { return starts_; }

private:
    struct vm {
        std::int64_t epoch = 0;  // the highest one received
        std::int64_t running = 0;
    };
    struct cell_owner {
        std::size_t cell = 0;
        std::int64_t epoch = 0;
        std::int64_t limit = 0;  // as last sent to this owner
        std::int64_t queued = 0;
        std::vector<bool> reported;  // by VM: a report was received
        // By VM: the running tasks as reported, and pending starts.
        std::vector<std::int64_t> assumed_running;
        std::unique_ptr<cell::allowance_manager> machine;
    };
    using cell_owner_ptr = std::shared_ptr<cell_owner>;
    struct start {
        cell_owner_ptr from;
        std::size_t vm = 0;
    };
    struct request {
        cell_owner_ptr from;
        cell::allowance_effect effect;
        bool is_late_effect = false;  // its answer was lost; the commit is applied late
    };

    struct answer {
        cell_owner_ptr to;
        cell::allowance_event event;
    };

    void replace_owner(std::size_t cell);
    void retire_replaced_owner();
    void send_demand(const cell_owner_ptr& owner);
    void send_limit(const cell_owner_ptr& owner);
    void feed(const cell_owner_ptr& owner, const cell::allowance_event& event);
    void send_start(const cell_owner_ptr& owner);
    void deliver_start();
    void serve_request();
    void deliver_answer();
    void receive_first_report(const cell_owner_ptr& owner);
    void receive_report(const cell_owner_ptr& owner);
    void finish_task();
    std::int64_t committed_slots() const;
    std::size_t pick(std::size_t n);
    // A random element; the oldest if faults are off.
    template <typename T>
    typename std::list<T>::iterator pick_element(std::list<T>& list) {
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
    bool unlimited_demand_ = false;
    bool store_down_ = false;
    std::vector<std::vector<vm>> vms_;  // by cell
    std::vector<std::int64_t> epochs_;  // by cell
    // The current owner of each cell first, then the replaced owners that still act.
    std::vector<cell_owner_ptr> owners_;
    std::list<start> pending_starts_;
    std::list<request> requests_;
    std::list<answer> answers_;
    std::vector<std::string> violations_;
    std::size_t starts_ = 0;
};

}  // namespace cranberrydock::standins
