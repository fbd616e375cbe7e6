// Real daemons against the stand-in platform. The owner is killed after VMs were replaced, so its
// successor does not find every VM that was on record. Guards against new work being held back for
// VMs that are listed, and inherited work for VMs that have ended (a fleet without a start for
// 5.6 s).
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int daemon_count = 3;
constexpr int vm_count = 7;  // one of them is listed in place of another one
constexpr int replacement = vm_count - 1;
constexpr std::int64_t vm_millicores = 8'000;
constexpr base::milliseconds wait_timeout{30'000};
// Enough for each daemon to learn of the owner and for the owner to renew its row.
constexpr std::chrono::milliseconds settling_time{1'500};

platform_site_options site_options() {
    platform_site_options out;
    out.vms = vm_count;
    out.vm_millicores = vm_millicores;
    return out;
}

class replaced_vms : public testing::Test {
public:
    replaced_vms() : daemons(daemon_count, site_options()) {
        daemons.site().set_vm_listed(replacement, false);
        // Room for the work beside a missing VM and one that does not answer.
        auto configuration = nlohmann::json::parse(fleet_cluster::configuration(2, false));
        configuration["tenants"][0]["upperBound"]["cpu"] = 4 * vm_millicores;
        daemons.site().put_row("op", "config", configuration.dump());
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
        EXPECT_TRUE(daemons.wait_until_ready(wait_timeout));
        // The leases of the VM that is no longer listed expire.
        std::this_thread::sleep_for(std::chrono::milliseconds(6'000));
    }

    void TearDown() override {
        for (const auto& it : daemons.site().violations()) {
            ADD_FAILURE() << it;
        }
    }

    void submit_all(int daemon, int first, int count) {
        for (int i = first; i < first + count; ++i) {
            ASSERT_EQ(daemons.submit(daemon, job_id_text(i), 4).status, ok);
        }
    }

    void expect_all_complete(int daemon, int first, int count) {
        for (int i = first; i < first + count; ++i) {
            EXPECT_TRUE(wait_until(
                [&] {
                    const auto reply = daemons.call(daemon, "GET", "/urgent/" + job_id_text(i));
                    return reply.status == ok && reply.body.at("state") == "complete";
                },
                wait_timeout))
                << "job " << i;
        }
    }

    void kill_owner() {
        const int killed = daemons.owner_index();
        daemons.kill(killed);
        ASSERT_TRUE(wait_until(
            [&] { return daemons.owner_index() >= 0 && daemons.owner_index() != killed; },
            wait_timeout));
    }

    bool owner_logs(const std::string& text) {
        return daemons.log_text(daemons.owner_index()).find(text) != std::string::npos;
    }

    fleet_cluster daemons;
};

TEST_F(replaced_vms, do_not_delay_new_work) {
    daemons.site().make_vm_unresponsive(0);
    daemons.site().set_vm_listed(0, false);
    kill_owner();
    daemons.site().set_vm_listed(replacement, true);
    std::this_thread::sleep_for(settling_time);
    const base::monotonic_clock clock;
    const auto started_at = clock.now();
    submit_all(daemons.owner_index(), 0, 5);
    expect_all_complete(daemons.owner_index(), 0, 5);
    constexpr base::milliseconds max_duration{2'500};
    EXPECT_LT(clock.now() - started_at, max_duration);
}

// The log names what a new owner waits for, what it holds back, and what ended it.
TEST_F(replaced_vms, are_named_by_the_wait_for_them) {
    daemons.site().make_vm_unresponsive(0);
    daemons.site().set_vm_listed(0, false);
    kill_owner();
    EXPECT_TRUE(wait_until(
        [&] { return owner_logs("unknown=vms_missing ended_by=nothing missing_vms=1"); }));
    EXPECT_TRUE(owner_logs("missing_cores=8000"));
    EXPECT_TRUE(wait_until(
        [&] {
            return owner_logs("event=owner_wait_ended fence=2 unknown=vms_missing ended_by=expiry");
        },
        wait_timeout));
}

// Without a readable record every VM counts as missing, and the tasks of the missing one wait.
TEST_F(replaced_vms, are_waited_for_if_record_is_unreadable) {
    submit_all(0, 0, 8);
    daemons.site().rewrite_row("vm_record", "0", "\xff not a record");
    daemons.site().make_vm_unresponsive(0);
    daemons.site().set_vm_listed(0, false);
    kill_owner();
    daemons.site().set_vm_listed(replacement, true);
    EXPECT_TRUE(wait_until([&] { return owner_logs("event=vm_record_read"); }, wait_timeout));
    EXPECT_TRUE(owner_logs("matches=false readable=false"));
    EXPECT_TRUE(wait_until([&] { return owner_logs("unknown=names_differ"); }, wait_timeout));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    daemons.site().make_vm_responsive(0);
    daemons.site().set_vm_listed(0, true);
    expect_all_complete(daemons.owner_index(), 0, 8);
}

// The VM's machine has returned under another name, which proves that its runs have ended.
TEST_F(replaced_vms, under_their_old_addresses_do_not_delay_inherited_work) {
    submit_all(0, 0, 20);
    const int killed = daemons.owner_index();
    daemons.site().replace_vm(0);
    daemons.kill(killed);
    const int other = (killed + 1) % daemon_count;
    const base::monotonic_clock clock;
    const auto started_at = clock.now();
    expect_all_complete(other, 0, 20);
    // Less than a lease; a takeover and the work itself take up to 3 s.
    constexpr base::milliseconds max_duration{4'500};
    EXPECT_LT(clock.now() - started_at, max_duration);
}

}  // namespace
