// The progress row of a job must fit into a row of the store however long the job lives.
// Long-running tasks fail and restart without limit, and a timed job has any number of occurrences.
#include <cranberrydock/fleet/job_rows.hpp>
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::int64_t start_of_day = 1'000'000;
constexpr std::int64_t period_ms = 1'000;
constexpr std::size_t bounded_size = 200;  // bytes
constexpr int many = 2'000;

class progress_row : public testing::Test {
public:
    progress_row() { configure(owner); }

    void configure(fleet::scheduler& scheduler) {
        scheduler.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        fleet::vm_info facts;
        facts.id = vm;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        facts.boot = fleet::boot_time(1);
        scheduler.vm_listed(facts);
        scheduler.vm_reported(vm, {}, now.steady, now);
        scheduler.inherited_runs_reported(now);
    }

    void pass(base::milliseconds time) {
        now.steady += time;
        now.wall = fleet::unix_time(now.wall.value() + time.count());
    }

    // Starts what can be started, ends all of it, and saves the progress.
    void run_once(fleet::completion_kind kind) {
        fleet::vm_report report;
        report.boot = fleet::boot_time(1);
        for (const auto& it : owner.decide(now, {}).starts) {
            owner.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
            report.completions.push_back(
                {fleet::completion_number(++last_completion), it.task, it.run, kind, {}});
            ++runs;
        }
        pass(base::milliseconds(10));
        owner.vm_reported(vm, report, now.steady, now);
        save();
    }

    void save() {
        for (const auto& it : owner.take_unsaved_jobs(now)) {
            saved = fleet::encode_progress(it.progress);
            owner.progress_saved(it.job, it.change);
        }
    }

    static fleet::job_spec timed_job() {
        fleet::job_spec job = make_job("timed", "urgent", {make_step(1, 1'000)});
        job.occurrences = 100'000;
        job.period = base::milliseconds(period_ms);
        job.first_start = fleet::unix_time(start_of_day);
        return job;
    }

    const fleet::vm_id vm{"vm"};
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(start_of_day)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    std::int64_t last_completion = 0;
    int runs = 0;
    std::string saved;
};

TEST_F(progress_row, stays_bounded_while_long_running_task_fails) {
    auto step = make_step(1, 1'000);
    step.long_running = true;
    owner.add_job(make_job("service", "batch", {step}), nullptr, false, now);
    for (int i = 0; i < many; ++i) {
        run_once(fleet::completion_kind::failed);
        pass(base::milliseconds(5'000));
    }
    EXPECT_GE(runs, many - 1);
    EXPECT_LT(saved.size(), bounded_size);
    EXPECT_EQ(owner.acknowledgeable_completion(vm), fleet::completion_number(last_completion));
}

TEST_F(progress_row, stays_bounded_while_occurrences_are_done) {
    owner.add_job(timed_job(), nullptr, false, now);
    for (int i = 0; i < many; ++i) {
        run_once(fleet::completion_kind::done);
        pass(base::milliseconds(period_ms - 10));
    }
    EXPECT_GE(runs, many - 1);
    EXPECT_LT(saved.size(), bounded_size);
    EXPECT_EQ(owner.acknowledgeable_completion(vm), fleet::completion_number(last_completion));
}

// The first occurrence runs while many later ones begin and end.
TEST_F(progress_row, stays_bounded_while_first_occurrence_is_open) {
    owner.add_job(timed_job(), nullptr, false, now);
    pass(base::milliseconds(100));
    const auto first = owner.decide(now, {}).starts;
    ASSERT_EQ(first.size(), 1U);
    owner.start_answered(first[0].vm, first[0].task, first[0].run, fleet::vm_time(1), now);
    const auto still_running = [&] {
        fleet::vm_report report;
        report.boot = fleet::boot_time(1);
        report.running.push_back({first[0].task, first[0].run, {}, 10});
        return report;
    };
    for (int i = 0; i < many; ++i) {
        pass(base::milliseconds(period_ms));
        auto report = still_running();
        for (const auto& it : owner.decide(now, {}).starts) {
            owner.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
            report.completions.push_back({fleet::completion_number(++last_completion),
                                          it.task,
                                          it.run,
                                          fleet::completion_kind::done,
                                          {}});
            ++runs;
        }
        owner.vm_reported(vm, report, now.steady, now);
        save();
    }
    EXPECT_GE(runs, many - 1);
    EXPECT_LT(saved.size(), bounded_size);
}

// A new owner continues where the previous one has saved.
TEST_F(progress_row, of_many_occurrences_is_restored) {
    owner.add_job(timed_job(), nullptr, false, now);
    for (int i = 0; i < 10; ++i) {
        run_once(fleet::completion_kind::done);
        pass(base::milliseconds(period_ms - 10));
    }
    const auto decoded = fleet::decode_progress(saved);
    ASSERT_TRUE(decoded) << decoded.error();
    fleet::scheduler next{fleet::fencing_token(2), {}, metrics};
    configure(next);
    next.add_job(timed_job(), &*decoded, true, now);
    const auto started = next.decide(now, {}).starts;
    ASSERT_EQ(started.size(), 1U) << "the finished occurrences must not start again";
    EXPECT_EQ(started[0].task.occurrence, 10);
}

// Rows of the version that listed every occurrence and every failed run.
TEST_F(progress_row, of_previous_version_is_read) {
    const nlohmann::json done = {{"tasks", "d"}};
    const nlohmann::json failed = {{"tasks", "-"}, {"failed_runs", {{"0", {1, 2}}}}};
    const nlohmann::json row = {
        {"customer", "crew"},
        {"queue", "urgent"},
        {"state", 1},
        {"occurrences",
         nlohmann::json::array({nlohmann::json::array({done}), nlohmann::json::array({done}),
                                nlohmann::json::array({failed})})}};
    const auto bytes = nlohmann::json::to_cbor(row);
    const auto decoded = fleet::decode_progress({bytes.begin(), bytes.end()});
    ASSERT_TRUE(decoded) << decoded.error();
    pass(base::milliseconds(2 * period_ms + 500));
    fleet::scheduler next{fleet::fencing_token(2), {}, metrics};
    configure(next);
    next.add_job(timed_job(), &*decoded, true, now);
    const auto started = next.decide(now, {}).starts;
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].task.occurrence, 2);
    // The third failure reaches the limit of attempts.
    next.start_answered(vm, started[0].task, started[0].run, fleet::vm_time(1), now);
    fleet::vm_report report;
    report.boot = fleet::boot_time(1);
    report.completions.push_back({fleet::completion_number(1),
                                  started[0].task,
                                  started[0].run,
                                  fleet::completion_kind::failed,
                                  {}});
    next.vm_reported(vm, report, now.steady, now);
    EXPECT_EQ(next.status_of(fleet::job_id("timed"))->state, fleet::job_state::failed);
}

// A row that names an occurrence or a step which the job does not have is ignored.
TEST_F(progress_row, of_unknown_block_is_ignored) {
    fleet::job_progress progress;
    progress.state = fleet::job_state::active;
    fleet::step_progress done;
    done.done = {true};
    done.failed_runs.resize(1);
    progress.blocks[{2'000'000'000, 0, 0}] = done;
    progress.blocks[{0, 7, 0}] = done;
    progress.blocks[{0, 0, 64}] = done;
    owner.add_job(timed_job(), &progress, true, now);
    pass(base::milliseconds(100));
    const auto started = owner.decide(now, {}).starts;
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].task.occurrence, 0);
}

}  // namespace
