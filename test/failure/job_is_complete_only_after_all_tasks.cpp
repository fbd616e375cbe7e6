// Owners are killed and suspended, VMs crash and restart under their names, answers of the store
// are lost and its history is dropped, all in turn. A job that a daemon reports as complete must
// have run all its tasks to completion by then, and must stay complete.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iterator>
#include <set>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int daemon_count = 4;
constexpr int tasks_per_job = 6;
constexpr std::size_t max_open_jobs = 25;
constexpr base::milliseconds fault_phase{14'000};
constexpr base::milliseconds pause{700};

class faults_in_turn : public testing::Test {
public:
    faults_in_turn() : daemons(daemon_count, plan()) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }));
        EXPECT_TRUE(daemons.wait_until_ready());
    }

    static platform_site_options plan() {
        platform_site_options out;
        out.task_time = base::milliseconds(150);
        return out;
    }

    // Submits a job of two steps, the second after the first. Returns true if it was accepted.
    bool submit(int daemon, int job) {
        const json step = {{"count", tasks_per_job / 2}, {"cpu", 1'000}, {"memMb", 10}};
        json second = step;
        second["after"] = {0};
        const json body = {{"spec", "work"}, {"phases", {step, second}}};
        return daemons.call(daemon, "POST", "/urgent/" + job_id_text(job), body.dump()).status ==
               ok;
    }

    std::string reported_state(int daemon, int job) {
        const auto reply = daemons.call(daemon, "GET", "/urgent/" + job_id_text(job));
        return reply.status == ok ? reply.body.at("state").get<std::string>() : std::string();
    }

    int done_tasks_of(int job) {
        return daemons.site().counts_of(fleet::job_id(job_id_text(job))).done;
    }

    // Injects one fault. Daemon 0 is never killed or suspended, since it answers the callers.
    void inject(int fault) {
        const int owner = daemons.owner_index();
        switch (fault % 5) {
            case 0:
                if (owner > 0) {
                    daemons.kill(owner);
                    std::this_thread::sleep_for(pause);
                    daemons.start(owner);
                }
                break;
            case 1:
                daemons.site().crash_vm(fault % platform_site_options{}.vms);
                break;
            case 2:
                daemons.site().lose_answers(4);
                break;
            case 3:
                daemons.site().truncate_feed_history();
                break;
            default:
                if (owner > 0) {
                    daemons.signal(owner, SIGSTOP);
                    std::this_thread::sleep_for(pause * 2);
                    daemons.signal(owner, SIGCONT);
                }
                break;
        }
    }

    fleet_cluster daemons;
};

TEST_F(faults_in_turn, job_is_complete_only_after_all_tasks) {
    std::atomic<bool> stopping{false};
    std::set<std::string> errors;
    int complete_reports = 0;
    std::set<int> accepted;
    std::set<int> open;
    std::set<int> complete;
    std::thread caller([&] {
        for (int job = 0; !stopping; ++job) {
            if (open.size() < max_open_jobs && submit(0, job)) {
                accepted.insert(job);
                open.insert(job);
            }
            auto polled = open;
            std::copy_if(complete.begin(), complete.end(), std::inserter(polled, polled.end()),
                         [&](int it) { return it % 10 == job % 10; });
            for (const int it : polled) {
                const std::string state = reported_state(0, it);
                if (state == "complete") {
                    ++complete_reports;
                    open.erase(it);
                    complete.insert(it);
                    if (done_tasks_of(it) < tasks_per_job) {
                        errors.insert("job " + std::to_string(it) + " is complete too early");
                    }
                } else if (!state.empty() && complete.count(it) > 0) {
                    errors.insert("job " + std::to_string(it) + " was complete, is " + state);
                }
            }
        }
    });
    const base::monotonic_clock clock;
    const auto end = clock.now() + fault_phase;
    for (int fault = 0; clock.now() < end; ++fault) {
        inject(fault);
        std::this_thread::sleep_for(pause);
    }
    stopping = true;
    caller.join();
    daemons.site().lose_answers(0);
    for (const int it : accepted) {
        EXPECT_TRUE(wait_until([&] { return reported_state(0, it) == "complete"; }))
            << "job " << it;
        EXPECT_EQ(done_tasks_of(it), tasks_per_job) << "job " << it;
    }
    EXPECT_EQ(errors, std::set<std::string>{});
    RecordProperty("jobs", static_cast<int>(accepted.size()));
    EXPECT_GT(complete_reports, static_cast<int>(max_open_jobs));
    RecordProperty("complete_told", complete_reports);
    for (const auto& it : daemons.site().violations()) {
        ADD_FAILURE() << it;
    }
}

}  // namespace
