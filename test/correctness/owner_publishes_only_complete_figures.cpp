// An owner publishes figures in its row only while it has all the data behind them. For the waiting
// jobs it must have read the jobs and receive their changes; for the VMs, all of them must be
// listed again. Until then the record keeps the previous figures.
#include <cranberrydock/fleet_daemon/owner_task.hpp>
#include <cranberrydock/shared_platform/json_platform_rows.hpp>

#include "standins/unresponsive_vms.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;

// Holds a single row, a job. The test can hold back the answers to reads and feeds.
class held_store final : public fleet::row_store {
public:
    explicit held_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& /*what*/, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        later([done] { done(version); });
    }

    void read(const fleet::table_name& table, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = version;
        if (table == fleet_daemon::job_table) {
            fleet::job_spec job;
            job.id = fleet::job_id("job");
            job.queue = fleet::queue_name("previews");
            job.steps.resize(1);
            out.rows.push_back({layout.job_row(job.id), fleet::encode_job(job), version});
            if (reads_held) {
                held_callbacks_.push_back([done, out] { done(out); });
                return;
            }
        }
        later([done, out] { done(out); });
    }

    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds wait, fleet::read_callback done) override {
        fleet::rows_read out;
        out.version = version;
        const auto answer = [done, out] { done(out); };
        timers_.push_back(loop_.after(wait, [this, answer] {
            if (feeds_held) {
                held_callbacks_.push_back(answer);
            } else {
                answer();
            }
        }));
    }

    void release() {
        reads_held = false;
        feeds_held = false;
        const auto callbacks = std::move(held_callbacks_);
        held_callbacks_.clear();
        for (const auto& it : callbacks) {
            it();
        }
    }

    static inline const fleet::store_version version{1};
    const fleet_daemon::job_layout layout{1};
    bool reads_held = false;
    bool feeds_held = false;

private:
    void later(std::function<void()> action) {
        timers_.push_back(loop_.after(base::duration{0}, std::move(action)));
    }

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
    std::vector<std::function<void()>> held_callbacks_;
};

class all_rights final : public fleet_daemon::ownership_view {
public:
    bool may_issue_commands() override { return true; }
    bool store_answers() override { return true; }
    base::time_point last_renewal_sent() override { return base::suspend_aware_clock().now(); }
    void renew_soon() override {}
    void on_superseded(const std::string& where) override { ADD_FAILURE() << where; }
};

class owner_figures : public testing::Test {
public:
    owner_figures() {
        record.waiting_jobs =
            fleet::waiting_job_counts{fleet::fencing_token(1), previous_count, {}};
    }

    void start_owner() {
        owner = std::make_unique<fleet_daemon::owner_task>(
            loop, store, vms, *rows, store.layout, advisors, rights, fleet::fencing_token(2),
            settings, metrics);
        owner->configure(std::make_shared<fleet::fleet_configuration>());
    }

