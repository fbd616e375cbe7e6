// The tasks of a service go to different racks before two of them share a rack.
#include <cranberrydock/policy/scheduler.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;

TEST(scheduler, spreads_services_over_racks) {
    const base::resources room{
        base::millicores(16'000), base::mebibytes(65'536), {}, base::slot_count(16)};
    const base::resources need{
        base::millicores(1000), base::mebibytes(1024), {}, base::slot_count(1)};
    const auto sched = policy::make_scheduler();
    sched->set_queues({{base::queue_name("web"), policy::queue_kind::service, 100}});
    sched->set_teams({{base::team_id("a"), 1.0, base::slot_count(100), {}}});
    constexpr int racks = 4;
    for (int i = 0; i < 12; ++i) {
        sched->set_vm({base::vm_id("vm" + std::to_string(i)),
                       base::rack_name("r" + std::to_string(i % racks)), room,
                       policy::vm_state::usable});
    }
    for (int i = 0; i < 2 * racks; ++i) {
        policy::task new_task;
        new_task.id = base::task_id("t" + std::to_string(i));
        new_task.job = base::job_id("web");
        new_task.team = base::team_id("a");
        new_task.queue = base::queue_name("web");
        new_task.need = need;
        ASSERT_TRUE(sched->enqueue(new_task, {}));
    }
    std::map<int, int> in_rack;
    for (const policy::decision& it : sched->decide({}, 100)) {
        const std::string vm = std::get<policy::placement>(it).vm.str();
        ++in_rack[std::stoi(vm.substr(2)) % racks];
    }
    ASSERT_EQ(in_rack.size(), static_cast<std::size_t>(racks));
    for (const auto& [rack, tasks] : in_rack) {
        EXPECT_EQ(tasks, 2) << "rack " << rack;
    }
}
