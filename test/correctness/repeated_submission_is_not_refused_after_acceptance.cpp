// A queue that cannot serve new jobs in time refuses them before anything is written. A repeat of a
// submission that was accepted before must not be refused, since a refusal says that the job never
// runs.
#include <cranberrydock/fleet_daemon/job_api.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <map>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

// Holds the rows of one partition in memory.
class memory_store final : public fleet::row_store {
public:
    explicit memory_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& transaction, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        later(write_time, [this, transaction, done = std::move(done)] {
            std::vector<fleet::stored_row> current;
            for (const auto& it : transaction.conditions) {
                const auto found = rows.find(key(it.address));
                if (found != rows.end()) {
                    current.push_back({it.address, found->second, fleet::store_version(1), false});
                }
            }
            if (!current.empty()) {
                done(tl::make_unexpected(
                    fleet::store_error{fleet::store_failure::conflict, current}));
                return;
            }
            for (const auto& it : transaction.puts) {
                rows[key(it.address)] = it.value;
            }
            done(fleet::store_version(1));
        });
    }

    void read(const fleet::table_name& table, const fleet::partition_name& part,
              const fleet::row_name& from, std::size_t /*limit*/, base::milliseconds /*timeout*/,
              fleet::read_callback done) override {
        const fleet::row_address address{table, part, from};
        later(base::milliseconds(1), [this, address, done = std::move(done)] {
            if (!answers) {
                done(
                    tl::make_unexpected(fleet::store_error{fleet::store_failure::answer_lost, {}}));
                return;
            }
            fleet::rows_read out;
            const auto found = rows.find(key(address));
            if (found != rows.end()) {
                out.rows.push_back({address, found->second, fleet::store_version(1), false});
            }
            done(out);
        });
    }

    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds /*wait*/, fleet::read_callback /*done*/) override {}

    static std::string key(const fleet::row_address& address) {
        return address.table.str() + "/" + address.name.str();
    }

    std::map<std::string, std::string> rows;
    bool answers = true;
    base::milliseconds write_time{1};

private:
    void later(base::duration delay, std::function<void()> action) {
        timers_.push_back(loop_.after(delay, std::move(action)));
    }

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

class overloaded_fleet final : public fleet_daemon::fleet_view {
public:
    std::shared_ptr<const fleet::fleet_configuration> configuration() const override {
        return configured;
    }
    const fleet::owner_record& owner() const override { return record; }
    base::milliseconds owner_age() const override { return age; }
    std::optional<base::milliseconds> count_age() const override { return std::nullopt; }
    bool shutting_down() const override { return false; }
    void query_owner(const fleet::job_id& /*job*/, fleet_daemon::status_callback done) override {
        done(std::nullopt);
    }
    void notify_owner(const fleet::job_id& /*job*/, const std::string& /*row*/,
                      fleet::store_version /*version*/, std::function<void()> notified) override {
        notified();
    }
    bool owner_responds() const override { return false; }
    bool has_loaded(const fleet::job_id& /*job*/) const override { return false; }
    void write_through_owner(const fleet_daemon::delegated_job& /*delegated*/,
                             base::milliseconds /*timeout*/,
                             const fleet_daemon::write_callback& /*done*/) override {}

    std::shared_ptr<const fleet::fleet_configuration> configured =
        std::make_shared<const fleet::fleet_configuration>(two_queue_configuration());
    fleet::owner_record record;
    base::milliseconds age{500};
};

class repeated_submission : public testing::Test {
public:
    void overload() { view.record.overloaded[fleet::queue_name("urgent")] = retry_after; }

