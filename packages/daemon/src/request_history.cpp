// A history of the requests that this daemon answered last.
#include "request_history.hpp"

// Boost.Accumulators uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/median.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <utility>

namespace cranberrydock::daemon {
namespace {

namespace acc = boost::accumulators;

using median = acc::accumulator_set<double, acc::stats<acc::tag::median>>;

constexpr std::size_t max_requests = 10'000;

base::microseconds median_of(const median& durations) {
    return base::microseconds(static_cast<std::int64_t>(acc::median(durations)));
}

// The total duration of the request's parts of this kind, in microseconds.
double time_in(const mesh::latency_verdict& explained, mesh::latency_cause kind_of_part) {
    base::microseconds sum{0};
    for (const auto& it : explained.parts) {
        sum += it.cause == kind_of_part ? it.duration : base::microseconds{0};
    }
    return static_cast<double>(sum.count());
}

}  // namespace

struct request_history::typical_times {
    std::size_t samples = 0;
    median entry;
    median decision;
    median vm;
};

request_history::request_history() = default;
request_history::~request_history() = default;

void request_history::add(const base::work& spec, mesh::request_times times) {
    auto& group_times = typical_[{spec.team, spec.kind}];
    if (!group_times) {
        group_times = std::make_unique<typical_times>();
    }
    if (group_times->samples > 0) {
        times.typical = {median_of(group_times->entry), median_of(group_times->decision),
                         median_of(group_times->vm)};
    }
    const mesh::latency_verdict split = mesh::attribute_latency(times);
    ++group_times->samples;
    group_times->entry(time_in(split, mesh::latency_cause::entry));
    group_times->decision(time_in(split, mesh::latency_cause::decision));
    group_times->vm(time_in(split, mesh::latency_cause::vm));
    if (requests_.insert_or_assign(spec.job, std::move(times)).second) {
        by_age_.push_back(spec.job);
    }
    if (by_age_.size() > max_requests) {
        requests_.erase(by_age_.front());
        by_age_.pop_front();
    }
}

std::optional<mesh::latency_verdict> request_history::explain(const base::job_id& job) const {
    const auto it = requests_.find(job);
    if (it == requests_.end()) {
        return std::nullopt;
    }
    return mesh::attribute_latency(it->second);
}

}  // namespace cranberrydock::daemon
