// Counters, gauges and distributions. Boost.Accumulators estimates the quantiles.
#include <cranberrydock/base/metrics.hpp>

// Boost.Accumulators uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>

namespace cranberrydock::base {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

using distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

// A metric's name and its labels.
struct series {
    std::string name;
    std::string labels;

    friend bool operator<(const series& a, const series& b) {
        return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
    }
};

std::string with_labels(const series& metric, const std::string& extra_labels = {}) {
    const std::string separator = metric.labels.empty() || extra_labels.empty() ? "" : ",";
    const std::string joined = metric.labels + separator + extra_labels;
    return joined.empty() ? "" : "{" + joined + "}";
}

void print_summary(std::ostream& out, const series& metric, distribution& values) {
    for (const double q : quantiles) {
        std::ostringstream label;
        label << "quantile=\"" << q << '"';
        out << metric.name << with_labels(metric, label.str()) << ' '
            << acc::quantile(values, acc::quantile_probability = q) << '\n';
    }
    out << metric.name << "_sum" << with_labels(metric) << ' ' << acc::sum(values) << '\n';
    out << metric.name << "_count" << with_labels(metric) << ' ' << acc::count(values) << '\n';
}

}  // namespace

struct metrics::state {
    mutable std::mutex mutex;  // guards everything below
    std::map<series, std::uint64_t> counters;
    std::map<series, double> gauges;
    std::map<series, distribution> distributions;
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& labels, std::uint64_t n) {
    const std::lock_guard lock(state_->mutex);
    state_->counters[{name, labels}] += n;
}

std::uint64_t metrics::value(const std::string& name, const std::string& labels) const {
    const std::lock_guard lock(state_->mutex);
    const auto it = state_->counters.find({name, labels});
    return it == state_->counters.end() ? 0 : it->second;
}

void metrics::set(const std::string& name, const std::string& labels, double value) {
    const std::lock_guard lock(state_->mutex);
    state_->gauges[{name, labels}] = value;
}

void metrics::observe(const std::string& name, const std::string& labels, double value) {
    const std::lock_guard lock(state_->mutex);
    const series key{name, labels};
    auto it = state_->distributions.find(key);
    if (it == state_->distributions.end()) {
        distribution created(acc::extended_p_square_probabilities = quantiles);
        it = state_->distributions.emplace(key, created).first;
    }
    it->second(value);
}

std::string metrics::text() const {
    const std::lock_guard lock(state_->mutex);
    std::ostringstream out;
    for (const auto& it : state_->counters) {
        out << it.first.name << with_labels(it.first) << ' ' << it.second << '\n';
    }
    for (const auto& it : state_->gauges) {
        out << it.first.name << with_labels(it.first) << ' ' << it.second << '\n';
    }
    for (auto& it : state_->distributions) {
        print_summary(out, it.first, it.second);
    }
    return out.str();
}

}  // namespace cranberrydock::base
