// The owner's processor is 1 to 4 times dearer, the load is near the capacity, and a burst comes.
// Served work falls no faster than the processor does; what can't be served in time is refused
// early, and what is accepted is served. Everything runs in simulated time.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"
#include "standins/fleet_vm.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <optional>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;
using std::chrono::microseconds;

constexpr milliseconds step_time{5};
constexpr int vm_count = 20;
constexpr std::int64_t vm_cores = 8'000;  // thousandths
constexpr milliseconds run_time{500};
constexpr int tasks_per_job = 2;
// The VMs run at most 320 tasks a second, without the time until the owner learns of an end.
constexpr double jobs_per_second = 115;
constexpr double burst_factor = 1.6;
constexpr milliseconds burst_from{8'000};
constexpr milliseconds burst_until{16'000};
constexpr milliseconds traffic_until{32'000};
constexpr milliseconds grace{6'000};  // after the traffic, for what was accepted

constexpr milliseconds moment{200};
constexpr milliseconds long_wait{2'000};
// Entries learn within this time that there is room again.
constexpr milliseconds max_figures_delay{1'000};

// Costs of the owner's process on a processor of factor 1.
constexpr microseconds cost_of_decision{4'000};
constexpr microseconds cost_of_start{1'000};
constexpr microseconds cost_of_report{100};
constexpr microseconds cost_of_query{300};
constexpr microseconds cost_of_submission{300};
// As in the owner's process.
constexpr int pause_per_decision_time = 4;
constexpr milliseconds publication_period{400};
constexpr milliseconds network_delay{150};  // from the owner's row to the entries
constexpr milliseconds report_period{100};
constexpr milliseconds advice_time{20};

struct job_outcome {
    milliseconds submitted{0};  // the first attempt
    std::optional<milliseconds> accepted;
    std::optional<milliseconds> completed;
    bool refused = false;    // at the first attempt
    bool came_back = false;  // after Retry-After
};

struct curve_point {
    double factor = 1;
    int offered = 0;
    int in_time = 0;
    int served = 0;     // before the job lost its value
    int worthless = 0;  // completed later
    int refused = 0;    // also after the Retry-After
    int lost = 0;       // accepted and not completed
    int retries = 0;
    int accepted_retries = 0;
    int refusals_with_room = 0;
    milliseconds longest_pause{0};   // that callers were asked for
    milliseconds last_long_wait{0};  // when a job had last waited for over 2 s
};

class slow_owner {
public:
    slow_owner(double factor, bool refuses, bool needs_advice)
        : factor_(factor), refuses_(refuses) {
        auto configuration = two_queue_configuration();
        configuration.queues.resize(1);
        if (needs_advice) {
            configuration.queues[0].query_cost =
                fleet::placement_query_cost{milliseconds(2), microseconds(50), milliseconds(2'000)};
        }
        configuration.customers.begin()->second.share = 10'000;
        terms_ = configuration.queues[0].terms;
        owner_.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
        for (int i = 0; i < vm_count; ++i) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id("vm-" + std::to_string(i));
            facts.service = fleet::service_name("svc");
            facts.rack = fleet::rack_name("r" + std::to_string(i / 4));
            facts.capacity = vm_capacity_of(vm_cores);
            facts.boot = fleet::boot_time(1);
            vms_.push_back({std::make_unique<fleet_vm>(facts,
                                                       [](const auto&, auto) {
                                                           task_behavior out;
                                                           out.run_time = run_time;
                                                           return out;
                                                       }),
                            milliseconds(i)});
            owner_.vm_listed(facts);
            owner_.vm_reported(facts.id, *vms_.back().vm->watch(token_, {}), now().steady, now());
        }
        owner_.inherited_runs_reported(now());
    }

    curve_point run() {
        double due = 0;
        while (time_ < traffic_until + grace) {
            time_ += step_time;
            for (auto& it : vms_) {
                it.vm->advance(step_time);
            }
            run_due(timers_);
            if (time_ < traffic_until) {
                const bool in_burst = time_ >= burst_from && time_ < burst_until;
                due += jobs_per_second * (in_burst ? burst_factor : 1.0) *
                       static_cast<double>(step_time.count()) / 1'000;
                for (; due >= 1; due -= 1) {
                    outcomes_.push_back({});
                    outcomes_.back().submitted = time_;
                    submit(outcomes_.size() - 1);
                }
            }
            for (auto& it : vms_) {
                if (it.next_report <= time_) {
                    it.next_report = milliseconds::max();
                    send_report(it);
                }
            }
            if (time_ >= next_publication_) {
                next_publication_ = time_ + publication_period;
                publish();
            }
            work();
            watch_backlog();
        }
        return summary();
    }

private:
    struct simulated_vm {
        std::unique_ptr<fleet_vm> vm;
        milliseconds next_report;
    };
    using timed_action = std::pair<milliseconds, std::function<void()>>;

    fleet::clock_reading now() const {
        return {base::time_point(std::chrono::seconds(100)) + time_,
                fleet::unix_time(1'000'000 + time_.count())};
    }

    void after(milliseconds delay, std::function<void()> action) {
        timers_.push_back({time_ + delay, std::move(action)});
    }

    void run_due(std::vector<timed_action>& timers) {
        std::vector<timed_action> due;
        const auto first_due = std::stable_partition(
            timers.begin(), timers.end(), [this](const auto& it) { return it.first > time_; });
        std::move(first_due, timers.end(), std::back_inserter(due));
        timers.erase(first_due, timers.end());
        for (const auto& it : due) {
            it.second();
        }
    }

    // The entry: refuses by the figures that it last received.
    void submit(std::size_t number) {
        job_outcome& outcome = outcomes_[number];
        if (published_.count(queue_) > 0) {
            const auto retry_after = published_.at(queue_);
            const bool first = !outcome.refused;
            outcome.refused = true;
            refusals_with_room_ += time_ - last_wait_ > max_figures_delay ? 1 : 0;
            // Callers round up to whole seconds, and come back once.
            const milliseconds pause = std::chrono::ceil<std::chrono::seconds>(retry_after);
            longest_pause_ = std::max(longest_pause_, pause);
            if (first && time_ + pause < traffic_until) {
                after(pause, [this, number] {
                    outcomes_[number].came_back = true;
                    submit(number);
                });
            }
            return;
        }
        outcome.accepted = time_;
        auto step = make_step(tasks_per_job, 1'000);
        step.estimate = run_time;
        auto job = make_job("job-" + std::to_string(number), queue_.str(), {step});
        job.terms = terms_;
        job.accepted = now().wall;
        events_.push_back(
            {cost_of_submission, [this, job] { owner_.add_job(job, nullptr, false, now()); }});
    }

    void send_report(simulated_vm& vm) {
        const auto id = vm.vm->facts().id;
        fleet::watch_command order;
        order.acknowledged = owner_.acknowledgeable_completion(id);
        order.lease_until = fleet::vm_time(INT64_MAX / 2);
        const auto report = *vm.vm->watch(token_, order);
        const auto sent = now().steady;
        events_.push_back({cost_of_report, [this, id, report, sent, &vm] {
                               owner_.vm_reported(id, report, sent, now());
                               vm.next_report = time_ + report_period;
                               save();
                           }});
    }

    void save() {
        for (const auto& it : owner_.take_unsaved_jobs(now())) {
            owner_.progress_saved(it.job, it.change);
            if (is_final(it.progress.state)) {
                outcomes_[std::stoul(it.job.str().substr(4))].completed = time_;
                owner_.forget(it.job);
            }
        }
    }

    void publish() {
        estimate_.update(owner_.load(now()), now().steady);
        if (refuses_) {
            after(network_delay,
                  [this, figures = estimate_.overloaded()] { published_ = figures; });
        }
    }

    // Spends the processor time of one step.
    void work() {
        const auto end = std::chrono::duration_cast<microseconds>(time_);
        while (busy_until_ <= end) {
            busy_until_ = std::max(busy_until_, end - step_time);
            if (next_decision_ <= busy_until_) {
                decide();
            } else if (!events_.empty()) {
                const auto event = std::move(events_.front());
                events_.pop_front();
                spend(event.cost);
                event.action();
            } else {
                return;
            }
        }
    }

    void spend(microseconds cost) {
        busy_until_ += std::chrono::duration_cast<microseconds>(cost * factor_);
    }

    void decide() {
        const auto decided = owner_.decide(now(), {10, 10});
        spend(cost_of_decision);
        next_decision_ = busy_until_ + std::chrono::duration_cast<microseconds>(
                                           cost_of_decision * factor_ * pause_per_decision_time);
        for (const auto& it : decided.starts) {
            spend(cost_of_start);
            fleet::start_command order;
            order.task = it.task;
            order.run = it.run;
            order.payload = it.payload;
            order.lease_until = fleet::vm_time(INT64_MAX / 2);
            const auto vm = std::find_if(vms_.begin(), vms_.end(), [&](const auto& one) {
                return one.vm->facts().id == it.vm;
            });
            const auto answer = vm->vm->start(token_, order);
            owner_.start_answered(it.vm, it.task, it.run, answer, now());
        }
        for (const auto& it : decided.queries) {
            spend(cost_of_query);
            fleet::placement_response answer;
            answer.ticket_lifetime = milliseconds(2'000);
            for (const auto& vm : it.vms) {
                answer.grants.push_back({vm, fleet::placement_ticket("t")});
            }
            after(advice_time, [this, it, answer] {
                events_.push_back({cost_of_query, [this, it, answer] {
                                       owner_.query_answered(it, answer, now());
                                   }});
            });
        }
    }

    void watch_backlog() {
        while (first_open_ < outcomes_.size() &&
               (outcomes_[first_open_].completed || !outcomes_[first_open_].accepted)) {
            ++first_open_;
        }
        const bool waits = first_open_ < outcomes_.size();
        oldest_wait_ = waits ? time_ - *outcomes_[first_open_].accepted : milliseconds{0};
        if (oldest_wait_ > run_time + moment) {
            last_wait_ = time_;
        }
        if (oldest_wait_ > run_time + long_wait) {
            last_long_wait_ = time_;
        }
    }

    curve_point summary() const {
        curve_point out;
        out.factor = factor_;
        out.offered = static_cast<int>(outcomes_.size());
        out.refusals_with_room = refusals_with_room_;
        out.last_long_wait = last_long_wait_;
        out.longest_pause = longest_pause_;
        const auto objective = terms_.target_latency +
                               milliseconds(static_cast<std::int64_t>(
                                   terms_.slack_factor * static_cast<double>(run_time.count())));
        for (const auto& it : outcomes_) {
            out.retries += it.came_back ? 1 : 0;
            out.accepted_retries += it.came_back && it.accepted ? 1 : 0;
            if (!it.accepted) {
                ++out.refused;
            } else if (!it.completed) {
                ++out.lost;
            } else {
                const auto took = *it.completed - *it.accepted;
                out.in_time += took <= objective ? 1 : 0;
                const bool has_value = took.count() <= fleet::scheduler_settings{}.late_factor *
                                                           static_cast<double>(objective.count());
                ++(has_value ? out.served : out.worthless);
            }
        }
        return out;
    }

    struct event {
        microseconds cost;
        std::function<void()> action;
    };

    const fleet::fencing_token token_{1};
    const fleet::queue_name queue_{"urgent"};
    fleet::queue_terms terms_;
    double factor_;
    bool refuses_;
    milliseconds time_{0};
    base::metrics metrics_;
    fleet::scheduler owner_{fleet::fencing_token(1), {}, metrics_};
    fleet::load_estimate estimate_;
    std::map<fleet::queue_name, milliseconds> published_;
    std::vector<simulated_vm> vms_;
    std::deque<event> events_;
    std::vector<timed_action> timers_;
    microseconds busy_until_{0};
    microseconds next_decision_{0};
    milliseconds next_publication_{0};
    std::vector<job_outcome> outcomes_;
    std::size_t first_open_ = 0;
    milliseconds oldest_wait_{0};
    milliseconds last_long_wait_{0};
    milliseconds last_wait_{0};  // when a job had last waited for more than a moment
    int refusals_with_room_ = 0;
    milliseconds longest_pause_{0};
};

constexpr double factors[] = {1, 1.5, 2, 3, 4};
// Up to here the owner's processor bears the load without the burst.
constexpr double max_factor_for_load = 2;
// Of a job with an objective of 2 s.
constexpr milliseconds late_limit{6'000};

std::vector<curve_point> curve(bool refuses, bool needs_advice) {
    std::vector<curve_point> out;
    std::printf(
        "%s, %s\nprocessor offered in_time served worthless refused lost "
        "accepted_retries/retries longest_pause last_wait_over_2_s\n",
        refuses ? "with refusals" : "without refusals",
        needs_advice ? "with placement queries" : "without placement queries");
    for (const double factor : factors) {
        out.push_back(slow_owner(factor, refuses, needs_advice).run());
        const auto& it = out.back();
        std::printf("%9.1f %7d %7d %6d %9d %7d %4d %8d/%d %5lld s %12.1f s\n", it.factor,
                    it.offered, it.in_time, it.served, it.worthless, it.refused, it.lost,
                    it.accepted_retries, it.retries,
                    static_cast<long long>(it.longest_pause.count() / 1'000),
                    static_cast<double>(it.last_long_wait.count()) / 1'000);
    }
    return out;
}

class owner_curve : public testing::TestWithParam<bool> {};

TEST_P(owner_curve, served_work_falls_no_faster_than_processor) {
    const auto points = curve(true, GetParam());
    const auto without = curve(false, GetParam());
    for (std::size_t i = 0; i < points.size(); ++i) {
        const auto& it = points[i];
        SCOPED_TRACE(it.factor);
        // The processor is the only thing that changes.
        EXPECT_GE(it.served, points[0].served / it.factor);
        EXPECT_EQ(it.lost, 0);
        EXPECT_GE(it.in_time, without[i].in_time);
        EXPECT_LE(it.worthless, without[i].worthless);
        EXPECT_EQ(it.refusals_with_room, 0);
        const int first_accepted = it.offered - it.refused - it.accepted_retries;
        if (it.factor <= max_factor_for_load) {
            EXPECT_GE(it.accepted_retries * 2, it.retries);
            // Callers whom the burst made wait come back, and are served before the late limit.
            EXPECT_LE(it.last_long_wait.count(),
                      (burst_until + it.longest_pause + late_limit).count());
        } else {
            // The overload lasts. A caller that comes back fares no worse than a new one.
            EXPECT_GE(static_cast<double>(it.accepted_retries) / it.retries,
                      static_cast<double>(first_accepted) / it.offered);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(with_and_without_advice, owner_curve, testing::Bool());

}  // namespace
