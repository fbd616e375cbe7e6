// The requests that this daemon answered last.
#include "request_log.hpp"

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

constexpr std::size_t most_requests = 10'000;

base::microseconds value_of(const median& of) {
    return base::microseconds(static_cast<std::int64_t>(acc::median(of)));
}

// The sum of the parts of that kind.
double took(const mesh::verdict& of, mesh::blamed what) {
    base::microseconds sum{0};
    for (const auto& it : of.parts) {
        sum += it.what == what ? it.took : base::microseconds{0};
    }
    return static_cast<double>(sum.count());
}

}  // namespace

struct request_log::usual {
    std::size_t samples = 0;
    median entry;
    median decision;
    median vm;
};

request_log::request_log() = default;
request_log::~request_log() = default;

void request_log::add(const base::work& what, mesh::request_times times) {
    auto& usually = usual_[{what.team, what.kind}];
    if (!usually) {
        usually = std::make_unique<usual>();
    }
    if (usually->samples > 0) {
        times.typical = {value_of(usually->entry), value_of(usually->decision),
                         value_of(usually->vm)};
    }
    const mesh::verdict split = mesh::explain_blame(times);
    ++usually->samples;
    usually->entry(took(split, mesh::blamed::entry));
    usually->decision(took(split, mesh::blamed::decision));
    usually->vm(took(split, mesh::blamed::vm));
    if (requests_.insert_or_assign(what.job, std::move(times)).second) {
        order_.push_back(what.job);
    }
    if (order_.size() > most_requests) {
        requests_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<mesh::verdict> request_log::explain(const base::job_id& job) const {
    const auto it = requests_.find(job);
    if (it == requests_.end()) {
        return std::nullopt;
    }
    return mesh::explain_blame(it->second);
}

}  // namespace cranberrydock::daemon
