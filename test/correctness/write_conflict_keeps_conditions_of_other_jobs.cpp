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

    void complete(const fleet::job_id& job) {
        report.boot = fleet::boot_time(1);
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

TEST(write_conflict, keeps_conditions_of_other_jobs) {
    net::event_loop loop;
    two_job_store store(loop);
    scripted_vm vm;
    all_rights rights;
    base::metrics metrics;
    fleet_daemon::advisor_pool advisors(loop, vm, metrics);
    fleet_daemon::owner_settings settings;
    fleet_daemon::owner_task owner(loop, store, vm, *store.rows, store.layout, advisors, rights,
                                   fleet::fencing_token(2), settings, metrics);
    owner.configure(std::make_shared<fleet::fleet_configuration>());
    const auto run_until = [&](const std::function<bool()>& condition) {
        const auto poll_timer = loop.every(base::milliseconds(5), [&] {
            if (condition()) {
                loop.stop();
            }
        });
        const auto stop_timer = loop.after(base::milliseconds(3'000), [&] { loop.stop(); });
        loop.run();
        return condition();
    };
    const auto run_for = [&](int ms) {
        const auto stop_timer = loop.after(base::milliseconds(ms), [&] { loop.stop(); });
        loop.run();
    };
    run_for(300);
    ASSERT_TRUE(vm.watched);
    vm.complete(first);
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 1; }));
    ASSERT_TRUE(run_until([&] { return static_cast<bool>(vm.watched); }));
    vm.complete(second);
    run_for(200);
    ASSERT_EQ(store.writes.size(), 1U) << "the second write must wait for the first";

    // The row of the first job has changed since it was submitted.
    const auto fencing_token_address =
        fleet_daemon::fencing_token_row(store.layout.partition_of(first));
    store.writes[0].done(tl::make_unexpected(fleet::store_error{
        fleet::store_failure::conflict,
        {{fencing_token_address, "2", submitted},
         {store.layout.job_row(first), two_job_store::row_of(first), fleet::store_version(2)}}}));
    ASSERT_TRUE(run_until([&] { return store.writes.size() == 2; }));
    const auto& transaction = store.writes[1].transaction;
    const auto condition_of = [&](const fleet::job_id& job) {
        const auto it =
            std::find_if(transaction.conditions.begin(), transaction.conditions.end(),
                         [&](const auto& row_condition) {
                             return row_condition.address.table == fleet_daemon::job_table &&
                                    row_condition.address.name.str() == job.str();
                         });
        return it == transaction.conditions.end() ? std::int64_t{-1} : it->version.value();
    };
    EXPECT_EQ(condition_of(first), 2);
    EXPECT_EQ(condition_of(second), submitted.value());
}

}  // namespace
