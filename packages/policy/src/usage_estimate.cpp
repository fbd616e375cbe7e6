// Quantiles by Boost.Accumulators, whose headers stay in this file.
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
constexpr std::size_t samples_a_window = 1000;
constexpr double cores_quantile = 0.95;
constexpr double margin_above_seen = 1.1;
constexpr double margin_when_lowering = 1.25;
// Declared sizes are off by at most this factor, in either direction.
constexpr double declared_error = 5.0;

// What to reserve of one resource: `seen` is what such tasks use at most, nearly always.
double reserved(double declared, double seen, std::size_t samples) {
    if (samples < samples_to_raise) {
        return declared;
    }
    if (seen * margin_above_seen >= declared) {
        return std::min(seen * margin_above_seen, declared * declared_error);
    }
    if (samples < samples_to_lower) {
        return declared;
    }
    return std::clamp(seen * margin_when_lowering, declared / declared_error, declared);
}

template <typename Unit>
Unit rounded_up(double value) {
    const auto whole = static_cast<typename Unit::rep>(value);
    return Unit(static_cast<double>(whole) < value ? whole + 1 : whole);
}

}  // namespace

struct usage_estimate::window {
    quantile cores{acc::quantile_probability = cores_quantile};
    maximum memory;  // cores can be shared for a while; memory that is missing ends a task
    quantile run_time{acc::quantile_probability = 0.5};
    std::size_t samples = 0;
    std::size_t run_times = 0;
};

usage_estimate::usage_estimate() : learning_(std::make_unique<window>()) {}
usage_estimate::~usage_estimate() = default;

void usage_estimate::add_run_time(base::duration ran_for) {
    learning_->run_time(static_cast<double>(ran_for.count()));
    if (++learning_->run_times >= samples_a_window) {
        renew();
    }
}

void usage_estimate::add_usage(const base::resources& used) {
    learning_->cores(static_cast<double>(used.cores.value()));
    learning_->memory(static_cast<double>(used.memory.value()));
    ++learning_->samples;
    if (learning_->samples >= samples_a_window) {
        renew();
    }
}

void usage_estimate::renew() {
    learnt_ = std::move(learning_);
    learning_ = std::make_unique<window>();
}

const usage_estimate::window* usage_estimate::best_for_size() const {
    return learning_->samples < samples_to_lower && learnt_ ? learnt_.get() : learning_.get();
}

const usage_estimate::window* usage_estimate::best_for_time() const {
    return learning_->run_times < samples_to_lower && learnt_ ? learnt_.get() : learning_.get();
}

base::resources usage_estimate::reserve(const base::resources& declared) const {
    const window& seen = *best_for_size();
    if (seen.samples < samples_to_raise) {
        return declared;
    }
    base::resources result = declared;
    result.cores =
        rounded_up<base::millicores>(reserved(static_cast<double>(declared.cores.value()),
                                              acc::p_square_quantile(seen.cores), seen.samples));
    result.memory = rounded_up<base::mebibytes>(reserved(
        static_cast<double>(declared.memory.value()), acc::max(seen.memory), seen.samples));
    return result;
}

base::duration usage_estimate::run_time(const std::optional<base::duration>& declared) const {
    const window& seen = *best_for_time();
    if (seen.run_times >= samples_to_raise) {
        return base::duration(
            static_cast<base::duration::rep>(acc::p_square_quantile(seen.run_time)));
    }
    if (!declared) {
        return base::duration::zero();
    }
    return base::duration(
        static_cast<base::duration::rep>(static_cast<double>(declared->count()) / declared_error));
}

}  // namespace cranberrydock::policy
