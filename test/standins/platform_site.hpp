// The users' platform on loopback, written from its published protocol: the store with its feeds,
// the placement advisor, and worker VMs that run simulated tasks in real time. Runs on its own
// thread and checks every start.
#pragma once

#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include "fleet_vm.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::standins {

struct site_zone {
    std::string name;
    std::string region;
};

struct platform_site_options {
    int vms = 6;
    // The VMs and the daemons are assigned to the zones in turn.
    std::vector<site_zone> zones{{"z", "r"}};
    int vms_per_rack = 0;  // 0: all VMs are on one rack
    std::int64_t vm_millicores = 8'000;
    base::milliseconds task_time{300};
    // How long a VM takes to end runs that are stopped or whose lease has expired, and the bound on
    // it in the daemons' settings.
    base::milliseconds stop_time{0};
    base::milliseconds max_stop_time{400};
    // VMs shorten longer leases to this, whichever incarnation a command was meant for.
    base::milliseconds max_lease{6'000};
    // The stop times of the VMs, assigned to the VMs in turn. Empty: stop_time for all VMs.
    std::vector<base::milliseconds> stop_times;
    // Returns the address through which the daemons reach a listener of the platform; empty: the
    // listener's own address.
    std::function<net::endpoint(const net::endpoint&)> route;
    // True if every run of the task is to fail; empty: no run fails.
    std::function<bool(const fleet::task_ref&)> task_fails;
    // How the runs of a task behave; empty: as task_time and task_fails say.
    std::function<task_behavior(const fleet::task_ref&)> behavior;
    // A VM keeps the address that `route` returned when it restarts.
    bool keep_vm_addresses = false;
    // The rates of the VMs' clocks, assigned to the VMs in turn. Empty: 1 for all VMs.
    std::vector<double> clock_rates;
    std::size_t max_row_bytes = 65'536;  // the store rejects transactions with a larger row
    // True for a row that the store rejects; empty: it rejects none.
    std::function<bool(const std::string& table, const std::string& key)> rejects_row;
};

// Which of its commands a VM holds up. They are carried out later and never answered.
enum class command_delay {
    none,
    some,  // every other start and stop
    all,
};

enum class store_mode {
    serves,
    refuses,       // answers 503 and applies nothing
    unresponsive,  // accepts calls and never answers
};

// The time from the end of a task's latest run to its next start, over all such starts.
struct restart_distance {
    int restarts = 0;
    base::milliseconds closest{0};  // if there are any
    std::string closest_vms;        // of the earlier run and of the next one
};

// All times are exact to 2 ms, by the VMs' clocks, except that gangs complete and break up in steps
// of 10 ms.
struct restart_distances {
    restart_distance all;
    restart_distance lapsed;  // the earlier run's lease had expired
    // The same, if its VM had sent the starting owner no report since the end of the run and had
    // not restarted: only time could prove the end.
    restart_distance lapsed_unreported;
};

// The member functions block until the platform's thread has carried them out.
class platform_site {
public:
    explicit platform_site(const platform_site_options& plan);
    ~platform_site();
    platform_site(const platform_site&) = delete;
    platform_site& operator=(const platform_site&) = delete;

    net::endpoint store() const;
    net::endpoint advisor() const;

    // Writes a row of the operator or of the member list, as the platform itself does.
    void put_row(const std::string& table, const std::string& key, const std::string& value);
    void set_store_mode(store_mode mode);
    // Applies the next `count` transactions without answering them.
    void lose_answers(int count);
    // The VM loses its state and restarts as another incarnation.
    void crash_vm(int index);
    // Changes the VM's capacity under its runs, and its entry. The VM starts what it is told to.
    void set_vm_capacity(int index, std::int64_t millicores);
    // How often a VM has crashed under the task because of it (task_behavior::crashes_vm_after).
    int crash_count(const fleet::task_ref& task);
    // The same, and another VM takes its place, under another name and the same address.
    void replace_vm(int index);
    // Ends the VM's process for good; its entry stays in the member list.
    void stop_vm_process(int index);
    // The VM accepts calls and answers none, until it is made responsive again.
    void make_vm_unresponsive(int index);
    void make_vm_responsive(int index);
    // While set, the VM's address resets open connections and refuses new ones. The VM runs on.
    void set_vm_refuses_connections(int index, bool refuses);
    // Removes the VM's entry from the member list, or adds it again.
    void set_vm_listed(int index, bool listed);
    // Holds up commands to the VM, or carries out in order those that were held up.
    void set_vm_command_delay(int index, command_delay delay);
    // The VM loses its state and restarts, and its entry in the member list stays as it was.
    void restart_vm_unlisted(int index);
    // The VM's process is late for this time: it carries out no command and ends no run, and then
    // catches up. Shortened, so that runs end within max_stop_time.
    void hold_up_vm(int index, base::milliseconds time);
    // Whether the VM runs any task.
    bool vm_is_busy(int index);
    // All VMs, those first whose runs still take longest.
    std::vector<int> vms_by_remaining_time();
    // The feeds lose all changes so far: followers of older versions get 410.
    void truncate_feed_history();
    // Removes the entries of all VMs but the first from the member list, or adds them again.
    void set_vms_listed(bool listed);

    // Holds back the feed of the table, or releases it.
    void set_feed_held(const std::string& table, bool held);

    // The value of a row; empty if there is no such row. Searches all partitions.
    std::string row_value(const std::string& table, const std::string& key);
    // The version of a row; 0 if there is no such row.
    std::int64_t row_version(const std::string& table, const std::string& key);
    // Overwrites an existing row, as a daemon would.
    void rewrite_row(const std::string& table, const std::string& key, const std::string& value);
    // One description for each broken promise.
    std::vector<std::string> violations();
    restart_distances closest_restarts();
    // Counts of one job: tasks that ended as done, tasks that run now, and all starts.
    struct job_counts {
        int done = 0;
        int running = 0;
        int starts = 0;
    };
    job_counts counts_of(const fleet::job_id& job);
    int start_count();
    int store_call_count();
    int watch_count();

private:
    struct state;
    void on_loop(const std::function<void()>& action);

    std::unique_ptr<state> state_;
    std::thread thread_;
};

}  // namespace cranberrydock::standins