    fleet_daemon::job_draft draft() const {
        fleet_daemon::job_draft out;
        out.payload = "work";
        out.steps = {make_step(1, 1'000)};
        return out;
    }

    void send(const fleet_daemon::job_draft& job = {}) {
        fleet_daemon::caller requester;
        requester.host = "h";
        requester.path = "/urgent/00000000000000a1";
        requester.key = "k";
        requester.timeout = caller_timeout;
        api.submit(requester, job.steps.empty() ? draft() : job,
                   [this](const auto& answer) { answers.push_back(answer); });
    }

    void run_for(base::milliseconds time) {
        const auto limit = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    tl::expected<fleet_daemon::job_accepted, base::refusal> submit(
        const fleet_daemon::job_draft& job = {}) {
        send(job);
        run_for(base::milliseconds(50));
        EXPECT_FALSE(answers.empty());
        return answers.empty() ? tl::make_unexpected(base::refusal{}) : answers.back();
    }

    static constexpr base::milliseconds retry_after{3'000};
    const fleet::job_id job{"00000000000000a1"};
    base::milliseconds caller_timeout{0};  // 0: not stated
    net::event_loop loop;
    memory_store store{loop};
    const fleet_daemon::job_layout layout{1};
    overloaded_fleet view;
    base::metrics metrics;
    fleet_daemon::job_api api{loop, store, layout, view, metrics};
    std::vector<tl::expected<fleet_daemon::job_accepted, base::refusal>> answers;
};

TEST_F(repeated_submission, of_waiting_job_is_accepted) {
    ASSERT_TRUE(submit());
    overload();
    EXPECT_TRUE(submit());
}

TEST_F(repeated_submission, of_ended_job_is_accepted) {
    ASSERT_TRUE(submit());
    store.rows.clear();
    fleet::job_progress ended;
    ended.state = fleet::job_state::complete;
    store.rows[memory_store::key(layout.ended_row(job))] = encode_progress(ended);
    overload();
    EXPECT_TRUE(submit());
}

TEST_F(repeated_submission, during_the_first_write_gets_its_outcome) {
    store.write_time = base::milliseconds(100);
    send();
    run_for(base::milliseconds(20));
    overload();
    send();
    run_for(base::milliseconds(300));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_TRUE(answers[0]);
    EXPECT_TRUE(answers[1]);
}

TEST_F(repeated_submission, after_write_without_answer_is_not_refused) {
    store.write_time = base::milliseconds(600);
    caller_timeout = base::milliseconds(500);
    send();
    run_for(caller_timeout);
    ASSERT_EQ(answers.size(), 1U);
    ASSERT_FALSE(answers[0]);
    EXPECT_FALSE(answers[0].error().not_run);
    ASSERT_TRUE(store.rows.empty());
    overload();
    send();
    run_for(store.write_time * 2);
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_FALSE(store.rows.empty());
    EXPECT_TRUE(answers[1] || !answers[1].error().not_run);
}

TEST_F(repeated_submission, after_write_without_answer_is_not_refused_for_lack_of_time) {
    store.write_time = base::milliseconds(600);
    caller_timeout = base::milliseconds(500);
    send();
    run_for(caller_timeout);
    caller_timeout = base::milliseconds(1);
    send();
    run_for(store.write_time);
    ASSERT_EQ(answers.size(), 2U);
    ASSERT_FALSE(answers[1]);
    EXPECT_FALSE(answers[1].error().not_run);
}

TEST_F(repeated_submission, of_job_that_can_no_longer_fit_is_accepted) {
    ASSERT_TRUE(submit());
    view.record.largest_vm.cores = base::millicores(100);
    EXPECT_TRUE(submit());
}

TEST_F(repeated_submission, is_not_refused_while_store_is_silent) {
    overload();
    store.answers = false;
    const auto answer = submit();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().reason, base::refusal_reason::outcome_unknown);
    EXPECT_FALSE(answer.error().not_run);
}

TEST_F(repeated_submission, new_job_is_refused_before_anything_is_written) {
    overload();
    const auto answer = submit();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().reason, base::refusal_reason::overloaded);
    EXPECT_TRUE(answer.error().not_run);
    EXPECT_EQ(answer.error().retry_after, retry_after);
    EXPECT_TRUE(store.rows.empty());
    // The same id is accepted once the queue serves new jobs again.
    view.record.overloaded.clear();
    EXPECT_TRUE(submit());
}

TEST_F(repeated_submission, of_withdrawn_job_stays_cancelled) {
    store.rows[memory_store::key(layout.job_row(job))] =
        fleet::encode_cancelled({fleet::customer_name("crew"), fleet::queue_name("urgent"), true});
    overload();
    const auto answer = submit();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().reason, base::refusal_reason::cancelled);
}

TEST_F(repeated_submission, outdated_figures_refuse_nothing) {
    overload();
    view.age = base::milliseconds(10'000);
    EXPECT_TRUE(submit());
}

TEST_F(repeated_submission, job_due_later_is_accepted) {
    overload();
    auto timed = draft();
    timed.occurrences = 2;
    timed.period = base::milliseconds(1'000);
    const auto wall_now = std::chrono::duration_cast<base::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    timed.first_start = fleet::unix_time((wall_now + retry_after * 2).count());
    EXPECT_TRUE(submit(timed));
}

TEST_F(repeated_submission, long_running_job_is_accepted) {
    overload();
    auto lasting = draft();
    lasting.steps[0].long_running = true;
    EXPECT_TRUE(submit(lasting));
}

}  // namespace
