// Latency: earliest deadline first. Under overload that order alone would serve everybody late, so
// a task is refused on arrival when the measured drain rate says that it would miss its deadline,
// and given up as soon as it can't be met: what is served is served in time.
#include <cranberrydock/policy/queue_policy.hpp>

#include <algorithm>
#include <cmath>

namespace cranberrydock::policy {
namespace {

using base::duration;
using base::refusal;
using base::refusal_reason;
using base::time_point;

constexpr double share_weight = 16;
// Order only: a task without a deadline goes as if it had this one.
constexpr duration deadline_for_order = base::seconds(6);
// Below this many waiting tasks the drain rate says too little to refuse anybody.
constexpr std::size_t fewest_queued_to_refuse = 8;
// Part of the spare time that may be spent waiting. Run times vary, so that tasks which start at
// the last moment often end late: work done for nothing.
constexpr double part_to_wait = 0.25;
constexpr base::milliseconds shortest_retry{50};
constexpr base::milliseconds longest_retry{60'000};

duration seconds_as_duration(double s) {
    return duration(static_cast<duration::rep>(s * 1e6));
}

class latency_policy final : public queue_policy {
public:
    std::int64_t position(const task_timing& one) const override {
        const time_point due = one.deadline.value_or(one.accepted + deadline_for_order);
        return due.time_since_epoch().count();
    }

    std::optional<refusal> refuse(const task_timing& one,
                                  const queue_outlook& outlook) const override {
        if (!one.deadline) {
            return std::nullopt;
        }
        const duration spare = *one.deadline - outlook.now - outlook.run_time;
        if (spare <= duration::zero()) {
            return refusal{refusal_reason::deadline_unreachable, true, base::milliseconds(0),
                           "the deadline is nearer than the expected run time"};
        }
        if (!outlook.drained_per_second || outlook.queued < fewest_queued_to_refuse) {
            return std::nullopt;
        }
        const double rate = std::max(*outlook.drained_per_second, 1e-3);
        const duration wait = seconds_as_duration(static_cast<double>(outlook.queued) / rate);
        const duration longest =
            seconds_as_duration(std::chrono::duration<double>(spare).count() * part_to_wait);
        if (wait <= longest) {
            return std::nullopt;
        }
        const auto until_it_would_do = std::chrono::ceil<base::milliseconds>(wait - longest);
        return refusal{refusal_reason::deadline_unreachable, true,
                       std::clamp(until_it_would_do, shortest_retry, longest_retry),
                       "the tasks that wait before it would make it miss its deadline"};
    }

    std::optional<time_point> useless_from(const task_timing& one,
                                           duration run_time) const override {
        if (!one.deadline) {
            return std::nullopt;
        }
        return *one.deadline - run_time;
    }

    double weight() const override { return share_weight; }
    bool urgent() const override { return true; }
    const placement_scorer& scorer() const override { return *scorer_; }

private:
    std::unique_ptr<placement_scorer> scorer_ = make_tight_fit_scorer();
};

}  // namespace

std::unique_ptr<queue_policy> make_latency_policy() {
    return std::make_unique<latency_policy>();
}

}  // namespace cranberrydock::policy
