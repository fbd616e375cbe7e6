// Simulates the scheduler with its VMs, the placement advisor and changing owners in simulated
// time. Commands, reports and queries take time. While faults occur they are also lost, late or
// refused, VMs crash, leave or become unreachable, and owners and configurations change. Records
// tasks that wait although there is room for them.
#pragma once

#include <cranberrydock/fleet/scheduler.hpp>

#include "fleet_vm.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct faulty_fleet_options {
    std::uint32_t seed = 0;
    int vms = 16;
    base::resources vm_capacity;
    // The share of the VMs that the advisor grants to a step. The set of a step does not change.
    double granted_share = 0.5;
    base::milliseconds ticket_lifetime{2'500};
    // How long a task with room may wait.
    base::milliseconds longest_wait{3'000};
};

class faulty_fleet {
public:
    explicit faulty_fleet(const faulty_fleet_options& options);

    void configure(fleet::fleet_configuration configuration);
    // Runs of the job's tasks take this long.
    void submit(const fleet::job_spec& job, base::milliseconds run_time);
    void set_faults(bool enabled) { faults_ = enabled; }
    void run_for(base::milliseconds time);

    // Faults, each at the current time. They apply whether or not faults are enabled.
    void crash_vm(std::size_t index);
    void disconnect_vm(std::size_t index, base::milliseconds time);
    void remove_vm(std::size_t index);
    void add_vm();
    // The owner dies with its unsaved progress. The next one loads the saved progress.
    void replace_owner();

    std::size_t vm_count() const { return nodes_.size(); }
    // One description for each task that waited too long beside room, since the last call of
    // forget_waits().
    const std::vector<std::string>& violations() const { return violations_; }
    void forget_waits();
    bool all_ended(const fleet::customer_name& customer) const;
    int start_count() const { return start_count_; }

private:
    struct node {
        std::unique_ptr<fleet_vm> vm;
        std::size_t number = 0;  // for the advisor
        bool present = true;
        base::time_point disconnected_until{};
        // The owner's session.
        base::time_point lease_until{};  // the latest lease that was sent
        fleet::boot_time boot;           // of the last report; 0: none
        bool lost = false;
        std::uint64_t session = 0;
        // The owner's quarantine of VMs on which tasks of several jobs failed in succession.
        fleet::completion_number last_completion;
        std::set<fleet::job_id> failed_jobs;
        base::time_point quarantined_until{};

        void forget_failures() {
            last_completion = {};
            failed_jobs.clear();
            quarantined_until = {};
        }
    };
    struct job_entry {
        fleet::job_spec spec;
        base::milliseconds run_time{0};
    };

    fleet::clock_reading now() const;
    void step();
    void after(base::milliseconds delay, std::function<void()> action);
    // Does nothing if the owner has changed since.
    void after_for_owner(base::milliseconds delay, std::function<void()> action);
    base::milliseconds delay();
    bool draw(double probability);
    node* find(const fleet::vm_id& vm);
    bool reaches(const node& target) const;
    std::unique_ptr<fleet_vm> make_vm();
    task_behavior behavior_of(const fleet::task_ref& task, fleet::run_number run);

    void start_owner();
    void send_start(const fleet::start_decision& decision);
    void send_stop(const fleet::stop_decision& decision);
    void send_query(const fleet::placement_query& query);
    void send_watch(node& watched);
    void on_watch_failed(const fleet::vm_id& vm, std::uint64_t session);
    void on_report(const fleet::vm_id& vm, std::uint64_t session, const fleet::vm_report& report,
                   base::time_point requested_at);
    void count_failures(node& reporting, const fleet::vm_report& report) const;
    void check_inherited_runs();
    bool grants(const fleet::step_ref& step, const node& vm) const;
    std::string ticket_for(const fleet::step_ref& step, const node& vm) const;
    bool needs_ticket(const fleet::job_id& job) const;
    void advance_gangs();
    void save();
    void check_waits();
    std::string reason_of(const fleet::task_ref& task);
    std::optional<std::string> room_for(const job_entry& job, int step, bool gang) const;

    faulty_fleet_options options_;
    std::mt19937 random_;
    base::metrics metrics_;
    base::time_point time_{base::seconds(100)};
    bool faults_ = false;
    std::multimap<base::time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::size_t created_vms_ = 0;
    std::unique_ptr<fleet::scheduler> scheduler_;
    fleet::fencing_token owner_{0};
    base::time_point owner_since_{};
    bool inherited_known_ = false;
    int open_queries_ = 0;
    int open_long_queries_ = 0;
    std::shared_ptr<const fleet::fleet_configuration> configuration_;
    std::set<fleet::queue_name> queues_with_advice_;
    std::map<fleet::job_id, job_entry> jobs_;
    std::map<fleet::job_id, fleet::job_progress> saved_;
    std::set<fleet::task_ref> done_;  // saved
    std::map<std::pair<fleet::step_ref, fleet::run_number>, base::milliseconds> gang_time_;
    std::map<std::pair<fleet::step_ref, fleet::run_number>, base::time_point> gang_since_;
    std::map<fleet::task_ref, base::time_point> waits_since_;
    std::set<fleet::task_ref> reported_waits_;
    std::vector<std::string> violations_;
    int start_count_ = 0;
};

}  // namespace cranberrydock::standins
