// Which runs the crash of a VM counts against, what proves a crash, and how the evidence is stored.
#include <cranberrydock/fleet/job_rows.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <map>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

class crashing_vms : public testing::Test {
public:
    crashing_vms() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        for (int i = 0; i < vm_count; ++i) {
            list("vm-" + std::to_string(i), "10.0.0." + std::to_string(i) + ":1");
        }
        owner.inherited_runs_reported(now);
        pass(fleet::unexplained_crashes::window);  // a new owner is careful
        owner.decide(now, {});
    }

    void list(const std::string& name, const std::string& address, bool leaving = false) {
        fleet::vm_info facts;
        facts.id = fleet::vm_id(name);
        facts.address = address;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        facts.boot = fleet::boot_time(1);
        facts.leaving = leaving;
        owner.vm_listed(facts);
        report(facts.id);
    }

    void report(const fleet::vm_id& vm) {
        fleet::vm_report out;
        out.boot = fleet::boot_time(1);
        for (const auto& it : runs) {
            if (it.second.vm == vm) {
                out.running.push_back({it.first, it.second.run, {}, 0});
            }
        }
        owner.vm_reported(vm, out, now.steady, now);
    }

    void pass(milliseconds time) {
        now.steady += time;
        now.wall = fleet::unix_time(now.wall.value() + time.count());
    }

    void submit(const std::string& id, int tasks = 1) {
        owner.add_job(make_job(id, "urgent", {make_step(tasks, 1'000)}), nullptr, false, now);
    }

    // Returns the number of tasks that were started.
    std::size_t decide() {
        pass(milliseconds(10));
        const auto decided = owner.decide(now, {});
        for (const auto& it : decided.starts) {
            runs[it.task] = it;
            owner.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
        }
        return decided.starts.size();
    }

    void save() {
        for (const auto& it : owner.take_unsaved_jobs(now)) {
            saved[it.job] = *fleet::decode_progress(fleet::encode_progress(it.progress));
            owner.progress_saved(it.job, it.change);
        }
    }

    fleet::crash_evidence evidence_of(const std::string& job) {
        save();
        const auto& progress = saved.at(fleet::job_id(job));
        return progress.occurrences.at(0).at(0).crashes.at(0);
    }

    fleet::vm_id vm_of(const std::string& job) { return runs.at({fleet::job_id(job), 0, 0, 0}).vm; }

    void lose_connection(const fleet::vm_id& vm) {
        owner.vm_reachable(vm, false);
        pass(milliseconds(3'000));
    }

    // The VM's next incarnation answers at its address.
    void crash(const fleet::vm_id& vm) {
        lose_connection(vm);
        for (auto it = runs.begin(); it != runs.end();) {
            it = it->second.vm == vm ? runs.erase(it) : std::next(it);
        }
        owner.vm_process_ended(vm);
        owner.vm_restarted(vm);
        report(vm);
    }

    static constexpr int vm_count = 8;
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    std::map<fleet::task_ref, fleet::start_decision> runs;
    std::map<fleet::job_id, fleet::job_progress> saved;
};

TEST_F(crashing_vms, crash_counts_against_run_that_had_just_started) {
    submit("old");
    decide();
    pass(milliseconds(2'000));
    report(vm_of("old"));
    submit("new");
    decide();
    ASSERT_EQ(vm_of("old"), vm_of("new"));
    crash(vm_of("new"));
    EXPECT_EQ(evidence_of("new").crashes, 1);
    EXPECT_EQ(evidence_of("new").alone, 1);
    EXPECT_EQ(evidence_of("old").crashes, 0);
}

TEST_F(crashing_vms, task_is_given_up_after_two_crashes_alone) {
    submit("job");
    for (int i = 0; i < 2; ++i) {
        ASSERT_EQ(decide(), 1U);
        crash(vm_of("job"));
        save();
    }
    decide();
    EXPECT_EQ(owner.status_of(fleet::job_id("job"))->state, fleet::job_state::failed);
}

TEST_F(crashing_vms, run_that_outlives_probation_clears_its_task) {
    submit("job");
    decide();
    crash(vm_of("job"));
    save();
    ASSERT_EQ(decide(), 1U);
    pass(fleet::crash_settings{}.probation);
    decide();
    EXPECT_FALSE(evidence_of("job").suspected());
}

// A service that runs for months sees more VMs crash than a task may crash.
TEST_F(crashing_vms, run_that_has_lived_long_clears_its_task) {
    submit("service");
    decide();
    crash(vm_of("service"));
    save();
    ASSERT_EQ(decide(), 1U);
    for (int i = 0; i < 6; ++i) {
        pass(fleet::crash_settings{}.blameless + milliseconds(1'000));
        report(vm_of("service"));
        crash(vm_of("service"));
        EXPECT_EQ(evidence_of("service").possible_crashes(), 0);
        ASSERT_EQ(decide(), 1U);
    }
}

TEST_F(crashing_vms, vm_on_probation_starts_nothing_else) {
    submit("suspect");
    decide();
    crash(vm_of("suspect"));
    save();
    pass(milliseconds(1'000));
    ASSERT_EQ(decide(), 1U);
    submit("others", 4 * (vm_count - 1));
    decide();
    for (const auto& it : runs) {
        EXPECT_TRUE(it.first.job == fleet::job_id("suspect") || it.second.vm != vm_of("suspect"));
    }
}

TEST_F(crashing_vms, vm_that_answers_again_has_not_crashed) {
    submit("job");
    decide();
    lose_connection(vm_of("job"));
    EXPECT_EQ(evidence_of("job").unresolved.size(), 1U);
    report(vm_of("job"));
    EXPECT_FALSE(evidence_of("job").suspected());
}

TEST_F(crashing_vms, vm_that_leaves_has_not_crashed) {
    submit("job");
    decide();
    const auto vm = vm_of("job");
    list(vm.str(), "10.0.0.0:1", true);
    lose_connection(vm);
    owner.vm_process_ended(vm);
    EXPECT_EQ(evidence_of("job").possible_crashes(), 0);
}

TEST_F(crashing_vms, lapsed_lease_is_no_proof_and_next_vm_at_address_is) {
    submit("job");
    decide();
    const auto vm = vm_of("job");
    lose_connection(vm);
    owner.vm_lost(vm, "left", {}, now);
    decide();
    EXPECT_EQ(evidence_of("job").crashes, 0);
    EXPECT_EQ(evidence_of("job").unresolved.size(), 1U);
    list("successor", "10.0.0." + vm.str().substr(3) + ":1");
    decide();
    EXPECT_EQ(evidence_of("job").crashes, 1);
    EXPECT_TRUE(evidence_of("job").unresolved.empty());
}

TEST_F(crashing_vms, next_owner_learns_of_crash_from_record) {
    submit("job");
    decide();
    const auto vm = vm_of("job");
    lose_connection(vm);
    save();
    fleet::scheduler next{fleet::fencing_token(2), {}, metrics};
    next.configure(std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
    next.add_job(make_job("job", "urgent", {make_step(1, 1'000)}), &saved.at(fleet::job_id("job")),
                 true, now);
    next.inherited_runs_reported(now);
    fleet::vm_info successor;
    successor.id = fleet::vm_id("successor");
    successor.address = "10.0.0." + vm.str().substr(3) + ":1";
    successor.service = fleet::service_name("svc");
    successor.capacity = vm_capacity_of(4'000);
    next.vm_listed(successor);
    EXPECT_TRUE(next.decide(now, {}).starts.empty()) << "it is not known yet";
    next.vm_reported(successor.id, {}, now.steady, now);
    next.decide(now, {});
    const auto unsaved = next.take_unsaved_jobs(now);
    ASSERT_EQ(unsaved.size(), 1U);
    EXPECT_EQ(unsaved.front().progress.occurrences.at(0).at(0).crashes.at(0).crashes, 1);
}

TEST_F(crashing_vms, task_whose_evidence_is_not_saved_waits) {
    submit("job");
    decide();
    crash(vm_of("job"));
    pass(milliseconds(5'000));
    EXPECT_EQ(decide(), 0U);
    save();
    EXPECT_EQ(decide(), 1U);
}

TEST_F(crashing_vms, queue_whose_tasks_crash_many_vms_is_isolated) {
    for (int i = 0; i < 3; ++i) {
        submit("job-" + std::to_string(i));
        decide();
        const auto vm = vm_of("job-" + std::to_string(i));
        owner.vm_reachable(vm, false);
        owner.vm_refuses_connections(vm);
        pass(milliseconds(400));
    }
    submit("next", 12);
    EXPECT_EQ(decide(), 1U) << "one of its tasks at a time, on probation";
}

TEST_F(crashing_vms, vms_that_do_not_answer_isolate_no_queue) {
    for (int i = 0; i < 3; ++i) {
        submit("job-" + std::to_string(i));
        decide();
        owner.vm_reachable(vm_of("job-" + std::to_string(i)), false);
        pass(milliseconds(400));
    }
    submit("next", 12);
    EXPECT_EQ(decide(), 12U);
}

// A task that crashes its VM at some age, beside younger runs that explain the crash better.
class mid_run_crash : public crashing_vms, public testing::WithParamInterface<int> {
public:
    // Starts what can be started until the task runs, then lets it reach its age beside a run that
    // has just started, and crashes its VM.
    void run_to_crash(milliseconds age) {
        for (int i = 0; i < 300 && runs.count(killer) == 0; ++i) {
            decide();
            pass(milliseconds(50));
        }
        ASSERT_EQ(runs.count(killer), 1U) << "waits";
        pass(age);
        submit("short-" + std::to_string(++short_jobs), 4 * vm_count);
        decide();
        const auto vm = runs.at(killer).vm;
        for (int i = 0; i < vm_count; ++i) {
            report(fleet::vm_id("vm-" + std::to_string(i)));
        }
        crash(vm);
        save();
        // The short runs end.
        for (const auto& it : runs) {
            if (it.first.job != killer.job) {
                owner.cancel_job(it.first.job, now);
            }
        }
        for (auto it = runs.begin(); it != runs.end();) {
            it = it->first.job == killer.job ? std::next(it) : runs.erase(it);
        }
        pass(milliseconds(1'000));
        decide();
        pass(milliseconds(10));
        for (int i = 0; i < vm_count; ++i) {
            report(fleet::vm_id("vm-" + std::to_string(i)));
        }
    }

    const fleet::task_ref killer{fleet::job_id("killer"), 0, 0, 0};
    int short_jobs = 0;
};

// Guards against a task that is started for ever since each of its crashes is blamed on others.
TEST_P(mid_run_crash, beside_younger_runs_ends_after_five_starts) {
    submit("killer");
    int starts = 0;
    while (owner.status_of(fleet::job_id("killer")) &&
           !is_final(owner.status_of(fleet::job_id("killer"))->state)) {
        ASSERT_LE(++starts, 5);
        ASSERT_NO_FATAL_FAILURE(run_to_crash(milliseconds(GetParam() + 37 * starts)));
        decide();
    }
    EXPECT_GE(starts, 2) << "one crash is no proof";
}

INSTANTIATE_TEST_SUITE_P(ages_ms, mid_run_crash,
                         testing::Values(10, 160, 900, 1'010, 2'500, 9'990, 29'700));

TEST_F(crashing_vms, losses_alone_do_not_clear_with_probation) {
    submit("job");
    decide();
    pass(milliseconds(2'000));
    report(vm_of("job"));
    submit("new");
    decide();
    ASSERT_EQ(vm_of("new"), vm_of("job"));
    crash(vm_of("job"));
    EXPECT_EQ(evidence_of("job").losses, 1);
    EXPECT_EQ(evidence_of("job").crashes, 0);
    auto evidence = evidence_of("job");
    evidence.clear();
    EXPECT_EQ(evidence.losses, 1);
}

// A VM whose leases have expired may have crashed. Only its next incarnation proves that it has.
TEST_F(crashing_vms, vm_lost_in_mid_run_counts_once_it_is_back_as_another_incarnation) {
    for (const bool crashed : {false, true}) {
        const std::string name = crashed ? "crashed" : "cut";
        submit(name);
        decide();
        const auto vm = vm_of(name);
        pass(milliseconds(5'000));
        report(vm);
        lose_connection(vm);
        owner.vm_lost(vm, "lease_lapsed", {}, now);
        fleet::vm_info facts;
        facts.id = vm;
        facts.address = "10.0.0." + vm.str().substr(3) + ":1";
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        facts.boot = fleet::boot_time(crashed ? 2 : 1);
        owner.vm_listed(facts);
        EXPECT_EQ(evidence_of(name).unresolved.size(), 1U);
        EXPECT_FALSE(evidence_of(name).suspected());
        EXPECT_GE(decide(), 1U) << "it does not wait for that";
        EXPECT_NE(vm_of(name), vm);
        fleet::vm_report next;
        next.boot = facts.boot;
        owner.vm_reported(vm, next, now.steady, now);
        decide();
        EXPECT_EQ(evidence_of(name).losses, crashed ? 1 : 0);
        EXPECT_TRUE(evidence_of(name).unresolved.empty());
    }
}

// An innocent task with losses waits for a VM of its own only for a limited time.
TEST_F(crashing_vms, task_with_losses_starts_beside_others_in_busy_fleet) {
    fleet::job_progress progress;
    progress.customer = fleet::customer_name("crew");
    progress.queue = fleet::queue_name("urgent");
    progress.state = fleet::job_state::active;
    fleet::crash_evidence evidence;
    evidence.losses = fleet::crash_evidence::losses_before_probation;
    constexpr int suspects = 40;
    progress.occurrences = {
        {{std::vector<bool>(suspects, false), std::vector<std::vector<fleet::run_number>>(suspects),
          std::vector<fleet::crash_evidence>(suspects, evidence)}}};
    // Half of the fleet is taken.
    submit("others", 4 * vm_count / 2);
    decide();
    owner.add_job(make_job("job", "urgent", {make_step(suspects, 500)}), &progress, false, now);
    // The first ones keep their VMs to themselves for as long as a probation lasts.
    const auto limit = fleet::crash_settings{}.max_wait_after_losses +
                       fleet::crash_settings{}.probation_after_losses;
    std::size_t started = 0;
    for (milliseconds passed{0}; passed <= limit + milliseconds(100); passed += milliseconds(10)) {
        started += decide();
        for (int i = 0; i < vm_count; ++i) {
            report(fleet::vm_id("vm-" + std::to_string(i)));
        }
    }
    constexpr std::size_t places = 2 * 4 * vm_count / 2;
    EXPECT_GE(started, std::min<std::size_t>(suspects, places));
}

TEST(crash_evidence, losses_are_stored) {
    fleet::job_progress progress;
    progress.state = fleet::job_state::active;
    fleet::step_progress step;
    for (int losses = 0; losses <= fleet::crash_evidence::max_crashes; ++losses) {
        fleet::crash_evidence evidence;
        evidence.losses = losses;
        evidence.crashes = losses / 2;
        evidence.unresolved.push_back({fleet::vm_key(1),
                                       fleet::address_key(2),
                                       fleet::boot_time(3),
                                       false,
                                       losses % 2 == 0,
                                       {}});
        step.done.push_back(false);
        step.failed_runs.emplace_back();
        step.crashes.push_back(evidence);
    }
    progress.occurrences = {{step}};
    const auto read = fleet::decode_progress(fleet::encode_progress(progress));
    ASSERT_TRUE(read) << read.error();
    const auto& crashes = read->occurrences.at(0).at(0).crashes;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        EXPECT_EQ(crashes[i].losses, step.crashes[i].losses);
        EXPECT_EQ(crashes[i].crashes, step.crashes[i].crashes);
        EXPECT_EQ(crashes[i].unresolved, step.crashes[i].unresolved);
    }
}

TEST(crash_evidence, is_encoded_in_one_character) {
    for (int crashes = 0; crashes <= fleet::crash_evidence::max_crashes; ++crashes) {
        for (int alone = 0; alone <= fleet::crash_evidence::max_alone; ++alone) {
            fleet::crash_evidence evidence;
            evidence.crashes = crashes;
            evidence.alone = alone;
            evidence.marked = alone > 0;
            const char mark = encode(evidence);
            EXPECT_NE(mark, fleet::done_mark);
            const auto decoded = fleet::decode_crash_evidence(mark);
            EXPECT_EQ(decoded.crashes, crashes);
            EXPECT_EQ(decoded.alone, alone);
            EXPECT_EQ(decoded.marked, evidence.marked);
        }
    }
    EXPECT_EQ(fleet::encode({}), fleet::no_evidence_mark) << "as written by earlier versions";
    EXPECT_FALSE(fleet::decode_crash_evidence('~').suspected()) << "of a later version";
}

}  // namespace
