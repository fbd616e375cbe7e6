// Several ownership machines against one model of the table service, in simulated time: delays,
// lost answers of commits that were applied, never applied or applied late, outages, pauses of a
// process, restarts under new ids, lost messages and clocks of different speed. It judges at every
// step that nobody shares a cell.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include "table_model.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>

namespace cranberrydock::standins {

enum class fault_kind {
    freeze,         // the process `who` stands still
    replace,        // killed; another starts on a new VM
    restart,        // killed; another starts on the same VM
    stop,           // graceful stop, then another starts
    store_down,     // for all
    store_cut,      // for `who` alone
    store_slow,     // for all
    writes_slow,    // for all: commits reach the store late, scans don't
    lossy_answers,  // of commits, for all
    mesh_cut,       // for `who`
    mesh_lossy,     // promises and questions get lost, for all
};

struct fault {
    fault_kind kind = fault_kind::freeze;
    std::size_t who = 0;
    base::milliseconds at{0};
    base::milliseconds lasting{0};
};

std::ostream& operator<<(std::ostream& out, const fault& one);

struct ownership_world_settings {
    std::size_t daemons = 3;
    std::size_t cells = 3;
    std::uint64_t seed = 1;
};

class ownership_world {
public:
    explicit ownership_world(const ownership_world_settings& settings);

    void add(const fault& one);

    // Runs until that time since the beginning.
    void run_until(base::milliseconds end);

    // What was seen that must not be; empty when all is well.
    const std::vector<std::string>& breaches() const { return breaches_; }

    // When the last fault that was added so far ends, with its late effects.
    base::milliseconds faults_end() const;

    // Cells in which no daemon may place.
    std::size_t cells_without_owner() const;
    // Changes of owner by lapse, that is from one daemon directly to another.
    std::size_t takeovers() const { return takeovers_; }
    std::size_t handovers() const { return handovers_; }
    // The longest time from an offer's commit to the next owner's.
    base::milliseconds longest_handover() const;
    std::size_t stops_finished() const { return stops_finished_; }
    // Moments (cell and step) at which nobody could place, since the last call.
    std::size_t moments_without_owner() { return std::exchange(moments_without_owner_, 0); }
    std::string owners() const;
    // The place (fault::who) of the daemon that owns the cell of that index.
    std::size_t owner_of(std::size_t cell) const;

private:
    using micros = base::duration;

    struct daemon {
        std::size_t slot = 0;
        cell::ownership_settings settings;
        std::unique_ptr<cell::ownership> machine;
        double rate = 1.0;
        micros offset{0};
        bool frozen = false;
        std::deque<cell::ownership_event> inbox;  // while frozen
    };
    using daemon_ptr = std::shared_ptr<daemon>;

    void start(std::size_t slot, bool new_vm);
    void end(std::size_t slot);
    void begin_fault(const fault& one);
    void end_fault(const fault& one);
    void after(micros delay, std::function<void()> action);

    void deliver(const daemon_ptr& to, const cell::ownership_event& event);
    void handle(const daemon_ptr& to, const cell::ownership_event& event);
    void apply(const daemon_ptr& from, const cell::ownership_effect& effect);
    void scan(const daemon_ptr& from, const cell::scan_registry& what);
    void commit(const daemon_ptr& from, const cell::commit& what);
    void ask(const daemon_ptr& from, const cell::ask_silence& what);
    void answer(const daemon_ptr& from, const cell::promise_silence& what);
    void heartbeat(const daemon_ptr& from);
    void tick(const daemon_ptr& to);
    void list_members();

    tl::expected<platform::commit_result, platform::store_error> commit_judged(
        const platform::transaction& what);
    void judge_row(const platform::row& row);
    void judge_moment();

    base::time_point clock_of(const daemon& one) const;
    bool is_running(const daemon_ptr& one) const;
    bool store_reached(const daemon_ptr& from) const;
    bool mesh_reached(const daemon_ptr& from, const daemon_ptr& to) const;
    daemon_ptr find(const base::daemon_id& id) const;
    bool chance(double probability);
    micros random_delay(base::milliseconds least, base::milliseconds most);

    ownership_world_settings settings_;
    std::mt19937_64 random_;
    table_model table_;
    micros now_{0};
    micros late_effects_end_{0};
    std::multimap<micros, std::function<void()>> agenda_;
    std::vector<daemon_ptr> daemons_;  // by slot; null when none runs
    std::vector<cell::known_cell> cells_;
    std::vector<fault> faults_;
    std::map<fault_kind, int> active_;
    std::map<std::pair<fault_kind, std::size_t>, int> active_at_;
    std::vector<int> runs_;  // of each slot
    std::vector<int> vms_;   // of each slot
    struct listing {
        micros at{0};
        std::vector<base::vm_id> live;
    };
    std::deque<listing> listings_;
    struct question {
        daemon_ptr asker;
        cell::operation_id operation;
    };
    std::map<std::int64_t, question> questions_;
    std::int64_t calls_ = 0;

    std::map<base::cell_id, cell::cell_row> rows_;  // as last committed
    std::map<base::cell_id, micros> offered_at_;
    std::set<std::string> gained_;  // "CELL EPOCH"
    std::vector<std::string> breaches_;
    std::size_t takeovers_ = 0;
    std::size_t handovers_ = 0;
    std::size_t stops_finished_ = 0;
    std::size_t moments_without_owner_ = 0;
    micros longest_handover_{0};
};

}  // namespace cranberrydock::standins
