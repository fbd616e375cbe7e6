// A history of the requests that this daemon answered last, with the durations of their parts, and
// the typical durations for requests of the same team and kind. It serves to explain a request.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/mesh/latency_attribution.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace cranberrydock::daemon {

class request_history {
public:
    request_history();
    ~request_history();
    request_history(const request_history&) = delete;
    request_history& operator=(const request_history&) = delete;

    // Fills in `times.typical` from the previous requests of the same team and kind.
    void add(const base::work& spec, mesh::request_times times);

    // The part to blame for the duration of the job's last request through this daemon; nothing
    // when the request is not in the history.
    std::optional<mesh::latency_verdict> explain(const base::job_id& job) const;

private:
    struct typical_times;
    struct group {
        base::team_id team;
        base::kind_name kind;
        friend bool operator<(const group& a, const group& b) {
            return a.team != b.team ? a.team < b.team : a.kind < b.kind;
        }
    };

    std::map<base::job_id, mesh::request_times> requests_;
    std::deque<base::job_id> by_age_;  // the keys of requests_, the oldest first
    std::map<group, std::unique_ptr<typical_times>> typical_;
};

}  // namespace cranberrydock::daemon
