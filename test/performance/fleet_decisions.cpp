// Measures the time of a decision of the fleet's scheduler by the number of waiting tasks, at 1,100
// VMs that are nearly full. Each step needs placement grants; the advisor answers within 50 ms.
#include <cranberrydock/fleet/scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace base = cranberrydock::base;
namespace fleet = cranberrydock::fleet;

namespace {

constexpr int vm_count = 1'100;
constexpr int customer_count = 60;
constexpr int rounds = 60;
constexpr base::milliseconds round_time{50};
constexpr double granted_share = 0.6;

struct queue_model {
    const char* name;
    int urgency;
    int tasks;
    std::int64_t cores;  // thousandths
    base::milliseconds run_time;
    bool gang;
};
const queue_model queues[] = {{"previews", 0, 4, 3'900, base::milliseconds(640), false},
                              {"mosaics", 1, 40, 4'500, base::milliseconds(4'000), true},
                              {"masks", 2, 40, 2'700, base::milliseconds(2'700), false}};

std::shared_ptr<fleet::fleet_configuration> make_configuration() {
    auto out = std::make_shared<fleet::fleet_configuration>();
    out->version = base::config_version(1);
    for (const auto& it : queues) {
        fleet::queue_config queue;
        queue.name = fleet::queue_name(it.name);
        queue.terms.service = fleet::service_name("svc");
        queue.terms.urgency = it.urgency;
        queue.terms.max_attempts = 4;
        queue.terms.slack_factor = 2;
        queue.terms.target_latency = base::milliseconds(600);
        queue.query_cost = fleet::placement_query_cost{
            base::milliseconds(9), base::microseconds(130), base::milliseconds(2'500)};
        out->queues.push_back(queue);
    }
    for (int i = 0; i < customer_count; ++i) {
        fleet::customer_config customer;
        customer.name = fleet::customer_name("customer" + std::to_string(i));
        customer.share = 1'000;
        customer.upper_limit.cores = base::millicores(4'000'000);
        out->customers[customer.name] = customer;
    }
    return out;
}

// The VMs, their runs and the advisor, in simulated time.
class fleet_model {
public:
    fleet_model() : scheduler_(fleet::fencing_token(1), {}, metrics_) {
        scheduler_.configure(make_configuration());
        for (int i = 0; i < vm_count; ++i) {
            fleet::vm_info vm;
            vm.id = fleet::vm_id("i-" + std::to_string(1'000'000'000 + i));
            vm.service = fleet::service_name("svc");
            vm.rack = fleet::rack_name("r" + std::to_string(i / 20));
            vm.capacity = {base::millicores(16'000), base::mebibytes(65'536), {}, {}};
            vms_.push_back(vm.id);
            scheduler_.vm_listed(vm);
            report(vm.id);
        }
    }

    void submit(int n) {
        for (int i = 0; i < n;) {
            const auto& model = queues[jobs_ % 20 == 0 ? 1 : jobs_ % 20 == 1 ? 2 : 0];
            fleet::job_spec job;
            job.id = fleet::job_id("job" + std::to_string(1'000'000'000'000 + jobs_));
            job.queue = fleet::queue_name(model.name);
            job.customer =
                fleet::customer_name("customer" + std::to_string(jobs_ % customer_count));
            job.terms.service = fleet::service_name("svc");
            job.accepted = now().wall;
            fleet::step_spec step;
            step.task_count = model.tasks;
            step.need = {base::millicores(model.cores), base::mebibytes(10'000), {}, {}};
            step.estimate = model.run_time;
            step.gang = model.gang;
            job.steps.push_back(step);
            run_times_[job.id] = model.run_time;
            scheduler_.add_job(job, nullptr, false, now());
            ++jobs_;
            i += model.tasks;
        }
    }

    // One round; returns the time of its decision.
    std::chrono::nanoseconds step() {
        time_ += round_time;
        for (const auto& id : vms_) {
            auto& vm = runs_[id];
            bool changed = false;
            for (auto it = vm.begin(); it != vm.end();) {
                const bool ends = it->ends_at <= time_;
                if (ends) {
                    completions_[id].push_back({fleet::completion_number(++numbers_[id]),
                                                it->task,
                                                it->run,
                                                fleet::completion_kind::done,
                                                {}});
                }
                changed = changed || ends;
                it = ends ? vm.erase(it) : std::next(it);
            }
            if (changed) {
                report(id);
                completions_[id].clear();
            }
        }
        for (const auto& it : std::exchange(queries_, {})) {
            answer(it);
        }
        const auto begin = std::chrono::steady_clock::now();
        const auto decided = scheduler_.decide(now(), {300, 250});
        const auto took = std::chrono::steady_clock::now() - begin;
        starts += decided.starts.size();
        queries += decided.queries.size();
        for (const auto& it : decided.starts) {
            runs_[it.vm].push_back({it.task, it.run, time_ + run_times_[it.task.job]});
            scheduler_.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now());
        }
        queries_ = decided.queries;
        for (const auto& it : scheduler_.take_unsaved_jobs(now())) {
            scheduler_.progress_saved(it.job, it.change);
        }
        return took;
    }

    std::size_t starts = 0;
    std::size_t queries = 0;

private:
    struct model_run {
        fleet::task_ref task;
        fleet::run_number run;
        base::time_point ends_at;
    };

    fleet::clock_reading now() const {
        return {
            time_,
            fleet::unix_time(
                std::chrono::duration_cast<base::milliseconds>(time_.time_since_epoch()).count())};
    }

    void report(const fleet::vm_id& id) {
        fleet::vm_report report;
        for (const auto& it : runs_[id]) {
            fleet::running_task running;
            running.task = it.task;
            running.run = it.run;
            report.running.push_back(running);
        }
        report.completions = completions_[id];
        scheduler_.vm_reported(id, report, time_, now());
    }

    void answer(const fleet::placement_query& query) {
        fleet::placement_response response;
        response.ticket_lifetime = base::milliseconds(2'500);
        for (const auto& it : query.vms) {
            if (std::bernoulli_distribution(granted_share)(random_)) {
                response.grants.push_back({it, fleet::placement_ticket("t")});
            }
        }
        scheduler_.query_answered(query, response, now());
    }

    base::metrics metrics_;
    fleet::scheduler scheduler_;
    base::time_point time_{base::seconds(1'000)};
    std::mt19937 random_{20261206};
    int jobs_ = 0;
    std::vector<fleet::vm_id> vms_;
    std::map<fleet::vm_id, std::vector<model_run>> runs_;
    std::map<fleet::vm_id, std::vector<fleet::task_completion>> completions_;
    std::map<fleet::vm_id, std::int64_t> numbers_;
    std::map<fleet::job_id, base::milliseconds> run_times_;
    std::vector<fleet::placement_query> queries_;
};

void measure(int waiting_tasks) {
    fleet_model model;
    model.submit(waiting_tasks);
    constexpr int warm_up_rounds = 40;
    for (int i = 0; i < warm_up_rounds; ++i) {
        model.step();
    }
    model.starts = 0;
    model.queries = 0;
    std::vector<double> times_us;
    double total_us = 0;
    for (int i = 0; i < rounds; ++i) {
        times_us.push_back(std::chrono::duration<double, std::micro>(model.step()).count());
        total_us += times_us.back();
    }
    std::sort(times_us.begin(), times_us.end());
    const std::string name = "waiting_" + std::to_string(waiting_tasks);
    std::printf("%s_decision_p50 %.0f us\n", name.c_str(), times_us[rounds / 2]);
    std::printf("%s_decision_max %.0f us\n", name.c_str(), times_us.back());
    std::printf("%s_starts %zu in %d decisions\n", name.c_str(), model.starts, rounds);
    std::printf("%s_queries %zu in %d decisions\n", name.c_str(), model.queries, rounds);
    std::printf("%s_per_start %.1f us\n", name.c_str(),
                total_us / static_cast<double>(std::max<std::size_t>(model.starts, 1)));
}

}  // namespace

int main() {
    for (const int waiting_tasks : {1'000, 10'000, 100'000}) {
        measure(waiting_tasks);
    }
}
