// Latency: earliest deadline first. Under overload that order alone would make every task late. So
// a task is refused on arrival if the measured drain rate shows that it would miss its deadline,
// and abandoned as soon as its deadline can't be met: the tasks that are served are served in time.
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
// Used for the order only: tasks without a deadline are sorted as if they had this one.
constexpr duration assumed_deadline = base::seconds(6);
// With fewer waiting tasks the drain rate is too unreliable to refuse a task.
constexpr std::size_t min_queued_to_refuse = 8;
// Fraction of a task's slack that it may spend waiting. Run times vary, so tasks that start at the
// last possible time often end late and their work is wasted.
constexpr double max_wait_fraction = 0.25;
constexpr base::milliseconds min_retry_after{50};
constexpr base::milliseconds max_retry_after{60'000};

duration seconds_as_duration(double s) {
    return duration(static_cast<duration::rep>(s * 1e6));
}

class latency_policy final : public queue_policy {
public:
    std::int64_t position(const task_timing& timing) const override {
        const time_point order_deadline =
            timing.deadline.value_or(timing.accepted + assumed_deadline);
        return order_deadline.time_since_epoch().count();
    }

    std::optional<refusal> refuse(const task_timing& timing,
                                  const queue_snapshot& snapshot) const override {
        if (!timing.deadline) {
            return std::nullopt;
        }
        const duration slack = *timing.deadline - snapshot.now - snapshot.run_time;
        if (slack <= duration::zero()) {
            return refusal{
                refusal_reason::deadline_unreachable, true, base::milliseconds(0),
                "the time left until the deadline is shorter than the expected run time"};
        }
        if (!snapshot.drained_per_second || snapshot.queued < min_queued_to_refuse) {
            return std::nullopt;
        }
        const double rate = std::max(*snapshot.drained_per_second, 1e-3);
        const duration wait = seconds_as_duration(static_cast<double>(snapshot.queued) / rate);
        const duration max_wait =
            seconds_as_duration(std::chrono::duration<double>(slack).count() * max_wait_fraction);
        if (wait <= max_wait) {
            return std::nullopt;
        }
        const auto retry_after = std::chrono::ceil<base::milliseconds>(wait - max_wait);
        return refusal{refusal_reason::deadline_unreachable, true,
                       std::clamp(retry_after, min_retry_after, max_retry_after),
                       "the deadline would be missed because of the tasks queued ahead"};
    }

    std::optional<time_point> start_deadline(const task_timing& timing,
                                             duration run_time) const override {
        if (!timing.deadline) {
            return std::nullopt;
        }
        return *timing.deadline - run_time;
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
