// Twenty daemons accept jobs while each transaction of the store takes hundreds of milliseconds and
// each part runs one transaction at a time. The owner writes the jobs together, so that most are
// accepted before their callers time out. Each answer matches the store: a refused job is not in
// it, an accepted job is. When the owner becomes unresponsive, the daemons that had handed jobs to
// it write them themselves.
#include <cranberrydock/fleet_daemon/submission_writer.hpp>

#include "standins/slow_store.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int daemon_count = 20;
constexpr std::size_t partition_count = 3;
// Callers wait for three seconds; the transfer time of the answer is subtracted.
constexpr base::milliseconds caller_timeout{2'750};
// The platform's store answers in 4 ms and runs 200 transactions a second on a part. At its worst
// it is eighty times slower.
constexpr slow_store_options slow_plan{base::milliseconds(320), base::milliseconds(400),
                                       base::milliseconds(1'000)};

bool accepted(fleet_daemon::write_outcome outcome) {
    return outcome == fleet_daemon::write_outcome::written ||
           outcome == fleet_daemon::write_outcome::already_written;
}

class submission_writers : public testing::Test {
public:
    struct daemon final : fleet_daemon::owner_writer {
        explicit daemon(submission_writers& test, bool is_owner)
            : fixture(test),
              owns(is_owner),
              writer(test.loop, test.store, test.layout, *this, test.metrics) {}

        bool owner_responds() const override { return !owns && fixture.owner_responds; }
        bool has_loaded(const fleet::job_id& job) const override {
            return owns && fixture.store.has_row(fixture.layout.job_row(job));
        }
        void write_through_owner(const fleet_daemon::delegated_job& handed,
                                 base::milliseconds timeout,
                                 const fleet_daemon::write_callback& done) override {
            if (!fixture.owner_receives) {
                return;
            }
            fixture.daemons.front()->writer.write_for_peer(handed, fixture.clock.now() + timeout,
                                                           done);
        }

        submission_writers& fixture;
        bool owns;
        fleet_daemon::submission_writer writer;
    };

    void start_daemons(const slow_store_options& plan) {
        store.set_options(plan);
        for (int i = 0; i < daemon_count; ++i) {
            daemons.push_back(std::make_unique<daemon>(*this, i == 0));
        }
    }

    // Submits one job every `pause`, in turn to the daemons other than the owner.
    void submit_for(base::milliseconds time, base::milliseconds pause) {
        const int job_count = static_cast<int>(time / pause);
        for (int i = 0; i < job_count; ++i) {
            timers.push_back(loop.after(pause * i, [this, i] {
                const fleet::job_id job("job-" + std::to_string(i));
                auto& receiver = *daemons[static_cast<std::size_t>(1 + i % (daemon_count - 1))];
                const auto sent_at = clock.now();
                receiver.writer.write(
                    job, "row", sent_at + caller_timeout, [this, job, sent_at](const auto& result) {
                        EXPECT_EQ(outcomes.count(job), 0U) << "answered twice";
                        outcomes[job] = result.outcome;
                        EXPECT_LT(clock.now() - sent_at, caller_timeout + base::milliseconds(500));
                    });
            }));
        }
        submitted += job_count;
    }

    void run_for(base::milliseconds time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    int accepted_count() const {
        return count(fleet_daemon::write_outcome::written) +
               count(fleet_daemon::write_outcome::already_written);
    }

    int count(fleet_daemon::write_outcome outcome) const {
        int out = 0;
        for (const auto& it : outcomes) {
            out += it.second == outcome ? 1 : 0;
        }
        return out;
    }

    void expect_answers_match_store() const {
        EXPECT_EQ(outcomes.size(), static_cast<std::size_t>(submitted));
        for (const auto& it : outcomes) {
            const bool stored = store.has_row(layout.job_row(it.first));
            if (accepted(it.second)) {
                EXPECT_TRUE(stored) << it.first.str() << " was accepted but is not stored";
            } else if (it.second == fleet_daemon::write_outcome::refused) {
                EXPECT_FALSE(stored) << it.first.str() << " was refused but is stored";
            }
        }
    }

    net::event_loop loop;
    base::monotonic_clock clock;
    base::metrics metrics;
    fleet_daemon::job_layout layout{partition_count};
    slow_store store{loop, {}};
    bool owner_responds = true;
    bool owner_receives = true;
    std::vector<std::unique_ptr<daemon>> daemons;
    std::vector<std::unique_ptr<net::timer>> timers;
    std::map<fleet::job_id, fleet_daemon::write_outcome> outcomes;
    int submitted = 0;
};

TEST_F(submission_writers, batched_writes_accept_a_third_of_jobs) {
    start_daemons(slow_plan);
    submit_for(base::milliseconds(5'000), base::milliseconds(12));
    run_for(base::milliseconds(9'000));
    expect_answers_match_store();
    // At least a third of the jobs, which is the floor for the platform's worst days. One
    // transaction per job would have a tenth of them accepted.
    EXPECT_GE(3 * accepted_count(), submitted)
        << store.transaction_count() << " transactions, "
        << count(fleet_daemon::write_outcome::refused) << " refused, "
        << count(fleet_daemon::write_outcome::undetermined) << " with unknown outcome";
}

TEST_F(submission_writers, fast_store_accepts_all_jobs) {
    start_daemons({base::milliseconds(4), base::milliseconds(5), base::milliseconds(1'000)});
    submit_for(base::milliseconds(1'000), base::milliseconds(10));
    run_for(base::milliseconds(2'000));
    expect_answers_match_store();
    EXPECT_EQ(count(fleet_daemon::write_outcome::written), submitted);
}

// Shows that the load is high enough: daemons that write on their own miss the floor.
TEST_F(submission_writers, separate_writes_miss_the_floor) {
    owner_responds = false;
    start_daemons(slow_plan);
    submit_for(base::milliseconds(5'000), base::milliseconds(12));
    run_for(base::milliseconds(9'000));
    expect_answers_match_store();
    EXPECT_LT(3 * accepted_count(), submitted);
}

TEST_F(submission_writers, unresponsive_owner_loses_no_job) {
    start_daemons(slow_plan);
    submit_for(base::milliseconds(1'500), base::milliseconds(100));
    // By this time all daemons have noticed that the store is slow.
    timers.push_back(loop.after(base::milliseconds(1'000), [this] { owner_receives = false; }));
    timers.push_back(loop.after(base::milliseconds(1'600), [this] {
        owner_responds = false;
        store.set_options({});
    }));
    run_for(base::milliseconds(5'000));
    expect_answers_match_store();
    EXPECT_EQ(count(fleet_daemon::write_outcome::refused), 0);
    EXPECT_EQ(count(fleet_daemon::write_outcome::undetermined), 0);
}

TEST_F(submission_writers, repeated_submission_joins_the_first) {
    start_daemons(slow_plan);
    auto& receiver = *daemons[1];
    int answers = 0;
    for (int i = 0; i < 3; ++i) {
        receiver.writer.write(fleet::job_id("same"), "row", clock.now() + caller_timeout,
                              [&answers](const auto& result) {
                                  EXPECT_TRUE(accepted(result.outcome));
                                  ++answers;
                              });
    }
    run_for(base::milliseconds(2'500));
    EXPECT_EQ(answers, 3);
}

TEST_F(submission_writers, unresponsive_store_gives_unknown_outcome) {
    start_daemons({});
    store.become_unresponsive();
    submit_for(base::milliseconds(100), base::milliseconds(50));
    run_for(base::milliseconds(3'500));
    EXPECT_EQ(count(fleet_daemon::write_outcome::undetermined), submitted);
}

// Guards against a job being reported as possibly stored after the store has refused every write.
TEST_F(submission_writers, slow_refusals_refuse_the_job) {
    owner_responds = false;
    static constexpr base::milliseconds refused_always{-1'000'000'000'000};
    start_daemons({base::milliseconds(320), base::milliseconds(400), refused_always});
    submit_for(base::milliseconds(100), base::milliseconds(100));
    timers.push_back(loop.after(base::milliseconds(1'000), [this] {
        store.set_options({base::milliseconds(4), base::milliseconds(5), refused_always});
    }));
    run_for(base::milliseconds(3'500));
    EXPECT_EQ(count(fleet_daemon::write_outcome::refused), submitted);
}

}  // namespace
