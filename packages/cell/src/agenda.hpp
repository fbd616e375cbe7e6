// What falls due when. Entries are never taken out early: whoever handles one checks whether it
// still matters, which keeps every change to a deadline O(log n).
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>

#include <optional>
#include <queue>
#include <variant>
#include <vector>

namespace cranberrydock::cell {

struct lease_due {
    base::attempt_id attempt;
};

struct retry_due {
    base::task_id task;
};

// The caller of work that may not be repeated has waited long enough for a silent VM.
struct unresolved_due {
    base::task_id task;
};

struct forget_due {
    base::job_id job;
};

// The work's outcome could not be written down yet.
struct outcome_due {
    base::job_id job;
};

using due_entry = std::variant<lease_due, retry_due, unresolved_due, forget_due, outcome_due>;

class agenda {
public:
    void add(base::time_point at, due_entry what) { entries_.push({at, std::move(what)}); }

    // The next entry whose time has come.
    std::optional<due_entry> take(base::time_point now) {
        if (entries_.empty() || now < entries_.top().at) {
            return std::nullopt;
        }
        due_entry out = entries_.top().what;
        entries_.pop();
        return out;
    }

private:
    struct entry {
        base::time_point at;
        due_entry what;

        friend bool operator<(const entry& a, const entry& b) { return b.at < a.at; }
    };

    std::priority_queue<entry> entries_;
};

}  // namespace cranberrydock::cell
