// Measures decisions per second and the time per decision by the number of VMs and the queue
// length. The cell is kept full: each step ends one running task and decides, so that every
// placement happens at the limit of the capacity. Also measures the memory per queued task and per
// VM.
#include "scheduler_workload.hpp"

#include <malloc.h>

#include <chrono>
#include <deque>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int teams = 26;
constexpr int placements = 40'000;
const char* const queue_names[] = {"latency", "must_finish", "batch"};

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

class full_cell {
public:
    full_cell(int vms, int queued) : random_(workload_seed) {
        sched_->set_queues(
            {{base::queue_name("latency"), policy::queue_kind::latency, 100'000},
             {base::queue_name("must_finish"), policy::queue_kind::must_finish, 100'000},
             {base::queue_name("batch"), policy::queue_kind::batch, 100'000}});
        std::vector<policy::team_settings> rules;
        rules.reserve(teams);
        for (int i = 0; i < teams; ++i) {
            rules.push_back(
                {team(i), 1.0 + i % 4, base::slot_count(1'000'000), base::slot_count(0)});
        }
        sched_->set_teams(rules);
        const double before_vms = heap_bytes();
        for (int i = 0; i < vms; ++i) {
            sched_->set_vm(standard_vm(i));
        }
        bytes_per_vm = (heap_bytes() - before_vms) / vms;
        while (enqueue_and_decide()) {
        }
        const double before_queued = heap_bytes();
        for (int i = 0; i < queued; ++i) {
            sched_->enqueue(next_task(), now_);
        }
        bytes_per_queued_task = (heap_bytes() - before_queued) / queued;
    }

    // Ends one task, queues another and decides. Returns the time spent in the scheduler in
    // microseconds.
    double step() {
        now_ += base::microseconds(50);
        const std::size_t n = random_() % running_.size();
        std::swap(running_[n], running_.back());
        const policy::task_completion ended_task{running_.back(),
                                                 policy::completion_kind::completed,
                                                 amounts(1000, 1024), base::seconds(1)};
        running_.pop_back();
        const policy::task new_task = next_task();
        const auto begin = std::chrono::steady_clock::now();
        sched_->record_completion(ended_task, now_);
        sched_->enqueue(new_task, now_);
        const auto decisions = sched_->decide(now_, 100);
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        record_placements(decisions);
        return std::chrono::duration<double, std::micro>(elapsed).count();
    }

    std::size_t running() const { return running_.size(); }

    std::size_t placed = 0;
    double bytes_per_vm = 0;
    double bytes_per_queued_task = 0;

private:
    static base::team_id team(int i) { return base::team_id("team" + std::to_string(i)); }

    policy::task next_task() {
        policy::task next;
        next.id = base::task_id("task-" + std::to_string(next_));
        next.job = base::job_id("job-" + std::to_string(next_));
        next.team = team(static_cast<int>(random_() % teams));
        next.queue = base::queue_name(queue_names[random_() % 3]);
        next.kind = base::kind_name("kind" + std::to_string(random_() % 2));
        next.need = amounts(500 + static_cast<std::int64_t>(random_() % 8) * 500,
                            1024 + static_cast<std::int64_t>(random_() % 8) * 1024);
        next.accepted = now_;
        ++next_;
        return next;
    }

    bool enqueue_and_decide() {
        sched_->enqueue(next_task(), now_);
        return record_placements(sched_->decide(now_, 100));
    }

    bool record_placements(const std::vector<policy::decision>& decisions) {
        bool placed_any = false;
        for (const policy::decision& it : decisions) {
            if (const auto* place = std::get_if<policy::placement>(&it)) {
                running_.push_back(place->task);
                ++placed;
                placed_any = true;
            }
        }
        return placed_any;
    }

    std::mt19937_64 random_;
    std::unique_ptr<policy::scheduler> sched_ = policy::make_scheduler();
    std::vector<base::task_id> running_;
    base::time_point now_{};
    int next_ = 0;
};

void measure(int vms, int queued) {
    full_cell cell(vms, queued);
    const std::string suffix =
        "_" + std::to_string(vms) + "vms_" + std::to_string(queued) + "queued";
    cell.placed = 0;
    std::vector<double> step_times;
    step_times.reserve(placements);
    double total = 0;
    while (cell.placed < placements && step_times.size() < 2 * placements) {
        step_times.push_back(cell.step());
        total += step_times.back();
    }
    print("placements_per_second" + suffix, static_cast<double>(cell.placed) / total * 1e6, "1/s");
    print("step_p50" + suffix, quantile(step_times, 0.5), "us");
    print("step_p99" + suffix, quantile(step_times, 0.99), "us");
    print("step_p999" + suffix, quantile(step_times, 0.999), "us");
    print("bytes_per_queued_task" + suffix, cell.bytes_per_queued_task, "B");
    print("bytes_per_vm" + suffix, cell.bytes_per_vm, "B");
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    for (const int vms : {50, 440, 1800}) {
        for (const int queued : {1000, 10'000, 35'000}) {
            measure(vms, queued);
        }
    }
}
