// Real daemons against the stand-in platform. A VM can't be reached for less than its lease and
// works on. Guards against its tasks being started a second time (TWICE), because its refused
// connections, its missing member entry or a change of owner were taken for their end.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int daemon_count = 3;
constexpr int vm_count = 6;
constexpr int task_count = 24;
constexpr base::milliseconds task_time{3'500};
constexpr base::milliseconds wait_timeout{30'000};
// Shorter than a lease, which is 4.5 s, and longer than it takes to detect the failure.
constexpr std::chrono::milliseconds cut_time{3'000};

platform_site_options site_options() {
    platform_site_options out;
    out.vms = vm_count;
    out.task_time = task_time;
    return out;
}

class unreachable_vm : public testing::Test {
public:
    unreachable_vm() : daemons(daemon_count, site_options()) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
        EXPECT_TRUE(daemons.wait_until_ready(wait_timeout));
    }

    void TearDown() override {
        for (const auto& it : daemons.site().violations()) {
            ADD_FAILURE() << it;
        }
    }

    // Submits a job whose tasks occupy every VM, and waits until they run and the owner has
    // renewed its row.
    void start_job() {
        ASSERT_EQ(daemons.submit(0, job, task_count).status, ok);
        ASSERT_TRUE(wait_until([&] { return daemons.site().vm_is_busy(cut_vm); }, wait_timeout));
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
    }

    // Stops the owner and starts it again, as the platform does.
    void replace_owner() {
        const int stopped = daemons.owner_index();
        daemons.terminate(stopped);
        ASSERT_EQ(daemons.wait_until_ended(stopped), 0);
        daemons.start(stopped);
    }

    void expect_complete() {
        EXPECT_TRUE(wait_until(
            [&] {
                const auto reply = daemons.call(0, "GET", "/urgent/" + job);
                return reply.status == ok && reply.body.at("state") == "complete";
            },
            wait_timeout));
    }

    static constexpr int cut_vm = 2;
    const std::string job = job_id_text(1);
    fleet_cluster daemons;
};

TEST_F(unreachable_vm, keeps_its_tasks_while_it_refuses_connections) {
    start_job();
    daemons.site().set_vm_refuses_connections(cut_vm, true);
    std::this_thread::sleep_for(cut_time);
    daemons.site().set_vm_refuses_connections(cut_vm, false);
    expect_complete();
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, task_count);
}

TEST_F(unreachable_vm, keeps_its_tasks_when_new_owner_does_not_find_its_entry) {
    start_job();
    daemons.site().make_vm_unresponsive(cut_vm);
    daemons.site().set_vm_listed(cut_vm, false);
    replace_owner();
    std::this_thread::sleep_for(cut_time);
    daemons.site().make_vm_responsive(cut_vm);
    daemons.site().set_vm_listed(cut_vm, true);
    expect_complete();
}

TEST_F(unreachable_vm, keeps_its_tasks_when_its_entry_goes_after_new_owner_has_read_it) {
    start_job();
    daemons.site().make_vm_unresponsive(cut_vm);
    const int previous = daemons.owner_index();
    replace_owner();
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() != previous; }, wait_timeout));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    daemons.site().set_vm_listed(cut_vm, false);
    std::this_thread::sleep_for(cut_time);
    daemons.site().make_vm_responsive(cut_vm);
    daemons.site().set_vm_listed(cut_vm, true);
    expect_complete();
}

// The new owner finds as many VMs as the previous one had on record, but not the same ones.
TEST_F(unreachable_vm, keeps_its_tasks_when_another_vm_is_listed_in_its_place) {
    constexpr int added_vm = vm_count - 1;
    daemons.site().set_vm_listed(added_vm, false);
    daemons.site().make_vm_unresponsive(added_vm);
    std::this_thread::sleep_for(std::chrono::milliseconds(6'000));
    start_job();
    daemons.site().make_vm_unresponsive(cut_vm);
    daemons.site().set_vm_listed(cut_vm, false);
    daemons.site().make_vm_responsive(added_vm);
    const int stopped = daemons.owner_index();
    daemons.terminate(stopped);
    daemons.site().set_vm_listed(added_vm, true);
    ASSERT_EQ(daemons.wait_until_ended(stopped), 0);
    daemons.start(stopped);
    std::this_thread::sleep_for(cut_time);
    daemons.site().make_vm_responsive(cut_vm);
    daemons.site().set_vm_listed(cut_vm, true);
    expect_complete();
}

// Waiting for leases must not delay the tasks of a VM that is known to have restarted.
TEST_F(unreachable_vm, loses_its_tasks_at_once_when_it_has_restarted) {
    start_job();
    const int starts_before = daemons.site().start_count();
    daemons.site().crash_vm(cut_vm);
    constexpr base::milliseconds max_restart_time{1'500};
    EXPECT_TRUE(
        wait_until([&] { return daemons.site().start_count() > starts_before; }, max_restart_time));
    expect_complete();
}

}  // namespace
