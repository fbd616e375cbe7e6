// What tasks of one team and kind really use, learnt from reported usage: declared sizes and run
// times are far off, up to five times in either direction.
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

    // The peak usage of a task that has completed, or the usage of one that still runs when it is
    // above what was reserved for it; `declared` is what it had declared.
    void add_usage(const base::resources& used, const base::resources& declared);
    // How long a task ran that has completed.
    void add_run_time(base::duration ran_for);

    // What to reserve for a task that declares `declared`: more or less cores and memory than it
    // says once enough is known, within the bounds by which declarations are off. Usage is learnt
    // both as it is and as a multiple of what was declared, and the lower of the two counts: the
    // one holds when tasks are alike and declarations are not, the other when tasks differ and say
    // so. Slots and accelerators stay as declared, since they are counted and not measured.
    base::resources reserve(const base::resources& declared) const;

    // The median run time; as declared, shortened to what is certain, until enough is known.
    base::duration run_time(const std::optional<base::duration>& declared) const;

private:
    struct window;
    // Learns for a while, then takes over from `learnt_`, so that changed tasks are noticed.
    std::unique_ptr<window> learning_;
    std::unique_ptr<window> learnt_;  // may be null

    const window* best_for_size() const;
    const window* best_for_time() const;
    void renew();
};

}  // namespace cranberrydock::policy
