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
// Declared sizes are off by at most this factor, in either direction.
constexpr double declared_error = 5.0;

// What to reserve of one resource: `seen` is what such a task uses at most, nearly always.
double reserved(double declared, double seen, std::size_t samples) {
    if (samples < samples_to_raise) {
        return declared;
    }
    if (seen > declared) {
        return std::min(seen * margin_above_seen, declared * declared_error);
    }
    if (samples < samples_to_lower) {
        return declared;
    }
    return std::min(declared, std::max(seen, declared / declared_error));
}

// Used and declared amounts of one resource, as numbers.
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
    const auto whole = static_cast<typename Unit::rep>(value);
    return Unit(static_cast<double>(whole) < value ? whole + 1 : whole);
}

}  // namespace

struct usage_estimate::window {
    quantile cores{acc::quantile_probability = cores_quantile};
    quantile cores_ratio{acc::quantile_probability = cores_quantile};  // used to declared
    maximum memory;  // cores can be shared for a while; memory that is missing ends a task
    maximum memory_ratio;
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

void usage_estimate::add_usage(const base::resources& used, const base::resources& declared) {
    const amount_pair cores = pair_of(used.cores, declared.cores);
    const amount_pair memory = pair_of(used.memory, declared.memory);
    learning_->cores(cores.used);
    learning_->cores_ratio(cores.ratio());
    learning_->memory(memory.used);
    learning_->memory_ratio(memory.ratio());
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
    const auto cores = static_cast<double>(declared.cores.value());
    const auto memory = static_cast<double>(declared.memory.value());
    const double cores_seen = std::min(acc::p_square_quantile(seen.cores),
                                       cores * acc::p_square_quantile(seen.cores_ratio));
    const double memory_seen =
        std::min(acc::max(seen.memory), memory * acc::max(seen.memory_ratio));
    base::resources result = declared;
    result.cores = rounded_up<base::millicores>(reserved(cores, cores_seen, seen.samples));
    result.memory = rounded_up<base::mebibytes>(reserved(memory, memory_seen, seen.samples));
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
