// The baseline that the scheduler is compared with: one queue for all tasks, in order of arrival or
// with urgent work strictly first, and placement on the first VM with enough room. It refuses and
// abandons no task.
#pragma once

#include <cranberrydock/policy/scheduler.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberrydock::test {

enum class baseline_order { fifo, strict_priority };

class baseline_scheduler final : public policy::scheduler {
public:
    explicit baseline_scheduler(baseline_order order) : order_(order) {}

    void set_queues(const std::vector<policy::queue_settings>& queues) override {
        for (const policy::queue_settings& it : queues) {
            kinds_[it.name] = it.kind;
        }
    }
    void set_teams(const std::vector<policy::team_settings>& /*teams*/) override {}
    void set_vm(const policy::vm& added) override { vms_.push_back({added, added.capacity}); }
    void remove_vm(const base::vm_id& /*id*/) override {}
    void report_usage(const base::task_id& /*task*/, const base::resources& /*used*/) override {}

    tl::expected<void, base::refusal> enqueue(const policy::task& new_task,
                                              base::time_point /*now*/) override {
        const bool urgent = order_ == baseline_order::strict_priority &&
                            kinds_[new_task.queue] == policy::queue_kind::latency;
        queued_.emplace(position{urgent ? 0 : 1, number_++}, new_task);
        return {};
    }
    void adopt(const policy::task& /*task*/, const base::vm_id& /*vm*/,
               const base::resources& /*reserved*/) override {}
    bool cancel(const base::task_id& /*id*/) override { return false; }

    void record_completion(const policy::task_completion& completion,
                           base::time_point /*now*/) override {
        const auto it = running_.find(completion.id);
        vms_[it->second.vm].room += it->second.need;
        running_.erase(it);
    }

    std::vector<policy::decision> decide(base::time_point /*now*/,
                                         std::size_t max_decisions) override {
        constexpr int max_skipped = 16;
        std::vector<policy::decision> decisions;
        int skipped = 0;
        for (auto it = queued_.begin();
             it != queued_.end() && decisions.size() < max_decisions && skipped < max_skipped;) {
            const auto vm = first_fit(it->second.need);
            if (vm == vms_.size()) {
                ++skipped;
                ++it;
                continue;
            }
            vms_[vm].room -= it->second.need;
            running_[it->second.id] = {vm, it->second.need};
            decisions.emplace_back(
                policy::placement{it->second.id, vms_[vm].spec.id, it->second.need});
            it = queued_.erase(it);
        }
        return decisions;
    }

    std::vector<policy::team_load> loads() const override { return {}; }
    policy::waiting_reason why_waiting(const base::task_id& /*id*/) const override { return {}; }

private:
    struct position {
        int priority = 0;
        std::uint64_t number = 0;
        friend bool operator<(const position& a, const position& b) {
            return a.priority != b.priority ? a.priority < b.priority : a.number < b.number;
        }
    };
    struct vm_room {
        policy::vm spec;
        base::resources room;
    };
    struct running_task {
        std::size_t vm = 0;
        base::resources need;
    };

    std::size_t first_fit(const base::resources& need) const {
        std::size_t i = 0;
        while (i < vms_.size() && !base::fits(need, vms_[i].room)) {
            ++i;
        }
        return i;
    }

    baseline_order order_;
    std::uint64_t number_ = 0;
    std::unordered_map<base::queue_name, policy::queue_kind> kinds_;
    std::map<position, policy::task> queued_;
    std::vector<vm_room> vms_;
    std::unordered_map<base::task_id, running_task> running_;
};

}  // namespace cranberrydock::test
