// A submission whose rows the store can't hold is refused at once, and does not hold back the
// submissions that are written together with it.
#include <cranberrydock/fleet_daemon/submission_writer.hpp>

#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <map>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int refused = 429;

class oversized_submission : public testing::Test {
public:
    oversized_submission() : daemons(1, platform_site_options{}) {
        EXPECT_TRUE(daemons.wait_until_ready(0));
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0 && daemons.ready(0); }));
    }

    int submit(int number, int steps, int tasks_per_step) {
        nlohmann::json phases = nlohmann::json::array();
        for (int i = 0; i < steps; ++i) {
            phases.push_back(
                {{"count", tasks_per_step}, {"cpu", 1'000}, {"memMb", 10}, {"estimatedMs", 300}});
        }
        const nlohmann::json body = {{"spec", "work"}, {"phases", std::move(phases)}};
        return daemons.call(0, "POST", "/urgent/" + job_id_text(number), body.dump()).status;
    }

    fleet_cluster daemons;
};

TEST_F(oversized_submission, with_many_steps_is_refused) {
    EXPECT_EQ(submit(1, 2'000, 1), refused);
    EXPECT_EQ(submit(2, 20, 1), ok);
}

TEST_F(oversized_submission, with_many_tasks_is_refused) {
    EXPECT_EQ(submit(1, 1, 70'000), refused);
    EXPECT_EQ(submit(2, 1, 1'000), ok);
}

// Rejects each transaction with the row of `rejected`, and records the sizes of the others.
class rejecting_store final : public fleet::row_store {
public:
    explicit rejecting_store(net::event_loop& loop) : loop_(loop) {}

    void commit(const fleet::row_transaction& transaction, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        ++transactions;
        std::size_t bytes = 0;
        bool accepted = true;
        for (const auto& it : transaction.puts) {
            accepted = accepted && it.address.name.str() != rejected;
            bytes += it.value.size();
        }
        largest_transaction = std::max(largest_transaction, bytes);
        timers_.push_back(loop_.after(base::milliseconds(5), [done = std::move(done), accepted] {
            if (accepted) {
                done(fleet::store_version(1));
            } else {
                done(tl::make_unexpected(fleet::store_error{fleet::store_failure::rejected, {}}));
            }
        }));
    }
    void read(const fleet::table_name& /*table*/, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback /*done*/) override {}
    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds /*wait*/, fleet::read_callback /*done*/) override {}

    std::string rejected;
    int transactions = 0;
    std::size_t largest_transaction = 0;

private:
    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

class no_owner final : public fleet_daemon::owner_writer {
public:
    bool owner_responds() const override { return false; }
    bool has_loaded(const fleet::job_id& /*job*/) const override { return false; }
    void write_through_owner(const fleet_daemon::delegated_job& /*delegated*/,
                             base::milliseconds /*timeout*/,
                             const fleet_daemon::write_callback& /*done*/) override {}
};

class submissions_written_together : public testing::Test {
public:
    void write_all(std::size_t row_bytes) {
        for (int i = 0; i < job_count; ++i) {
            const fleet::job_id job("job-" + std::to_string(i));
            writer.write(job, std::string(row_bytes, 'x'), clock.now() + base::seconds(3),
                         [this, job](const auto& result) {
                             outcomes[job.str()] = result.outcome;
                             if (outcomes.size() == job_count) {
                                 loop.stop();
                             }
                         });
        }
        const auto limit = loop.after(base::milliseconds(4'000), [this] { loop.stop(); });
        loop.run();
    }

    static constexpr int job_count = 20;
    net::event_loop loop;
    rejecting_store store{loop};
    no_owner owner;
    base::metrics metrics;
    base::suspend_aware_clock clock;
    const fleet_daemon::job_layout layout{1};
    fleet::store_limits limits{2'000, 5'000};
    fleet_daemon::submission_writer writer{loop, store, layout, owner, metrics, limits};
    std::map<std::string, fleet_daemon::write_outcome> outcomes;
};

TEST_F(submissions_written_together, rejected_row_concerns_its_own_job) {
    store.rejected = "job-7";
    write_all(10);
    ASSERT_EQ(outcomes.size(), static_cast<std::size_t>(job_count));
    for (const auto& it : outcomes) {
        EXPECT_EQ(it.second, it.first == store.rejected ? fleet_daemon::write_outcome::refused
                                                        : fleet_daemon::write_outcome::written)
            << it.first;
    }
    EXPECT_LE(store.transactions, job_count + 2);
}

TEST_F(submissions_written_together, transaction_stays_below_limit_of_store) {
    write_all(1'500);
    EXPECT_EQ(outcomes.size(), static_cast<std::size_t>(job_count));
    EXPECT_LE(store.largest_transaction, limits.transaction_bytes);
}

}  // namespace
