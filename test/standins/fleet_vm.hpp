// A worker VM of the fleet as a plain value: obeys fences and leases, runs tasks in simulated time,
// and keeps its ends until they are acknowledged.
#pragma once

#include <cranberrydock/fleet/vm_control.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

// What the work of a test does once it has started.
struct fleet_task_plan {
    base::milliseconds runs_for{100};
    bool fails = false;
    std::size_t gang = 0;  // of so many members; 0: none
    base::resources need;
};

class fleet_vm {
public:
    using plan = std::function<fleet_task_plan(const fleet::task_ref&, fleet::run_number)>;

    fleet_vm(fleet::vm_facts facts, plan work) : facts_(std::move(facts)), plan_(std::move(work)) {}

    const fleet::vm_facts& facts() const { return facts_; }

    tl::expected<fleet::vm_time, fleet::order_failure> start(fleet::fence owner,
                                                             const fleet::start_order& order);
    tl::expected<fleet::vm_time, fleet::order_failure> stop(fleet::fence owner,
                                                            const fleet::task_ref& task,
                                                            fleet::run_number run);
    tl::expected<fleet::vm_report, fleet::order_failure> watch(fleet::fence owner,
                                                               const fleet::watch_order& order);

    // Ends that no owner has acknowledged.
    const std::vector<fleet::task_end>& unacknowledged() const { return ends_; }
    // Whether its leases have run out.
    bool lapsed() const { return now_ > lease_; }

    void advance(base::milliseconds by);
    // Loses everything and comes back as another incarnation.
    void crash();

    struct run {
        fleet::run_number number;
        base::milliseconds left{0};
        fleet_task_plan plan;
    };
    const std::map<fleet::task_ref, run>& running() const { return running_; }
    // Ends a run from outside, as when another member of its gang has ended.
    void end(const fleet::task_ref& task, fleet::end_kind kind);

private:
    fleet::vm_facts facts_;
    plan plan_;
    fleet::vm_time now_{1'000};
    fleet::fence fence_;
    fleet::vm_time lease_;
    std::map<fleet::task_ref, run> running_;
    std::map<fleet::task_ref, fleet::run_number> highest_ended_;  // or stopped before it came
    std::vector<fleet::task_end> ends_;
    fleet::end_number last_end_;
};

}  // namespace cranberrydock::standins
