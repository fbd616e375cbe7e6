// A row that the store rejects concerns its own job only: the progress of all other jobs is saved,
// and the row is not repeated for ever. No row is larger than the store accepts, and no completion
// is acknowledged before it is saved.
#include <cranberrydock/fleet_daemon/owner_task.hpp>
#include <cranberrydock/shared_platform/json_platform_rows.hpp>

#include "standins/unresponsive_vms.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace {

using namespace cranberrydock;

const fleet::store_version submitted{1};
constexpr int job_count = 20;
constexpr std::size_t max_entries = 100;  // of a transaction
const fleet::job_id rejected_job("job-07");

fleet::job_id job_of(int number) {
    return fleet::job_id((number < 10 ? "job-0" : "job-") + std::to_string(number));
}

// Holds some jobs and one VM. Rejects each transaction with a row of `rejected` that ends a job.
class rejecting_store final : public fleet::row_store {
public:
    explicit rejecting_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& transaction, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        bool accepted = true;
        std::size_t bytes = 0;
        for (const auto& it : transaction.puts) {
            const fleet::job_id job(it.address.name.str());
            accepted = accepted && rejected.count(job) == 0;
            attempts += static_cast<int>(rejected.count(job));
            bytes += it.value.size();
            largest_row = std::max(largest_row, it.value.size());
        }
        largest_transaction = std::max(largest_transaction, bytes);
        if (!accepted) {
            later([done] {
                done(tl::make_unexpected(fleet::store_error{fleet::store_failure::rejected, {}}));
            });
            return;
        }
        for (const auto& it : transaction.puts) {
            saved.insert(fleet::job_id(it.address.name.str()));
            stored[it.address.name] = it.value;
        }
        most_entries =
            std::max(most_entries, transaction.conditions.size() + transaction.puts.size() +
                                       transaction.removals.size());
        later([done] { done(submitted); });
    }

    void read(const fleet::table_name& table, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = submitted;
        if (table == fleet_daemon::job_table) {
            for (int i = 0; i < job_count; ++i) {
                fleet::job_spec job;
                job.id = job_of(i);
                job.queue = fleet::queue_name("previews");
                job.terms.max_attempts = 5;
                job.steps.resize(1);
                job.steps[0].task_count = tasks_per_job;
                out.rows.push_back({layout.job_row(job.id), fleet::encode_job(job), submitted});
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

    std::set<fleet::job_id> rejected;
    std::set<fleet::job_id> saved;
    std::map<fleet::row_name, std::string> stored;
    std::size_t most_entries = 0;  // of a transaction
    int attempts = 0;              // transactions with a rejected row
    int tasks_per_job = 1;
    std::size_t largest_row = 0;
    std::size_t largest_transaction = 0;
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
               const fleet::watch_command& order, fleet::watch_callback done) override {
        acknowledged = order.acknowledged;
        watched = std::move(done);
    }

    void add(const fleet::job_id& job, int index, fleet::completion_kind kind) {
        report.boot = fleet::boot_time(1);
        report.completions.push_back({fleet::completion_number(++last_number),
                                      {job, 0, 0, index},
                                      fleet::run_number(1),
                                      kind,
                                      {}});
    }

    void send_report() {
        const auto done = std::move(watched);
        watched = {};
        done(report);
    }

    fleet::watch_callback watched;
    fleet::completion_number acknowledged;
    fleet::vm_report report;
    std::int64_t last_number = 0;
};

class all_rights final : public fleet_daemon::ownership_view {
public:
    bool may_issue_commands() override { return true; }
    bool store_answers() override { return true; }
    base::time_point last_renewal_sent() override { return base::suspend_aware_clock().now(); }
    void renew_soon() override {}
    void on_superseded(const std::string& where) override { ADD_FAILURE() << where; }
};

class row_limits : public testing::Test {
public:
    void start(int tasks_per_job) {
        store.tasks_per_job = tasks_per_job;
        owner = std::make_unique<fleet_daemon::owner_task>(
            loop, store, vm, *store.rows, store.layout, advisors, rights, fleet::fencing_token(2),
            settings, metrics);
        owner->configure(std::make_shared<fleet::fleet_configuration>());
        ASSERT_TRUE(run_until([&] { return static_cast<bool>(vm.watched); }));
        run_for(300);
        ASSERT_TRUE(vm.watched);
    }

    bool run_until(const std::function<bool()>& condition) {
        const auto poll_timer = loop.every(base::milliseconds(5), [&] {
            if (condition()) {
                loop.stop();
            }
        });
        const auto stop_timer = loop.after(base::milliseconds(5'000), [&] { loop.stop(); });
        loop.run();
        return condition();
    }

    void run_for(int ms) {
        const auto stop_timer = loop.after(base::milliseconds(ms), [&] { loop.stop(); });
        loop.run();
    }

    // The tasks of the job for which a stored row of progress meets the condition.
    template <typename Condition>
    int count_saved(const fleet::job_id& job, const Condition& condition) const {
        int out = 0;
        const auto count = [&](const fleet::step_progress& step) {
            for (std::size_t i = 0; i < step.done.size(); ++i) {
                out += condition(step, i) ? 1 : 0;
            }
        };
        for (const auto& it : store.stored) {
            const auto name = fleet_daemon::parse_progress_row(it.first);
            if (name.job == job && name.block) {
                count(*fleet::decode_block(it.second));
            } else if (name.job == job) {
                const auto progress = fleet::decode_progress(it.second);
                for (const auto& occurrence : progress->occurrences) {
                    std::for_each(occurrence.begin(), occurrence.end(), count);
                }
            }
        }
        return out;
    }

    std::size_t saved_jobs() const {
        std::size_t out = 0;
        for (int i = 0; i < job_count; ++i) {
            out += store.saved.count(job_of(i));
        }
        return out;
    }

    net::event_loop loop;
    rejecting_store store{loop};
    scripted_vm vm;
    all_rights rights;
    base::metrics metrics;
    fleet_daemon::advisor_pool advisors{loop, vm, metrics};
    fleet_daemon::owner_settings settings;
    std::unique_ptr<fleet_daemon::owner_task> owner;
};

TEST_F(row_limits, rejected_row_does_not_hold_back_others) {
    store.rejected = {rejected_job};
    start(1);
    for (int i = 0; i < job_count; ++i) {
        vm.add(job_of(i), 0, fleet::completion_kind::done);
    }
    vm.send_report();
    EXPECT_TRUE(run_until([&] { return saved_jobs() == job_count - 1; }))
        << saved_jobs() << " of " << job_count << " jobs saved";
    EXPECT_EQ(store.saved.count(rejected_job), 0U);
    run_for(500);
    const int before = store.attempts;
    run_for(3'500);
    EXPECT_LE(store.attempts - before, 3) << "an unchanged row is repeated after growing pauses";
    EXPECT_GE(store.attempts - before, 1);
}

TEST_F(row_limits, rejected_row_is_saved_once_store_accepts_it) {
    store.rejected = {rejected_job};
    start(1);
    vm.add(rejected_job, 0, fleet::completion_kind::done);
    vm.send_report();
    run_for(500);
    EXPECT_GE(store.attempts, 1);
    store.rejected.clear();
    EXPECT_TRUE(run_until([&] { return store.saved.count(rejected_job) == 1; }));
}

// The failed runs of a wide step take more than a row. They are counted when they are acknowledged.
TEST_F(row_limits, failed_runs_of_wide_step_are_saved) {
    constexpr int tasks = 400;
    settings.limits.row_bytes = 2'000;
    start(tasks);
    for (int i = 0; i < tasks; ++i) {
        vm.add(rejected_job, i, fleet::completion_kind::failed);
    }
    vm.add(job_of(1), 0, fleet::completion_kind::done);
    vm.send_report();
    EXPECT_TRUE(run_until([&] { return saved_jobs() == 2; }));
    EXPECT_LE(store.largest_row, settings.limits.row_bytes);
    EXPECT_TRUE(
        run_until([&] { return vm.acknowledged == fleet::completion_number(vm.last_number); }));
    EXPECT_EQ(
        count_saved(rejected_job, [](const auto& step,
                                     std::size_t i) { return step.failed_runs[i].size() == 1; }),
        tasks);
}

// A progress that takes several transactions is acknowledged after the last of them.
TEST_F(row_limits, completions_are_acknowledged_once_all_of_them_are_saved) {
    constexpr int tasks = 3'000;
    settings.limits.row_bytes = 2'000;
    settings.limits.transaction_bytes = 5'000;
    start(tasks);
    for (int i = 0; i < tasks; i += 7) {
        vm.add(rejected_job, i, fleet::completion_kind::done);
    }
    const int ends = static_cast<int>(vm.last_number);
    vm.send_report();
    const auto saved_tasks = [&] {
        return count_saved(rejected_job,
                           [](const auto& step, std::size_t i) { return step.done[i]; });
    };
    ASSERT_TRUE(run_until([&] {
        if (vm.acknowledged >= fleet::completion_number(1)) {
            EXPECT_EQ(saved_tasks(), ends);
        }
        return vm.acknowledged == fleet::completion_number(vm.last_number);
    }));
    EXPECT_EQ(saved_tasks(), ends);
    EXPECT_LE(store.largest_row, settings.limits.row_bytes);
    EXPECT_LE(store.largest_transaction, settings.limits.transaction_bytes);
    EXPECT_LE(store.most_entries, max_entries);
}

// A completion that can't be saved stays unacknowledged, and no further task of its job is started.
TEST_F(row_limits, rejected_completion_is_not_acknowledged) {
    store.rejected = {rejected_job};
    start(1);
    vm.add(rejected_job, 0, fleet::completion_kind::done);
    vm.send_report();
    run_for(2'000);
    EXPECT_EQ(vm.acknowledged, fleet::completion_number(0));
}

TEST_F(row_limits, transaction_stays_below_limit_of_store) {
    constexpr int tasks = 1'500;
    settings.limits.row_bytes = 2'000;
    settings.limits.transaction_bytes = 10'000;
    start(tasks);
    for (int i = 0; i < job_count; ++i) {
        vm.add(job_of(i), 0, fleet::completion_kind::done);
    }
    vm.send_report();
    EXPECT_TRUE(run_until([&] { return saved_jobs() == job_count; }));
    EXPECT_LE(store.largest_transaction, settings.limits.transaction_bytes);
}

}  // namespace
