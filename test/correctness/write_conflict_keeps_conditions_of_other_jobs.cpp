// A completion is saved on condition that the row of its job has not changed since submission, so
// that it never overwrites a cancellation. After a conflict about one job, the conditions on the
// rows of the other jobs must stay as they were.
#include <cranberrydock/fleet_daemon/owner_task.hpp>
#include <cranberrydock/shared_platform/json_platform_rows.hpp>

#include "standins/unresponsive_vms.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace cranberrydock;

const fleet::job_id first("job-a");
const fleet::job_id second("job-b");
const fleet::store_version submitted{1};

// Holds two jobs and one VM. The test answers the writes of completions.
class two_job_store final : public fleet::row_store {
public:
    explicit two_job_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& transaction, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        if (transaction.puts.size() == 1) {
            later([done] { done(submitted); });  // a fencing token only
            return;
        }
        writes.push_back({transaction, std::move(done)});
    }

    void read(const fleet::table_name& table, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = submitted;
        if (table == fleet_daemon::job_table) {
            for (const auto& it : {first, second}) {
                out.rows.push_back({layout.job_row(it), row_of(it), submitted});
            }
        } else if (table == rows->member_table()) {
            out.rows.push_back(
                {{table, {}, fleet::row_name("vm")},
                 R"({"address":"127.0.0.1:1","service":"svc","zone":"z","state":"ready","born":1,)"
                 R"("labels":["a"],"capacity":{"cpu":4000,"memMb":4000,"gpu":0}})",
                 submitted});
        }
        later([done, out] { done(out); });
    }

    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds wait, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = submitted;
        timers_.push_back(loop_.after(wait, [done, out] { done(out); }));
    }

    static std::string row_of(const fleet::job_id& id) {
        fleet::job_spec job;
        job.id = id;
        job.queue = fleet::queue_name("previews");
        job.steps.resize(1);
        return fleet::encode_job(job);
    }

    struct write {
        fleet::row_transaction transaction;
        fleet::commit_callback done;
    };
    std::vector<write> writes;
    const fleet_daemon::job_layout layout{1};
    const std::unique_ptr<fleet::platform_rows> rows = shared_platform::make_platform_rows();

private:
    void later(std::function<void()> action) {
        timers_.push_back(loop_.after(base::duration{0}, std::move(action)));
    }

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

class scripted_vm final : public standins::unresponsive_vms {
public:
    void watch(const fleet::vm_info& /*vm*/, fleet::fencing_token /*owner*/,
               const fleet::watch_command& /*order*/, fleet::watch_callback done) override {
        watched = std::move(done);
    }

    void run(const fleet::job_id& job) {
        report.boot = fleet::boot_time(1);
        report.running.push_back({{job, 0, 0, 0}, fleet::run_number(1), {}, 0});
        const auto done = std::move(watched);
        watched = {};
        done(report);
    }

    void complete(const fleet::job_id& job) {
        report.boot = fleet::boot_time(1);
        report.running.clear();
        report.completions.push_back({fleet::completion_number(++last_number),
                                      {job, 0, 0, 0},
                                      fleet::run_number(1),
                                      fleet::completion_kind::done,
                                      {}});
        const auto done = std::move(watched);
        watched = {};
        done(report);
    }

    fleet::watch_callback watched;
    fleet::vm_report report;
    std::int64_t last_number = 0;
};

class all_rights final : public fleet_daemon::ownership_view {
public:
    bool may_issue_commands() override { return true; }
    bool store_answers() override { return true; }
    // The owner's row has just been renewed, so it shows every VM.
    base::time_point last_renewal_sent() override { return base::suspend_aware_clock().now(); }
    void renew_soon() override {}
    void on_superseded(const std::string& where) override { ADD_FAILURE() << where; }
};

class write_conflict : public testing::Test {
public:
    write_conflict() {
        owner.configure(std::make_shared<fleet::fleet_configuration>());
        run_for(300);
    }

    bool run_until(const std::function<bool()>& condition) {
        const auto poll_timer = loop.every(base::milliseconds(5), [&] {
            if (condition()) {
                loop.stop();
            }
        });
        const auto stop_timer = loop.after(base::milliseconds(3'000), [&] { loop.stop(); });
        loop.run();
        return condition();
    }

    void run_for(int ms) {
        const auto stop_timer = loop.after(base::milliseconds(ms), [&] { loop.stop(); });
        loop.run();
    }

    // The version of the job's row that the write requires; -1: none.
    std::int64_t condition_of(std::size_t write, const fleet::job_id& job) const {
        const auto& conditions = store.writes.at(write).transaction.conditions;
        const auto it =
            std::find_if(conditions.begin(), conditions.end(), [&](const auto& row_condition) {
                return row_condition.address.table == fleet_daemon::job_table &&
                       row_condition.address.name.str() == job.str();
            });
        return it == conditions.end() ? std::int64_t{-1} : it->version.value();
    }

    void answer_with_conflict(std::size_t write, std::vector<fleet::stored_row> rows) {
        store.writes.at(write).done(tl::make_unexpected(
            fleet::store_error{fleet::store_failure::conflict, std::move(rows)}));
    }

    net::event_loop loop;
    two_job_store store{loop};
    scripted_vm vm;
    all_rights rights;
    base::metrics metrics;
    fleet_daemon::advisor_pool advisors{loop, vm, metrics};
    fleet_daemon::owner_settings settings;
    fleet_daemon::owner_task owner{loop,         store,    vm,     *store.rows,
                                   store.layout, advisors, rights, fleet::fencing_token(2),
                                   settings,     metrics};
    const fleet::row_address fencing_token_address =
        fleet_daemon::fencing_token_row(store.layout.partition_of(first));
};

TEST_F(write_conflict, keeps_conditions_of_other_jobs) {
    ASSERT_TRUE(vm.watched);
    vm.complete(first);
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 1; }));
    ASSERT_TRUE(run_until([&] { return static_cast<bool>(vm.watched); }));
    vm.complete(second);
    run_for(200);
    ASSERT_EQ(store.writes.size(), 1U) << "the second write must wait for the first";

    // The row of the first job has changed since it was submitted.
    answer_with_conflict(
        0, {{fencing_token_address, "2", submitted},
            {store.layout.job_row(first), two_job_store::row_of(first), fleet::store_version(2)}});
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 2; }));
    EXPECT_EQ(condition_of(1, first), 2);
    EXPECT_EQ(condition_of(1, second), submitted.value());
}

// Guards against "shown as complete after cancelled": the write of a job's progress did not check
// the job's row, so a conflict of that write says nothing of it.
TEST_F(write_conflict, keeps_condition_of_job_whose_progress_was_sent) {
    ASSERT_TRUE(vm.watched);
    vm.run(second);
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 1; }));
    EXPECT_EQ(condition_of(0, second), -1);
    // An earlier write of this owner was applied although its answer was lost.
    answer_with_conflict(0, {{fencing_token_address, "2", fleet::store_version(2)}});
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 2; }));
    store.writes[1].done(fleet::store_version(3));
    ASSERT_TRUE(run_until([&] { return static_cast<bool>(vm.watched); }));
    vm.complete(second);
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 3; }));
    EXPECT_EQ(condition_of(2, second), submitted.value());
}

}  // namespace
