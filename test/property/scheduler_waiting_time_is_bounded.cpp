// Waiting time is bounded while the cell is full. A team that has a share and no running task is
// served within a time bounded by the run time of tasks, whatever their sizes. Batch work
// progresses under a flood of urgent work. Two gangs that cannot run together do not block each
// other. Other work beside a gang's reservation does not delay the gang.
#include "scheduler_model.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using cranberrydock::test::scheduler_model;
using cranberrydock::test::size_of;

namespace {

constexpr std::int64_t vm_cores = 8;
constexpr base::duration step = base::milliseconds(50);
constexpr base::duration longest_run = base::seconds(2);
const policy::scheduler_settings settings;

// A cell kept full: tasks run for a random time up to `longest_run`, and each team has a backlog.
class full_cell {
public:
    explicit full_cell(int teams) {
        model.sched->set_queues({{base::queue_name("urgent"), policy::queue_kind::latency, 1000},
                                 {base::queue_name("batch"), policy::queue_kind::batch, 1000},
                                 {base::queue_name("gang"), policy::queue_kind::gang, 1000}});
        std::vector<policy::team_settings> rules;
        rules.reserve(static_cast<std::size_t>(teams));
        for (int i = 0; i < teams; ++i) {
            rules.push_back({team(i), 1.0 + *rc::gen::inRange(0, 4), base::slot_count(10'000),
                             base::slot_count(*rc::gen::inRange(0, 500))});
        }
        model.set_teams(rules);
        const int vms = *rc::gen::inRange(2, 8);
        for (int i = 0; i < vms; ++i) {
            model.set_vm({base::vm_id("vm" + std::to_string(i)), base::rack_name("r"),
                          size_of(vm_cores, 64), policy::vm_state::usable});
        }
    }

    static base::team_id team(int i) { return base::team_id("team" + std::to_string(i)); }

    policy::task task_for(int team_index, const char* queue, std::int64_t cores) {
        policy::task new_task;
        new_task.id = base::task_id("t" + std::to_string(next_++));
        new_task.job = base::job_id("j" + new_task.id.str());
        new_task.team = team(team_index);
        new_task.queue = base::queue_name(queue);
        new_task.kind = base::kind_name(queue);
        new_task.need = size_of(cores);
        new_task.accepted = now;
        return new_task;
    }

    void keep_backlog(int team_index, const char* queue, std::int64_t cores, std::size_t tasks) {
        std::size_t queued = 0;
        for (const auto& [id, it] : model.queued) {
            const bool matches =
                it.team == team(team_index) && it.queue.str() == queue && it.gang_size == 1;
            queued += matches ? 1 : 0;
        }
        for (; queued < tasks; ++queued) {
            model.enqueue(task_for(team_index, queue, cores), now);
        }
    }

    void enqueue_gang(int team_index, std::size_t size, std::int64_t cores) {
        policy::task new_task = task_for(team_index, "gang", cores);
        new_task.gang_size = size;
        for (std::size_t i = 0; i < size; ++i) {
            new_task.id = base::task_id("t" + std::to_string(next_++));
            model.enqueue(new_task, now);
        }
    }

    // Ends the tasks whose end time has passed, then decides.
    void advance() {
        now += step;
        std::vector<base::task_id> ended;
        for (const auto& [id, when] : end_times_) {
            if (when <= now) {
                ended.push_back(id);
            }
        }
        for (const base::task_id& id : ended) {
            end_times_.erase(id);
            model.end(id, policy::completion_kind::completed, now);
        }
        model.decide(now, 1000);
        for (const auto& [id, it] : model.running) {
            if (end_times_.count(id) == 0U) {
                end_times_[id] = now + longest_run / *rc::gen::inRange(1, 8);
            }
        }
    }

    std::size_t running_of(int team_index, const char* queue) const {
        std::size_t n = 0;
        for (const auto& [id, it] : model.running) {
            n += it.spec.team == team(team_index) && it.spec.queue.str() == queue ? 1 : 0;
        }
        return n;
    }

    // The latest end time of the running tasks.
    base::time_point latest_end() const {
        base::time_point last = now;
        for (const auto& [id, when] : end_times_) {
            last = std::max(last, when);
        }
        return last;
    }

    scheduler_model model{settings};
    base::time_point now{};

private:
    int next_ = 0;
    std::map<base::task_id, base::time_point> end_times_;
};

TEST(scheduler, team_with_share_waits_for_bounded_time) {
    EXPECT_TRUE(rc::check("any sizes and weights", [] {
        constexpr int teams = 3;
        full_cell cell(teams);
        std::vector<std::int64_t> cores;
        cores.reserve(teams);
        for (int i = 0; i < teams; ++i) {
            cores.push_back(*rc::gen::inRange<std::int64_t>(1, vm_cores + 1));
        }
        // Room is reserved for one team at a time, and each time a VM has to become free.
        const base::duration bound =
            teams * (settings.reservation_delay + longest_run + base::milliseconds(200));
        std::vector<base::time_point> last_served(teams, cell.now);
        while (cell.now < base::time_point(base::seconds(30))) {
            for (int i = 0; i < teams; ++i) {
                cell.keep_backlog(i, "batch", cores[static_cast<std::size_t>(i)], 5);
            }
            cell.advance();
            for (int i = 0; i < teams; ++i) {
                auto& last = last_served[static_cast<std::size_t>(i)];
                last = cell.running_of(i, "batch") > 0 ? cell.now : last;
                RC_ASSERT(cell.now - last <= bound);
            }
        }
    }));
}

TEST(scheduler, batch_progresses_under_urgent_overload) {
    EXPECT_TRUE(rc::check("any sizes", [] {
        full_cell cell(2);
        const auto urgent = *rc::gen::inRange<std::int64_t>(1, 5);
        const auto batch = *rc::gen::inRange<std::int64_t>(1, vm_cores + 1);
        const int batch_team = *rc::gen::inRange(0, 2);
        base::time_point last = cell.now;
        while (cell.now < base::time_point(base::seconds(30))) {
            cell.keep_backlog(0, "urgent", urgent, 50);
            cell.keep_backlog(batch_team, "batch", batch, 5);
            cell.advance();
            last = cell.running_of(batch_team, "batch") > 0 ? cell.now : last;
            RC_ASSERT(cell.now - last <=
                      2 * (settings.reservation_delay + longest_run + base::seconds(1)));
        }
    }));
}

TEST(scheduler, competing_gangs_both_start_in_full_cell) {
    EXPECT_TRUE(rc::check("any sizes", [] {
        full_cell cell(3);
        const std::size_t vms = cell.model.vms.size();
        const auto small = *rc::gen::inRange<std::int64_t>(1, 4);
        cell.keep_backlog(2, "batch", small, 100);
        cell.advance();
        // Each gang needs more than half of the cell.
        cell.enqueue_gang(0, vms / 2 + 1, vm_cores);
        cell.enqueue_gang(1, vms / 2 + 1, vm_cores);
        std::vector<base::time_point> started(2);
        while (cell.now < base::time_point(base::seconds(15))) {
            cell.keep_backlog(2, "batch", small, 100);
            cell.advance();
            for (int i = 0; i < 2; ++i) {
                auto& start_time = started[static_cast<std::size_t>(i)];
                start_time = start_time == base::time_point{} && cell.running_of(i, "gang") > 0
                                 ? cell.now
                                 : start_time;
            }
        }
        for (const base::time_point start_time : started) {
            RC_ASSERT(start_time != base::time_point{});
        }
    }));
}

TEST(scheduler, other_work_does_not_delay_reserved_gang) {
    EXPECT_TRUE(rc::check("any sizes", [] {
        full_cell cell(2);
        const std::size_t vms = cell.model.vms.size();
        const auto small = *rc::gen::inRange<std::int64_t>(1, 4);
        cell.keep_backlog(1, "batch", small, 100);
        cell.advance();
        cell.enqueue_gang(0, vms, *rc::gen::inRange<std::int64_t>(vm_cores / 2, vm_cores + 1));
        const base::time_point enqueued = cell.now;
        while (cell.running_of(0, "gang") == 0 && cell.now < enqueued + base::seconds(60)) {
            cell.keep_backlog(1, "batch", small, 100);
            cell.advance();
        }
        // Once the room is reserved, only tasks that already run can delay the gang.
        RC_ASSERT(cell.now - enqueued <=
                  settings.reservation_delay + longest_run + base::milliseconds(200) + 3 * step);
    }));
}

}  // namespace
