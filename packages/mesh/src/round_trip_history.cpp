// Keeps the recent samples in a ring buffer, and quantile estimates over all samples with
// Boost.Accumulators.
#include <cranberrydock/mesh/round_trip_history.hpp>

// Boost.Accumulators uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/circular_buffer.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace cranberrydock::mesh {
namespace {

namespace acc = boost::accumulators;

constexpr double median = 0.5;
constexpr double p99 = 0.99;
constexpr std::array<double, 2> quantiles = {median, p99};
// With fewer samples the quantile estimates are not meaningful.
constexpr std::size_t min_estimate_samples = 20;

using estimate = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile>>;

base::microseconds quantile_of(const std::vector<base::microseconds>& sorted, double q) {
    const auto n = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(n * q)];
}

}  // namespace

struct round_trip_history::state {
    std::size_t samples = 0;
    boost::circular_buffer<base::microseconds> recent{recent_samples};
    estimate all{acc::extended_p_square_probabilities = quantiles};
};

round_trip_history::round_trip_history() : state_(std::make_unique<state>()) {}
round_trip_history::~round_trip_history() = default;

void round_trip_history::add(base::microseconds sample) {
    ++state_->samples;
    state_->recent.push_back(sample);
    state_->all(static_cast<double>(sample.count()));
}

round_trip_summary round_trip_history::summary() const {
    round_trip_summary out;
    out.samples = state_->samples;
    if (out.samples == 0) {
        return out;
    }
    std::vector<base::microseconds> sorted(state_->recent.begin(), state_->recent.end());
    std::sort(sorted.begin(), sorted.end());
    out.recent_median = quantile_of(sorted, median);
    out.recent_p99 = quantile_of(sorted, p99);
    out.usual_median = out.recent_median;
    out.usual_p99 = out.recent_p99;
    if (out.samples >= min_estimate_samples) {
        const auto usual = [this](double q) {
            return base::microseconds(static_cast<base::microseconds::rep>(
                acc::quantile(state_->all, acc::quantile_probability = q)));
        };
        out.usual_median = usual(median);
        out.usual_p99 = usual(p99);
    }
    return out;
}

}  // namespace cranberrydock::mesh
