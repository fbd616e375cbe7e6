// Simulates several ownership machines against one model of the table service. The faults are
// delays, lost answers of commits that were applied, never applied or applied late, store outages,
// suspended processes, restarts under new ids, lost messages and clocks of different speed. Each
// step checks that no two daemons may place tasks in one cell.
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
    suspend,        // the process `who` is suspended
    replace,        // `who` is killed; another process starts on a new VM
    restart,        // `who` is killed; another process starts on the same VM
    stop,           // `who` stops gracefully, then another process starts on a new VM
    store_down,     // no daemon reaches the store
    store_cut,      // `who` does not reach the store
    store_slow,     // the store receives all calls late, and its answers arrive late
    writes_slow,    // commits of all daemons reach the store late, scans do not
    lossy_answers,  // answers to commits of all daemons get lost
    mesh_cut,       // `who` exchanges no messages with other daemons
    mesh_lossy,     // hold-off requests and answers of all daemons get lost
};

struct fault {
    fault_kind kind = fault_kind::suspend;
    std::size_t daemon = 0;  // the slot of the daemon
    base::milliseconds start_time{0};
    base::milliseconds duration{0};
};

std::ostream& operator<<(std::ostream& out, const fault& injected);

struct ownership_simulation_settings {
    std::size_t daemons = 3;
    std::size_t cells = 3;
    std::uint64_t seed = 1;
};

class ownership_simulation {
public:
    explicit ownership_simulation(const ownership_simulation_settings& settings);

    void add(const fault& injected);

    // Runs until `end` after the beginning of the simulation.
    void run_until(base::milliseconds end);

    // The violations found so far, one text each.
    const std::vector<std::string>& violations() const { return violations_; }

    // The time at which all faults added so far have ended and all late commits were applied.
    base::milliseconds last_fault_end() const;

    // Cells in which no daemon may place tasks.
    std::size_t unowned_cell_count() const;
    // Changes of owner directly from one daemon to another, after the ownership has expired.
    std::size_t takeover_count() const { return takeover_count_; }
    // Changes of owner by an offer of the previous owner.
    std::size_t handover_count() const { return handover_count_; }
    // The longest time from an offer's commit to the next owner's.
    base::milliseconds longest_handover() const;
    std::size_t finished_stop_count() const { return finished_stop_count_; }
    // How often a step found a cell in which no daemon could place tasks, since the last call.
    std::size_t take_unowned_observations() { return std::exchange(unowned_observations_, 0); }
    // The last committed epoch and owner of each cell.
    std::string describe_owners() const;
    // The slot (fault::who) of the daemon that owns the cell of that index.
    std::size_t owner_of(std::size_t cell) const;

private:
    using micros = base::duration;

    struct daemon_process {
        std::size_t slot = 0;
        cell::ownership_settings settings;
        std::unique_ptr<cell::ownership> machine;
        double clock_rate = 1.0;
        micros clock_offset{0};
        bool suspended = false;
        std::deque<cell::ownership_event> inbox;  // events received while suspended
    };
    using daemon_ptr = std::shared_ptr<daemon_process>;

    void start_process(std::size_t slot, bool new_vm);
    void end_process(std::size_t slot);
    void begin_fault(const fault& injected);
    void end_fault(const fault& injected);
    void after(micros delay, std::function<void()> action);

    void deliver(const daemon_ptr& recipient, const cell::ownership_event& event);
    void handle(const daemon_ptr& recipient, const cell::ownership_event& event);
    void apply(const daemon_ptr& sender, const cell::ownership_effect& effect);
    void scan(const daemon_ptr& sender, const cell::scan_registry& request);
    void commit(const daemon_ptr& sender, const cell::commit& request);
    void send_hold_off_requests(const daemon_ptr& sender, const cell::request_hold_off& request);
    void send_hold_off_answer(const daemon_ptr& sender, const cell::answer_hold_off& promise);
    void heartbeat(const daemon_ptr& sender);
    void tick(const daemon_ptr& recipient);
    void publish_members();

    tl::expected<platform::commit_result, platform::store_error> commit_and_check(
        const platform::transaction& committed);
    void check_row(const platform::row& row);
    void check_placement();

    base::time_point clock_of(const daemon_process& daemon) const;
    bool is_running(const daemon_ptr& daemon) const;
    bool reaches_store(const daemon_ptr& sender) const;
    bool reaches_on_mesh(const daemon_ptr& sender, const daemon_ptr& recipient) const;
    daemon_ptr find(const base::daemon_id& id) const;
    bool chance(double probability);
    micros random_delay(base::milliseconds least, base::milliseconds most);

    ownership_simulation_settings settings_;
    std::mt19937_64 random_;
    table_model table_;
    micros now_{0};
    micros late_effects_end_{0};
    std::multimap<micros, std::function<void()>> event_queue_;
    std::vector<daemon_ptr> daemons_;  // by slot; null while no process runs
    std::vector<cell::configured_cell> cells_;
    std::vector<fault> faults_;
    std::map<fault_kind, int> active_faults_;
    std::map<std::pair<fault_kind, std::size_t>, int> active_faults_at_;
    std::vector<int> runs_;  // processes started so far, by slot
    std::vector<int> vms_;   // VMs used so far, by slot
    struct member_listing {
        micros at{0};
        std::vector<base::vm_id> live;
    };
    std::deque<member_listing> listings_;
    struct pending_request {
        daemon_ptr requester;
        cell::operation_id operation;
    };
    std::map<std::int64_t, pending_request> pending_requests_;
    std::int64_t last_call_ = 0;

    std::map<base::cell_id, cell::cell_row> rows_;  // as last committed
    std::map<base::cell_id, micros> offered_at_;
    std::set<std::string> gained_;  // "CELL EPOCH"
    std::vector<std::string> violations_;
    std::size_t takeover_count_ = 0;
    std::size_t handover_count_ = 0;
    std::size_t finished_stop_count_ = 0;
    std::size_t unowned_observations_ = 0;
    micros longest_handover_{0};
};

}  // namespace cranberrydock::standins
