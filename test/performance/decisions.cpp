// Decisions a second and time per decision, by VMs and queue length, with the cell kept full: each
// step ends one running task and decides, so that every placement happens at the brink of capacity.
// Also the memory per queued task, running task and VM.
#include "workload.hpp"

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
        std::vector<policy::team_rules> rules;
        rules.reserve(teams);
        for (int i = 0; i < teams; ++i) {
            rules.push_back(
                {team(i), 1.0 + i % 4, base::slot_count(1'000'000), base::slot_count(0)});
        }
        sched_->set_teams(rules);
        const double before_vms = heap_bytes();
        for (int i = 0; i < vms; ++i) {
            sched_->put_vm(standard_vm(i));
        }
        bytes_a_vm = (heap_bytes() - before_vms) / vms;
        while (enqueue_and_decide()) {
        }
        const double before_queued = heap_bytes();
        for (int i = 0; i < queued; ++i) {
            sched_->enqueue(next_task(), now_);
        }
        bytes_a_queued_task = (heap_bytes() - before_queued) / queued;
    }

    // Ends one task, queues another, decides; the time in the scheduler in microseconds.
    double step() {
        now_ += base::microseconds(50);
        const std::size_t n = random_() % running_.size();
        std::swap(running_[n], running_.back());
        const policy::task_ended end{running_.back(), policy::end_kind::completed,
                                     amounts(1000, 1024), base::seconds(1)};
        running_.pop_back();
        const policy::task fresh = next_task();
        const auto begin = std::chrono::steady_clock::now();
        sched_->ended(end, now_);
        sched_->enqueue(fresh, now_);
        const auto decided = sched_->decide(now_, 100);
        const auto took = std::chrono::steady_clock::now() - begin;
        note(decided);
        return std::chrono::duration<double, std::micro>(took).count();
    }

    std::size_t running() const { return running_.size(); }

    std::size_t placed = 0;
    double bytes_a_vm = 0;
    double bytes_a_queued_task = 0;

private:
    static base::team_id team(int i) { return base::team_id("team" + std::to_string(i)); }

    policy::task next_task() {
        policy::task one;
        one.id = base::task_id("task-" + std::to_string(next_));
        one.job = base::job_id("job-" + std::to_string(next_));
        one.team = team(static_cast<int>(random_() % teams));
        one.queue = base::queue_name(queue_names[random_() % 3]);
        one.kind = base::kind_name("kind" + std::to_string(random_() % 2));
        one.need = amounts(500 + static_cast<std::int64_t>(random_() % 8) * 500,
                           1024 + static_cast<std::int64_t>(random_() % 8) * 1024);
        one.accepted = now_;
        ++next_;
        return one;
    }

    bool enqueue_and_decide() {
        sched_->enqueue(next_task(), now_);
        return note(sched_->decide(now_, 100));
    }

    bool note(const std::vector<policy::decision>& decided) {
        bool any = false;
        for (const policy::decision& it : decided) {
            if (const auto* place = std::get_if<policy::placement>(&it)) {
                running_.push_back(place->task);
                ++placed;
                any = true;
            }
        }
        return any;
    }

    std::mt19937_64 random_;
    std::unique_ptr<policy::scheduler> sched_ = policy::make_scheduler();
    std::vector<base::task_id> running_;
    base::time_point now_{};
    int next_ = 0;
};

void measure(int vms, int queued) {
    full_cell cell(vms, queued);
    const std::string at = "_" + std::to_string(vms) + "vms_" + std::to_string(queued) + "queued";
    cell.placed = 0;
    std::vector<double> took;
    took.reserve(placements);
    double total = 0;
    while (cell.placed < placements && took.size() < 2 * placements) {
        took.push_back(cell.step());
        total += took.back();
    }
    print("placements_per_second" + at, static_cast<double>(cell.placed) / total * 1e6, "1/s");
    print("step_p50" + at, quantile(took, 0.5), "us");
    print("step_p99" + at, quantile(took, 0.99), "us");
    print("step_p999" + at, quantile(took, 0.999), "us");
    print("bytes_per_queued_task" + at, cell.bytes_a_queued_task, "B");
    print("bytes_per_vm" + at, cell.bytes_a_vm, "B");
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
