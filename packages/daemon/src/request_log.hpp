// The requests that this daemon answered last, with where their time went, and what such requests
// usually take: for explaining one of them.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/mesh/link_blame.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace cranberrydock::daemon {

class request_log {
public:
    request_log();
    ~request_log();
    request_log(const request_log&) = delete;
    request_log& operator=(const request_log&) = delete;

    // `times.typical` is filled in from the requests before it of the same team and kind.
    void add(const base::work& what, mesh::request_times times);

    // What to blame for the job's last request here; nothing when it is not remembered.
    std::optional<mesh::verdict> explain(const base::job_id& job) const;

private:
    struct usual;
    struct group {
        base::team_id team;
        base::kind_name kind;
        friend bool operator<(const group& a, const group& b) {
            return a.team != b.team ? a.team < b.team : a.kind < b.kind;
        }
    };

    std::map<base::job_id, mesh::request_times> requests_;
    std::deque<base::job_id> order_;  // of requests_, the oldest first
    std::map<group, std::unique_ptr<usual>> usual_;
};

}  // namespace cranberrydock::daemon
