// The users' platform on loopback, written from its published protocol: the store with its feeds,
// the placement advisor, and worker VMs that run simulated tasks in real time. Runs on its own
// thread and checks every start.
#pragma once

#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::standins {

struct shared_site_plan {
    int vms = 6;
    std::int64_t vm_millicores = 8'000;
    base::milliseconds task_time{300};
    // Returns the address through which the daemons reach a listener of the platform; empty: the
    // listener's own address.
    std::function<net::endpoint(const net::endpoint&)> through;
    // True if every run of the task is to fail; empty: no run fails.
    std::function<bool(const fleet::task_ref&)> fails;
    // The rates of the VMs' clocks, assigned to the VMs in turn. Empty: 1 for all VMs.
    std::vector<double> clock_rates;
};

enum class store_mode {
    serves,
    refuses,  // answers 503 and applies nothing
    silent,   // accepts calls and never answers
};

// The member functions block until the platform's thread has carried them out.
class shared_site {
public:
    explicit shared_site(const shared_site_plan& plan);
    ~shared_site();
    shared_site(const shared_site&) = delete;
    shared_site& operator=(const shared_site&) = delete;

    net::endpoint store() const;
    net::endpoint advisor() const;

    // Writes a row of the operator or of the member list, as the platform itself does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void set_store(store_mode mode);
    // Applies the next `count` transactions without answering them.
    void lose_answers(int count);
    // The VM loses its state and restarts as another incarnation.
    void crash_vm(int index);
    // Ends the VM's process for good; its entry stays in the member list.
    void end_vm(int index);
    // The VM accepts calls and answers none.
    void silence_vm(int index);
    // The feeds lose all changes so far: followers of older versions get 410.
    void forget_history();
    // Removes the entries of all VMs but the first from the member list, or adds them again.
    void list_vms(bool listed);

    // Holds back the feed of the table, or releases it.
    void hold_feed(const std::string& table, bool held);

    // The value of a row; empty if there is no such row. Searches all partitions.
    std::string row(const std::string& table, const std::string& key);
    // The version of a row; 0 if there is no such row.
    std::int64_t version(const std::string& table, const std::string& key);
    // Overwrites an existing row, as a daemon would.
    void rewrite(const std::string& table, const std::string& key, const std::string& value);
    // One description for each broken promise.
    std::vector<std::string> breaches();
    // Counts of one job: tasks that ended as done, tasks that run now, and all starts.
    struct job_facts {
        int done = 0;
        int running = 0;
        int starts = 0;
    };
    job_facts facts_of(const fleet::job_id& job);
    int starts();
    int store_calls();
    int watches();

private:
    struct state;
    void on_loop(const std::function<void()>& action);

    std::unique_ptr<state> state_;
    std::thread thread_;
};

}  // namespace cranberrydock::standins
