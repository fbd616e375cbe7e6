// Counters, gauges and distributions of one process, exported in the Prometheus text format. The
// implementation uses Boost.Accumulators; its headers are not included here.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace cranberrydock::base {

// Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Adds `n` to a counter. `labels` are in the Prometheus format, such as `reason="queue_full"`,
    // or empty.
    void count(const std::string& name, const std::string& labels, std::uint64_t n = 1);
    // The current value of a counter; 0 if it does not exist.
    std::uint64_t value(const std::string& name, const std::string& labels) const;

    // Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    // Adds an observation to a distribution. The suffix of `name` states the unit of `value`.
    void observe(const std::string& name, const std::string& labels, double value);

    // All metrics in the Prometheus text format. Each distribution has p50, p90, p99, sum and
    // count.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::base
