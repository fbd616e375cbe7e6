// Estimates what the tasks of one team and kind actually use, from reported usage. Declared sizes
// and run times are wrong by up to five times in either direction.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace cranberrydock::policy {

class usage_estimate {
public:
    usage_estimate();
    ~usage_estimate();
    usage_estimate(const usage_estimate&) = delete;
    usage_estimate& operator=(const usage_estimate&) = delete;

    // Adds the peak usage of a completed task, or the usage of a running task that is above its
    // reservation. `declared` is the need that the task declared.
    void add_usage(const base::resources& used, const base::resources& declared);
    // Adds the run time of a completed task.
    void add_run_time(base::duration ran_for);

    // Returns the amount to reserve for a task that declares `declared`. Once there are enough
    // samples, cores and memory may be higher or lower than declared, within the bounds by which
    // declarations are wrong. Usage is estimated both as an absolute amount and as a multiple of
    // the declared amount, and the lower one is used: the absolute amount is right if tasks are
    // alike although their declarations differ, the multiple is right if tasks differ and declare
    // it. Slots and accelerators stay as declared, since they are counted and not measured.
    base::resources reserve(const base::resources& declared) const;

    // Returns the median run time. Until there are enough samples, this is the declared time
    // divided by the factor by which declarations may be wrong.
    base::duration run_time(const std::optional<base::duration>& declared) const;

private:
    struct window;
    // Once `current_` is full it replaces `previous_` and a new window is started, so that
    // estimates follow tasks that change.
    std::unique_ptr<window> current_;
    std::unique_ptr<window> previous_;  // null until the first window is full

    const window* window_for_size() const;
    const window* window_for_run_time() const;
    void start_window();
};

}  // namespace cranberrydock::policy
