// An owner puts figures into its row only while it knows all that they are made of: the jobs that
// wait when it has read the jobs and hears of changes, the VMs when all are listed again. The
// record keeps the last ones until then.
#include <cranberrydock/shared_platform/rows.hpp>
#include <cranberrydock/steward/owner_task.hpp>

#include "standins/silent_vms.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;

// Holds nothing but one row: a job. Readings and feeds can be held up.
class held_store final : public fleet::row_store {
public:
    explicit held_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& /*what*/, base::milliseconds /*timeout*/,
                fleet::commit_done done) override {
        later([done] { done(version); });
    }

    void read(const fleet::table_name& table, const fleet::part_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_done done) override {
        fleet::rows_read out;
        out.version = version;
        if (table == steward::job_table) {
            fleet::job_spec job;
            job.id = fleet::job_id("job");
            job.queue = fleet::queue_name("previews");
            job.steps.resize(1);
            out.rows.push_back({layout.job_row(job.id), fleet::encode_job(job), version});
            if (reads_held) {
                held_.push_back([done, out] { done(out); });
                return;
            }
        }
        later([done, out] { done(out); });
    }

    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds wait, fleet::read_done done) override {
        fleet::rows_read out;
        out.version = version;
        const auto answer = [done, out] { done(out); };
        timers_.push_back(loop_.after(wait, [this, answer] {
            if (feeds_held) {
                held_.push_back(answer);
            } else {
                answer();
            }
        }));
    }

    void release() {
        reads_held = false;
        feeds_held = false;
        const auto held = std::move(held_);
        held_.clear();
        for (const auto& it : held) {
            it();
        }
    }

    static inline const fleet::store_version version{1};
    const steward::job_layout layout{1};
    bool reads_held = false;
    bool feeds_held = false;

private:
    void later(std::function<void()> action) {
        timers_.push_back(loop_.after(base::duration{0}, std::move(action)));
    }

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
    std::vector<std::function<void()>> held_;
};

class all_rights final : public steward::owner_rights {
public:
    bool may_order() override { return true; }
    bool store_answers() override { return true; }
    renewal last_renewal() override { return {}; }
    void superseded(const std::string& where) override { ADD_FAILURE() << where; }
};

class counting_owner : public testing::Test {
public:
    counting_owner() { record.waiting = fleet::waiting_count{fleet::fence(1), earlier_count, {}}; }

    void begin() {
        one = std::make_unique<steward::owner_task>(loop, store, vms, *rows, store.layout, advisers,
                                                    rights, fleet::fence(2), settings, metrics);
        one->configure(std::make_shared<fleet::fleet_configuration>());
    }

    void run_for(base::duration time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    // Its number, of the count that the renewed record has.
    std::int64_t described(std::int64_t number) {
        one->describe(record, number);
        return record.waiting->number;
    }

    static constexpr std::int64_t earlier_count = 70;
    static constexpr base::milliseconds a_moment{100};
    static constexpr base::milliseconds silence{2'500};
    static constexpr base::milliseconds feed_wait{1'000};  // the store has answered once more

    net::event_loop loop;
    held_store store{loop};
    standins::silent_vms vms;
    all_rights rights;
    base::metrics metrics;
    steward::adviser_pool advisers{vms, metrics};
    const std::unique_ptr<fleet::platform_rows> rows = shared_platform::make_platform_rows();
    fleet::owner_record record;
    steward::owner_settings settings;
    std::unique_ptr<steward::owner_task> one;
};

TEST_F(counting_owner, not_before_they_are_read) {
    store.reads_held = true;
    begin();
    run_for(a_moment);
    EXPECT_EQ(described(1), earlier_count);
    store.release();
    run_for(a_moment);
    EXPECT_EQ(described(2), 2);
    EXPECT_EQ(record.waiting->counted_by, fleet::fence(2));
    EXPECT_EQ(record.waiting->jobs.at(fleet::queue_name("previews")), 1);
}

TEST_F(counting_owner, not_while_no_changes_are_heard) {
    begin();
    run_for(a_moment);
    EXPECT_EQ(described(1), 1);
    store.feeds_held = true;
    run_for(silence);
    EXPECT_EQ(described(2), 1);
    store.release();
    run_for(feed_wait);
    EXPECT_EQ(described(3), 3);
}

// The store made the answer when it was asked; jobs that were accepted since are not in it.
TEST_F(counting_owner, not_when_an_answer_about_changes_comes_late) {
    begin();
    run_for(a_moment);
    EXPECT_EQ(described(1), 1);
    store.feeds_held = true;
    run_for(silence);
    store.release();
    EXPECT_EQ(described(2), 1);
}

TEST_F(counting_owner, a_partial_list_of_vms_narrows_nothing) {
    record.largest_vm.cores = base::millicores(8'000);
    record.labels = {fleet::vm_label("fast")};
    settings.expected_vms = 2;
    begin();
    run_for(a_moment);
    described(1);
    EXPECT_EQ(record.largest_vm.cores, base::millicores(8'000));
    EXPECT_EQ(record.labels.count(fleet::vm_label("fast")), 1U);
}

}  // namespace