    void run_for(base::duration time) {
        const auto stop_timer = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    // Renews the record and returns the number of its waiting count.
    std::int64_t renewed_number(std::int64_t number) {
        owner->describe(record, number);
        return record.waiting_jobs->sequence;
    }

    static constexpr std::int64_t previous_count = 70;
    static constexpr base::milliseconds short_wait{100};
    static constexpr base::milliseconds feed_stall{2'500};
    static constexpr base::milliseconds feed_wait{1'000};  // until the store has answered once more

    net::event_loop loop;
    held_store store{loop};
    standins::unresponsive_vms vms;
    all_rights rights;
    base::metrics metrics;
    fleet_daemon::advisor_pool advisors{loop, vms, metrics};
    const std::unique_ptr<fleet::platform_rows> rows = shared_platform::make_platform_rows();
    fleet::owner_record record;
    fleet_daemon::owner_settings settings;
    std::unique_ptr<fleet_daemon::owner_task> owner;
};

TEST_F(owner_figures, are_kept_until_jobs_are_read) {
    store.reads_held = true;
    start_owner();
    run_for(short_wait);
    EXPECT_EQ(renewed_number(1), previous_count);
    store.release();
    run_for(short_wait);
    EXPECT_EQ(renewed_number(2), 2);
    EXPECT_EQ(record.waiting_jobs->counted_by, fleet::fencing_token(2));
    EXPECT_EQ(record.waiting_jobs->jobs.at(fleet::queue_name("previews")), 1);
}

TEST_F(owner_figures, are_kept_while_change_feed_stalls) {
    start_owner();
    run_for(short_wait);
    EXPECT_EQ(renewed_number(1), 1);
    store.feeds_held = true;
    run_for(feed_stall);
    EXPECT_EQ(renewed_number(2), 1);
    store.release();
    run_for(feed_wait);
    EXPECT_EQ(renewed_number(3), 3);
}

// The store made the answer when it received the call, so jobs accepted since then are missing from
// it.
TEST_F(owner_figures, are_kept_after_late_feed_answer) {
    start_owner();
    run_for(short_wait);
    EXPECT_EQ(renewed_number(1), 1);
    store.feeds_held = true;
    run_for(feed_stall);
    store.release();
    EXPECT_EQ(renewed_number(2), 1);
}

// The backlog and the rate of starts of a previous owner say nothing of this one.
TEST_F(owner_figures, overload_of_previous_owner_is_not_kept) {
    record.overloaded[fleet::queue_name("previews")] = base::milliseconds(5'000);
    store.reads_held = true;
    start_owner();
    run_for(short_wait);
    renewed_number(1);
    EXPECT_TRUE(record.overloaded.empty());
}

TEST_F(owner_figures, partial_vm_list_does_not_narrow_limits) {
    record.largest_vm.cores = base::millicores(8'000);
    record.labels = {fleet::vm_label("fast")};
    settings.expected_vms = 2;
    start_owner();
    run_for(short_wait);
    renewed_number(1);
    EXPECT_EQ(record.largest_vm.cores, base::millicores(8'000));
    EXPECT_EQ(record.labels.count(fleet::vm_label("fast")), 1U);
}

TEST_F(owner_figures, include_duration_of_each_wait) {
    settings.expected_vms = 2;
    start_owner();
    constexpr base::milliseconds longest_lease{4'888};  // 4.5 s on the slowest clock
    run_for(longest_lease + base::milliseconds{300});
    for (const auto& it : {"previous_starts", "missing_vms", "inherited_runs"}) {
        const std::string name =
            std::string("cranberrydock_owner_wait_ms_count{wait=\"") + it + "\"} 1";
        EXPECT_NE(metrics.text().find(name), std::string::npos) << metrics.text();
    }
}

// Guards against a long wait of the next owner, if this one ends before it has listed the VMs.
TEST_F(owner_figures, previous_record_of_vms_is_kept_until_vms_are_listed) {
    constexpr std::uint64_t checksum = 12;
    fleet::vm_set_digest previous;
    previous.add(fleet::vm_id("vm"));
    settings.expected_vms = 1;
    settings.expected_vm_set = previous;
    settings.expected_vm_record = checksum;
    start_owner();
    owner->describe(record, 1);
    EXPECT_EQ(record.vm_set, previous);
    EXPECT_EQ(record.vm_record_checksum, checksum);
    EXPECT_TRUE(owner->vm_record_parts().empty());
}

// Guards against "shown as active after cancelled": another daemon may have confirmed a
// cancellation after the new owner's load had read the job.
TEST_F(owner_figures, of_jobs_are_not_reported_before_their_feed_is_as_recent_as_the_load) {
    start_owner();
    run_for(short_wait);
    ASSERT_TRUE(owner->has_loaded(fleet::job_id("job")));
    const auto state = [this] {
        std::optional<fleet_daemon::owner_job_status> out;
        owner->job_status(fleet::job_id("job"), [&out](const auto& known) { out = known; });
        return out;
    };
    EXPECT_FALSE(state());
    run_for(feed_wait);
    ASSERT_TRUE(state());
    EXPECT_EQ(state()->state, fleet::job_state::queued);
}

}  // namespace
