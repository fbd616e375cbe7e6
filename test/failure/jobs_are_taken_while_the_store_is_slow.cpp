// Twenty daemons take jobs while each transaction of the store takes hundreds of milliseconds and a
// part does one after another. The jobs are written together by the owner, so that most are
// accepted before their callers give up, and each answer is true: what was refused is not in the
// store, what was accepted is. A silent owner's jobs are written by those that had handed them
// over.
#include <cranberrydock/steward/submission_writer.hpp>

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
constexpr std::size_t part_count = 3;
// What callers have: three seconds, less the time for the answer's way.
constexpr base::milliseconds patience{2'750};
// The platform's store answers in 4 ms and does 200 transactions a second on a part; eighty times
// slower at its worst.
constexpr slow_store_plan slow_times{base::milliseconds(320), base::milliseconds(400),
                                     base::milliseconds(1'000)};

bool accepted(steward::write_outcome outcome) {
    return outcome == steward::write_outcome::written || outcome == steward::write_outcome::known;
}

class crew_of_writers : public testing::Test {
public:
    struct daemon final : steward::owner_writer {
        explicit daemon(crew_of_writers& crew, bool is_owner)
            : all(crew),
              owns(is_owner),
              writer(crew.loop, crew.store, crew.layout, *this, crew.metrics) {}

        bool owner_answers() const override { return !owns && all.owner_answers; }
        bool has_read(const fleet::job_id& job) const override {
            return owns && all.store.has(all.layout.job_row(job));
        }
        void write_through_owner(const steward::handed_job& what, base::milliseconds timeout,
                                 const steward::write_done& done) override {
            if (!all.owner_hears) {
                return;
            }
            all.daemons.front()->writer.write_for_peer(what, all.clock.now() + timeout, done);
        }

        crew_of_writers& all;
        bool owns;
        steward::submission_writer writer;
    };

    void begin(const slow_store_plan& plan) {
        store.set_plan(plan);
        for (int i = 0; i < daemon_count; ++i) {
            daemons.push_back(std::make_unique<daemon>(*this, i == 0));
        }
    }

    // Daemons but the owner are handed a job each `pause`, in turn.
    void submit_for(base::milliseconds time, base::milliseconds pause) {
        const int n = static_cast<int>(time / pause);
        for (int i = 0; i < n; ++i) {
            timers.push_back(loop.after(pause * i, [this, i] {
                const fleet::job_id job("job-" + std::to_string(i));
                auto& taker = *daemons[static_cast<std::size_t>(1 + i % (daemon_count - 1))];
                const auto sent = clock.now();
                taker.writer.write(
                    job, "row", sent + patience, [this, job, sent](const auto& result) {
                        EXPECT_EQ(outcomes.count(job), 0U) << "answered twice";
                        outcomes[job] = result.outcome;
                        EXPECT_LT(clock.now() - sent, patience + base::milliseconds(500));
                    });
            }));
        }
        submitted += n;
    }

    void run_for(base::milliseconds time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    int accepted_count() const {
        return count(steward::write_outcome::written) + count(steward::write_outcome::known);
    }

    int count(steward::write_outcome outcome) const {
        int out = 0;
        for (const auto& it : outcomes) {
            out += it.second == outcome ? 1 : 0;
        }
        return out;
    }

    void expect_true_answers() const {
        EXPECT_EQ(outcomes.size(), static_cast<std::size_t>(submitted));
        for (const auto& it : outcomes) {
            const bool there = store.has(layout.job_row(it.first));
            if (accepted(it.second)) {
                EXPECT_TRUE(there) << it.first.str() << " was accepted";
            } else if (it.second == steward::write_outcome::refused) {
                EXPECT_FALSE(there) << it.first.str() << " was refused";
            }
        }
    }

    net::event_loop loop;
    base::monotonic_clock clock;
    base::metrics metrics;
    steward::job_layout layout{part_count};
    slow_store store{loop, {}};
    bool owner_answers = true;
    bool owner_hears = true;
    std::vector<std::unique_ptr<daemon>> daemons;
    std::vector<std::unique_ptr<net::timer>> timers;
    std::map<fleet::job_id, steward::write_outcome> outcomes;
    int submitted = 0;
};

TEST_F(crew_of_writers, most_jobs_are_accepted) {
    begin(slow_times);
    submit_for(base::milliseconds(5'000), base::milliseconds(12));
    run_for(base::milliseconds(9'000));
    expect_true_answers();
    // A third of the jobs at least, the floor of the platform's worst days; one transaction a job
    // would carry a tenth.
    EXPECT_GE(3 * accepted_count(), submitted)
        << store.transactions() << " transactions, " << count(steward::write_outcome::refused)
        << " refused, " << count(steward::write_outcome::unclear) << " unclear";
}

TEST_F(crew_of_writers, a_quick_store_is_written_to_directly) {
    begin({base::milliseconds(4), base::milliseconds(5), base::milliseconds(1'000)});
    submit_for(base::milliseconds(1'000), base::milliseconds(10));
    run_for(base::milliseconds(2'000));
    expect_true_answers();
    EXPECT_EQ(count(steward::write_outcome::written), submitted);
}

// The load is one that matters: each daemon on its own misses the floor.
TEST_F(crew_of_writers, writing_apart_would_not_do) {
    owner_answers = false;
    begin(slow_times);
    submit_for(base::milliseconds(5'000), base::milliseconds(12));
    run_for(base::milliseconds(9'000));
    expect_true_answers();
    EXPECT_LT(3 * accepted_count(), submitted);
}

TEST_F(crew_of_writers, an_owner_that_falls_silent_loses_no_job) {
    begin(slow_times);
    submit_for(base::milliseconds(1'500), base::milliseconds(100));
    // All have seen by now that the store is slow.
    timers.push_back(loop.after(base::milliseconds(1'000), [this] { owner_hears = false; }));
    timers.push_back(loop.after(base::milliseconds(1'600), [this] {
        owner_answers = false;
        store.set_plan({});
    }));
    run_for(base::milliseconds(5'000));
    expect_true_answers();
    EXPECT_EQ(count(steward::write_outcome::refused), 0);
    EXPECT_EQ(count(steward::write_outcome::unclear), 0);
}

TEST_F(crew_of_writers, a_job_sent_again_joins_the_first) {
    begin(slow_times);
    auto& taker = *daemons[1];
    int answers = 0;
    for (int i = 0; i < 3; ++i) {
        taker.writer.write(fleet::job_id("same"), "row", clock.now() + patience,
                           [&answers](const auto& result) {
                               EXPECT_TRUE(accepted(result.outcome));
                               ++answers;
                           });
    }
    run_for(base::milliseconds(2'500));
    EXPECT_EQ(answers, 3);
}

TEST_F(crew_of_writers, a_silent_store_is_told_as_unclear) {
    begin({});
    store.fall_silent();
    submit_for(base::milliseconds(100), base::milliseconds(50));
    run_for(base::milliseconds(3'500));
    EXPECT_EQ(count(steward::write_outcome::unclear), submitted);
}

}  // namespace
