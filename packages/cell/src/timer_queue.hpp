// A queue of timers. Timers are never removed early: the handler of an expired timer checks whether
// it still applies, so each change of a deadline costs O(log n).
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>

#include <optional>
#include <queue>
#include <variant>
#include <vector>

namespace cranberrydock::cell {

struct lease_timer {
    base::attempt_id attempt;
};

struct retry_timer {
    base::task_id task;
};

// The wait of a task that may not be repeated for its unresponsive VM has ended.
struct unresolved_timer {
    base::task_id task;
};

struct retention_timer {
    base::job_id job;
};

// Writing the work's outcome to the journal failed and is tried again.
struct outcome_write_timer {
    base::job_id job;
};

using timer_event =
    std::variant<lease_timer, retry_timer, unresolved_timer, retention_timer, outcome_write_timer>;

class timer_queue {
public:
    void add(base::time_point at, timer_event event) { entries_.push({at, std::move(event)}); }

    // Removes and returns the next timer that has expired.
    std::optional<timer_event> take_expired(base::time_point now) {
        if (entries_.empty() || now < entries_.top().at) {
            return std::nullopt;
        }
        timer_event out = entries_.top().event;
        entries_.pop();
        return out;
    }

private:
    struct entry {
        base::time_point at;
        timer_event event;

        friend bool operator<(const entry& a, const entry& b) { return b.at < a.at; }
    };

    std::priority_queue<entry> entries_;
};

}  // namespace cranberrydock::cell
