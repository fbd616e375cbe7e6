// The users' platform on loopback, written from its published protocol: the store with its feed,
// the placement adviser, and worker VMs that run simulated tasks in real time. Runs on a thread of
// its own; everything is judged.
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
    // How the daemons reach what listens here; empty: directly.
    std::function<net::endpoint(const net::endpoint&)> through;
    // Whether each run of the task fails; empty: none does.
    std::function<bool(const fleet::task_ref&)> fails;
    // Of the VMs' clocks, in turn: how fast they run. Empty: all at 1.
    std::vector<double> clock_rates;
};

enum class store_mode {
    serves,
    refuses,  // 503: nothing is done
    silent,   // takes calls and never answers
};

class shared_site {
public:
    explicit shared_site(const shared_site_plan& plan);
    ~shared_site();
    shared_site(const shared_site&) = delete;
    shared_site& operator=(const shared_site&) = delete;

    net::endpoint store() const;
    net::endpoint adviser() const;

    // Puts a row of the operator's or the members', as the platform itself does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void set_store(store_mode mode);
    // The next transactions are done and their answers are lost.
    void lose_answers(int count);
    void crash_vm(int index);
    // The VM's process ends and does not come back; its entry stays.
    void end_vm(int index);
    // The VM takes calls and answers none.
    void silence_vm(int index);
    void forget_history();
    // Takes the VMs' entries, but the first one's, out of the list of members, or puts them back.
    void list_vms(bool listed);

    // The table's changes are told to nobody, or again.
    void hold_feed(const std::string& table, bool held);

    // Value of a row; empty when there is none. Parts are looked through.
    std::string row(const std::string& table, const std::string& key);
    std::int64_t version(const std::string& table, const std::string& key);
    // Writes a row that is there anew, as a daemon would.
    void rewrite(const std::string& table, const std::string& key, const std::string& value);
    std::vector<std::string> breaches();
    // Of one job: tasks that have ended done, that run now, and starts of any.
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
