// Counters and histograms of one process, printed as Prometheus text. Boost.Accumulators does the
// statistics; its headers stay out of this one.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace cranberrydock::base {

// Safe to use from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Adds to a counter. `labels` is Prometheus text such as `reason="queue_full"`, or empty.
    void count(const std::string& name, const std::string& labels, std::uint64_t n = 1);
    std::uint64_t value(const std::string& name, const std::string& labels) const;

    // Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    // Records one observation of a distribution, in the unit that the name ends with.
    void observe(const std::string& name, const std::string& labels, double value);

    // Prometheus text format: counters, gauges, and p50/p90/p99 with count and sum a distribution.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::base
