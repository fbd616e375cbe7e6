// An owner that the store does not reach keeps its rights for some seconds after a takeover. An
// entry that has not read the new owner's row reports an accepted job to it. Guards against the job
// being started by both owners, each on a VM that the other one can't reach (TWICE).
#include <cranberrydock/fleet_daemon/owner_task.hpp>
#include <cranberrydock/shared_platform/json_platform_rows.hpp>

#include "standins/fleet_test_data.hpp"
#include "standins/unresponsive_vms.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;

const fleet::store_version loaded{1};
const fleet::store_version written{2};
const std::string old_owners_vm = "x";
const std::string new_owners_vm = "y";

// Holds the member entries of two VMs and no jobs.
class two_vm_store final : public fleet::row_store {
public:
    explicit two_vm_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& /*transaction*/, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        after({}, [done] { done(loaded); });
    }

    void read(const fleet::table_name& table, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = loaded;
        if (table == rows->member_table()) {
            for (const auto& it : {old_owners_vm, new_owners_vm}) {
                out.rows.push_back(
                    {{table, {}, fleet::row_name(it)},
                     R"({"address":"127.0.0.1:1","service":"svc","zone":"z","state":"ready",)"
                     R"("born":1,"labels":["a"],"capacity":{"cpu":4000,"memMb":4000,"gpu":0}})",
                     loaded});
            }
        }
        after({}, [done, out] { done(out); });
    }

    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds wait, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = loaded;
        after(wait, [done, out] { done(out); });
    }

    const fleet_daemon::job_layout layout{1};
    const std::unique_ptr<fleet::platform_rows> rows = shared_platform::make_platform_rows();

private:
    void after(base::duration time, std::function<void()> action) {
        timers_.push_back(loop_.after(time, std::move(action)));
    }

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

// One VM answers; commands to the others are lost.
class partly_reachable_vms final : public standins::unresponsive_vms {
public:
    partly_reachable_vms(net::event_loop& loop, std::string reachable)
        : loop_(loop), reachable_(std::move(reachable)) {}

    void watch(const fleet::vm_info& vm, fleet::fencing_token /*owner*/,
               const fleet::watch_command& /*order*/, fleet::watch_callback done) override {
        constexpr base::milliseconds answer_time{20};
        timers_.push_back(loop_.after(answer_time, [this, id = vm.id.str(), done] {
            if (id != reachable_) {
                done(tl::unexpected(fleet::command_failure::answer_lost));
                return;
            }
            fleet::vm_report report;
            report.boot = fleet::boot_time(1);
            report.now = fleet::vm_time(1'000);
            done(report);
        }));
    }

    void start(const fleet::vm_info& vm, fleet::fencing_token /*owner*/,
               const fleet::start_command& /*order*/, fleet::start_callback /*done*/) override {
        started_on.push_back(vm.id.str());
    }

    std::vector<std::string> started_on;

private:
    net::event_loop& loop_;
    std::string reachable_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

class recording_rights final : public fleet_daemon::ownership_view {
public:
    bool may_issue_commands() override { return !superseded; }
    bool store_answers() override { return true; }
    base::time_point last_renewal_sent() override { return base::suspend_aware_clock().now(); }
    void renew_soon() override {}
    void on_superseded(const std::string& /*where*/) override { superseded = true; }

    bool superseded = false;
};

struct owner {
    owner(net::event_loop& loop, two_vm_store& store, fleet::fencing_token token,
          const std::string& reachable_vm, bool earlier_owners_ended = false)
        : vms(loop, reachable_vm),
          advisors(loop, vms, metrics),
          task(loop, store, vms, *store.rows, store.layout, advisors, rights, token,
               settings(earlier_owners_ended), metrics) {
        task.configure(std::make_shared<const fleet::fleet_configuration>(
            standins::two_queue_configuration()));
    }

    static fleet_daemon::owner_settings settings(bool earlier_owners_ended) {
        fleet_daemon::owner_settings out;
        out.previous_owner_validity = fleet::ownership_settings{}.validity;
        out.earlier_owners_ended = earlier_owners_ended;
        out.expected_vms = 2;
        out.expected_vm_set.emplace();
        for (const auto& it : {old_owners_vm, new_owners_vm}) {
            out.expected_vm_set->add(fleet::vm_id(it));
        }
        return out;
    }

    partly_reachable_vms vms;
    recording_rights rights;
    base::metrics metrics;
    fleet_daemon::advisor_pool advisors;
    fleet_daemon::owner_task task;
};

class two_owners : public testing::Test {
public:
    two_owners() {
        // The owner before both of them had ended, and its leases expire.
        previous.task.on_previous_owner_ended();
        constexpr base::milliseconds longest_lease{5'200};
        run_for(longest_lease);
        next = std::make_unique<owner>(loop, store, fleet::fencing_token(2), new_owners_vm);
        run_for(base::milliseconds{1'200});
    }

    void run_for(base::milliseconds time) {
        const auto stop_timer = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    // The entry reports to the previous owner, the feed of the jobs to the next one.
    void accept(const fleet::job_spec& job) {
        for (owner* const it : {&previous, next.get()}) {
            it->task.job_written(job.id, fleet::encode_job(job), written);
        }
        run_for(base::milliseconds{1'000});
    }

    net::event_loop loop;
    two_vm_store store{loop};
    owner previous{loop, store, fleet::fencing_token(1), old_owners_vm, true};
    std::unique_ptr<owner> next;
    fleet::job_spec job = standins::make_job("job", "urgent", {standins::make_step(1, 1'000)});
};

TEST_F(two_owners, do_not_both_start_job_of_outdated_entry) {
    accept(job);
    EXPECT_EQ(previous.vms.started_on, std::vector<std::string>{old_owners_vm});
    EXPECT_EQ(next->vms.started_on, std::vector<std::string>{});
}

TEST_F(two_owners, start_job_of_current_entry_once_and_without_a_wait) {
    job.accepted_under = fleet::fencing_token(2);
    accept(job);
    EXPECT_TRUE(previous.rights.superseded);
    EXPECT_EQ(previous.vms.started_on, std::vector<std::string>{});
    EXPECT_EQ(next->vms.started_on, std::vector<std::string>{new_owners_vm});
}

// The previous owner starts the job within its validity; the next one reads it late.
TEST_F(two_owners, do_not_both_start_job_that_is_read_after_commands_have_ended) {
    run_for(base::milliseconds{3'600});  // 4.8 s after the takeover
    previous.task.job_written(job.id, fleet::encode_job(job), written);
    run_for(base::milliseconds{2'000});
    ASSERT_EQ(previous.vms.started_on, std::vector<std::string>{old_owners_vm});
    next->task.job_written(job.id, fleet::encode_job(job), written);
    run_for(base::milliseconds{1'000});
    EXPECT_EQ(next->vms.started_on, std::vector<std::string>{});
}

// The owner between the two has ended, which says nothing of the one before it.
TEST_F(two_owners, do_not_both_start_job_after_end_of_owner_between_them) {
    next = std::make_unique<owner>(loop, store, fleet::fencing_token(3), new_owners_vm);
    next->task.on_previous_owner_ended();
    run_for(base::milliseconds{1'200});
    job.accepted_under = fleet::fencing_token(1);
    accept(job);
    EXPECT_EQ(previous.vms.started_on, std::vector<std::string>{old_owners_vm});
    // The first owner renews the leases of its VM for 6.5 s, whoever has ended since.
    run_for(base::milliseconds{4'500});
    EXPECT_EQ(next->vms.started_on, std::vector<std::string>{});
}

}  // namespace
