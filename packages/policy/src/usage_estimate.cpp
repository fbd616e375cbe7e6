// Quantiles by Boost.Accumulators. Its headers are included in this file only.
#include "usage_estimate.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace cranberrydock::policy {
namespace {

namespace acc = boost::accumulators;

using quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using maximum = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::max>>;

constexpr std::size_t samples_to_raise = 8;
constexpr std::size_t samples_to_lower = 50;
constexpr std::size_t samples_per_window = 1000;
constexpr double cores_quantile = 0.95;
constexpr double margin_above_observed = 1.1;
// Declared sizes are wrong by at most this factor in either direction.
constexpr double max_declared_error = 5.0;

// The amount to reserve of one resource. `observed` is the amount that nearly all of these tasks
// stay below.
double reserve_amount(double declared, double observed, std::size_t samples) {
    if (samples < samples_to_raise) {
        return declared;
    }
    if (observed > declared) {
        return std::min(observed * margin_above_observed, declared * max_declared_error);
    }
    if (samples < samples_to_lower) {
        return declared;
    }
    return std::min(declared, std::max(observed, declared / max_declared_error));
}

// Used and declared amount of one resource.
struct amount_pair {
    double used = 0;
    double declared = 0;

    double ratio() const { return declared > 0 ? used / declared : 1; }
};

template <typename Unit>
amount_pair pair_of(Unit used, Unit declared) {
    return {static_cast<double>(used.value()), static_cast<double>(declared.value())};
}

template <typename Unit>
Unit rounded_up(double value) {
    const auto truncated = static_cast<typename Unit::rep>(value);
    return Unit(static_cast<double>(truncated) < value ? truncated + 1 : truncated);
}

}  // namespace

struct usage_estimate::window {
    quantile cores{acc::quantile_probability = cores_quantile};
    quantile cores_ratio{acc::quantile_probability = cores_quantile};  // used divided by declared
    maximum memory;  // cores can be shared for a while, a lack of memory kills the task
    maximum memory_ratio;
    quantile run_time{acc::quantile_probability = 0.5};
    std::size_t samples = 0;
    std::size_t run_times = 0;
};

usage_estimate::usage_estimate() : current_(std::make_unique<window>()) {}
usage_estimate::~usage_estimate() = default;

void usage_estimate::add_run_time(base::duration ran_for) {
    current_->run_time(static_cast<double>(ran_for.count()));
    if (++current_->run_times >= samples_per_window) {
        start_window();
    }
}

void usage_estimate::add_usage(const base::resources& used, const base::resources& declared) {
    const amount_pair cores = pair_of(used.cores, declared.cores);
    const amount_pair memory = pair_of(used.memory, declared.memory);
    current_->cores(cores.used);
    current_->cores_ratio(cores.ratio());
    current_->memory(memory.used);
    current_->memory_ratio(memory.ratio());
    ++current_->samples;
    if (current_->samples >= samples_per_window) {
        start_window();
    }
}

void usage_estimate::start_window() {
    previous_ = std::move(current_);
    current_ = std::make_unique<window>();
}

const usage_estimate::window* usage_estimate::window_for_size() const {
    return current_->samples < samples_to_lower && previous_ ? previous_.get() : current_.get();
}

const usage_estimate::window* usage_estimate::window_for_run_time() const {
    return current_->run_times < samples_to_lower && previous_ ? previous_.get() : current_.get();
}

base::resources usage_estimate::reserve(const base::resources& declared) const {
    const window& observed = *window_for_size();
    if (observed.samples < samples_to_raise) {
        return declared;
    }
    const auto cores = static_cast<double>(declared.cores.value());
    const auto memory = static_cast<double>(declared.memory.value());
    const double observed_cores = std::min(acc::p_square_quantile(observed.cores),
                                           cores * acc::p_square_quantile(observed.cores_ratio));
    const double observed_memory =
        std::min(acc::max(observed.memory), memory * acc::max(observed.memory_ratio));
    base::resources result = declared;
    result.cores =
        rounded_up<base::millicores>(reserve_amount(cores, observed_cores, observed.samples));
    result.memory =
        rounded_up<base::mebibytes>(reserve_amount(memory, observed_memory, observed.samples));
    return result;
}

base::duration usage_estimate::run_time(const std::optional<base::duration>& declared) const {
    const window& observed = *window_for_run_time();
    if (observed.run_times >= samples_to_raise) {
        return base::duration(
            static_cast<base::duration::rep>(acc::p_square_quantile(observed.run_time)));
    }
    if (!declared) {
        return base::duration::zero();
    }
    return base::duration(static_cast<base::duration::rep>(static_cast<double>(declared->count()) /
                                                           max_declared_error));
}

}  // namespace cranberrydock::policy
