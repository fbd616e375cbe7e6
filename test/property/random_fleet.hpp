// A fleet with random faults, followed by time without any, in which each task that has room has to
// start within a bound. A task has room if its step fits twice over on VMs that its advisor grants,
// less than half of the capacity is in use and its customer uses less than half of its limit.
#pragma once

#include "standins/faulty_fleet.hpp"
#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace cranberrydock::test {

using namespace cranberrydock::standins;

// The second is for work that waits for more than the fleet has.
constexpr std::int64_t large_vm_cores = 64'000;
constexpr std::int64_t small_vm_cores = 8'000;
constexpr base::milliseconds lease{4'500};
constexpr base::milliseconds quarantine{4'000};
constexpr base::milliseconds ticket_lifetime{2'500};
constexpr base::milliseconds command_time{700};  // of a command whose answer is lost
// By then the leases that were sent to lost VMs and the quarantines have ended, and an unanswered
// start has been repeated twice and stopped.
constexpr base::milliseconds settling_time = std::max(lease, quarantine) + 4 * command_time;
// A query may have to wait for one that is open, and the tickets of other VMs may have to expire.
constexpr base::milliseconds query_time{500};
constexpr base::milliseconds longest_wait = ticket_lifetime + query_time;

class random_fleet {
public:
    random_fleet(std::uint32_t seed, bool with_backlog)
        : random_(seed), with_backlog_(with_backlog), simulation_(options(seed)) {}

    faulty_fleet& simulation() { return simulation_; }

    void run() {
        limit_ = pick(0, 1) * static_cast<std::int64_t>(vm_count_) * vm_cores();
        simulation_.configure(configuration(true, limit_));
        simulation_.run_for(base::milliseconds(500));
        if (with_backlog_) {
            add_backlog();
        }
        simulation_.set_faults(true);
        for (int i = 0; i < 300; ++i) {
            disturb();
            simulation_.run_for(base::milliseconds(20));
        }
        simulation_.set_faults(false);
        simulation_.configure(configuration(pick(0, 3) != 0, limit_));
        simulation_.run_for(settling_time);
        simulation_.forget_waits();
        for (int i = 0; i < 10; ++i) {
            if (pick(0, 2) == 0) {
                submit_job();
            }
            simulation_.run_for(base::milliseconds(800));
        }
    }

private:
    faulty_fleet_options options(std::uint32_t seed) {
        vm_count_ = pick(0, 3) == 0 ? pick(60, with_backlog_ ? 80 : 150) : pick(6, 30);
        faulty_fleet_options out;
        out.seed = seed;
        out.vms = vm_count_;
        out.vm_capacity = vm_capacity_of(vm_cores());
        out.granted_share = 0.2 + 0.1 * pick(0, 8);
        out.ticket_lifetime = ticket_lifetime;
        out.longest_wait = longest_wait;
        return out;
    }

    std::int64_t vm_cores() const { return with_backlog_ ? small_vm_cores : large_vm_cores; }

    int pick(int lowest, int highest) {
        return std::uniform_int_distribution<int>(lowest, highest)(random_);
    }

    // Jobs of a queue that has been removed go on, but no new ones are accepted.
    fleet::fleet_configuration configuration(bool with_batch, std::int64_t limit) {
        accepts_batch_ = with_batch;
        auto out = two_queue_configuration(limit);
        for (auto& it : out.queues) {
            it.terms.max_attempts = 60;
            if (it.name.str() == "batch") {
                it.query_cost = fleet::placement_query_cost{
                    base::milliseconds(40), base::microseconds(1'000), ticket_lifetime};
            }
        }
        if (!with_batch) {
            out.queues.erase(out.queues.begin() + 1);
        }
        auto other = out.customers.begin()->second;
        other.name = fleet::customer_name("other");
        other.keys = {"k2"};
        other.upper_limit.cores = base::millicores(vm_cores());
        out.customers[other.name] = other;
        out.customers_by_key["k2"] = other.name;
        return out;
    }

    fleet::job_spec job(const std::string& queue, std::vector<fleet::step_spec> steps) {
        auto out = make_job("job-" + std::to_string(job_count_++), queue, std::move(steps));
        out.terms.max_attempts = 60;
        return out;
    }

    void submit_job() {
        std::vector<fleet::step_spec> steps;
        const int step_count = pick(1, 2);
        for (int i = 0; i < step_count; ++i) {
            const bool wide = pick(0, 2) == 0;
            auto step =
                wide ? make_step(50, pick(50, 400)) : make_step(pick(1, 6), pick(200, 4'000));
            step.gang = pick(0, 3) == 0;
            step.max_per_vm = pick(0, 1) == 0 ? (wide ? 75 / vm_count_ + 1 : pick(1, 2)) : 0;
            if (i > 0 && pick(0, 1) == 0) {
                step.after = {i - 1};
            }
            steps.push_back(step);
        }
        simulation_.submit(
            job(accepts_batch_ && pick(0, 3) != 0 ? "batch" : "urgent", steps),
            pick(0, 2) == 0 ? base::seconds(20) : base::milliseconds(pick(50, 1'500)));
    }

    // Jobs of another customer that is at its limit, and gangs that no VMs can hold.
    void add_backlog() {
        const int n = pick(50, 200);
        for (int i = 0; i < n; ++i) {
            auto waiting =
                job(pick(0, 1) == 0 ? "urgent" : "batch", {make_step(pick(1, 50), 1'000)});
            waiting.customer = fleet::customer_name("other");
            simulation_.submit(waiting, base::seconds(60));
        }
        for (int i = 0; i < pick(0, 20); ++i) {
            auto step = make_step(50, vm_cores());
            step.gang = true;
            simulation_.submit(job("batch", {step}), base::seconds(1));
        }
    }

    void disturb() {
        if (pick(0, 29) == 0) {
            submit_job();
        }
        const auto vm =
            static_cast<std::size_t>(pick(0, static_cast<int>(simulation_.vm_count()) - 1));
        switch (pick(0, 120)) {
            case 0:
                simulation_.crash_vm(vm);
                break;
            case 1:
                simulation_.disconnect_vm(vm, base::milliseconds(pick(100, 2'000)));
                break;
            case 2:
                simulation_.disconnect_vm(vm, lease * 2);
                break;
            case 3:
                simulation_.remove_vm(vm);
                simulation_.add_vm();
                break;
            case 4:
                simulation_.replace_owner();
                break;
            case 5:
                simulation_.configure(configuration(pick(0, 1) == 0, limit_));
                break;
            case 6:
                simulation_.configure(configuration(true, vm_cores()));
                break;
            case 7:
                simulation_.configure(configuration(true, limit_));
                break;
            default:
                break;
        }
    }

    std::mt19937 random_;
    bool with_backlog_;
    bool accepts_batch_ = true;
    int vm_count_ = 0;
    int job_count_ = 0;
    std::int64_t limit_ = 0;
    faulty_fleet simulation_;
};

inline void check_all_start(bool with_backlog) {
    const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1'000'000'000);
    random_fleet fleet(seed, with_backlog);
    fleet.run();
    RC_LOG() << "seed " << seed << ", " << fleet.simulation().start_count() << " starts\n";
    for (const auto& it : fleet.simulation().violations()) {
        RC_FAIL(it);
    }
}

}  // namespace cranberrydock::test
