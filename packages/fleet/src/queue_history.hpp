// Statistics of a queue: how long its tasks run, and which share of the VMs in a placement query
// the advisor grants.
#pragma once

#include <cranberrydock/fleet/work.hpp>

#include <algorithm>

namespace cranberrydock::fleet::detail {

class queue_history {
public:
    void add_run_time(milliseconds run_time) {
        mean_ms_ += (static_cast<double>(run_time.count()) - mean_ms_) * weight(run_count_++);
    }

    void add_query_result(std::size_t named, std::size_t granted) {
        if (named > 0) {
            const double share = static_cast<double>(granted) / static_cast<double>(named);
            granted_share_ += (share - granted_share_) * weight(query_count_++ + 1);
        }
    }

    // The expected run time of a task. Declared run times are far off, so they are used only until
    // enough tasks have run.
    milliseconds expected_run_time(milliseconds declared) const {
        constexpr int min_runs = 5;
        return run_count_ < min_runs ? declared
                                     : milliseconds(static_cast<milliseconds::rep>(mean_ms_));
    }

    double granted_share() const { return std::max(granted_share_, min_granted_share); }

private:
    // The weight of the next sample after `n` samples. It gives the arithmetic mean at first, then
    // an exponential moving average.
    static double weight(int n) {
        constexpr double min_weight = 0.02;
        return std::max(min_weight, 1.0 / (n + 1));
    }

    static constexpr double min_granted_share = 0.05;

    double mean_ms_ = 0;
    int run_count_ = 0;
    double granted_share_ = 0.5;
    int query_count_ = 0;
};

}  // namespace cranberrydock::fleet::detail
