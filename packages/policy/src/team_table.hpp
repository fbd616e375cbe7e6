// The configured queues and teams, their kinds of requests and lanes, and the teams' shares.
#pragma once

#include <cranberrydock/policy/scheduler_settings.hpp>

#include "fair_share.hpp"
#include "records.hpp"
#include "task_lane.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

class team_table {
public:
    explicit team_table(const scheduler_settings& settings)
        : shares_(settings.max_elsewhere_factor) {}

    void set_queues(const std::vector<queue_settings>& queues);
    void set_teams(const std::vector<team_settings>& teams);
    void set_capacity(const base::resources& total);

    // Return null if the queue or team is not configured.
    queue_record* configured_queue(const base::queue_name& name);
    team_record* configured_team(const base::team_id& id);
    // Returns the record of the kind and creates it if necessary. The team and queue need not be
    // configured, since tasks of removed ones may still run.
    kind_record& kind_of(const base::team_id& team, const base::queue_name& queue,
                         const base::kind_name& kind);
    // Returns the kind's lane for gangs, or for tasks of the same size class as `need`.
    task_lane& lane_of(kind_record& kind, const base::resources& need, bool gang);

    // Number of the team's tasks that wait in the queue.
    static std::size_t queued_in(const team_record& team, const queue_record& queue);

    // Updates the shares of the kind and its team. Called when the kind's running tasks have
    // changed.
    void refresh_share(kind_record& kind);
    // Updates the sum of the active teams' weights. Called when the team's number of tasks has
    // changed; `was_active` is the team's state before that.
    void refresh_activity(const team_record& team, bool was_active);
    // Returns true if the team uses less than the share of the cell that it is entitled to.
    bool below_share(const team_record& team) const;
    // Returns true if the team uses more than `times` the share that it is entitled to.
    bool above_share(const team_record& team, double times) const;
    // The fraction of the cell that is idle when `room` is its free capacity, 0 to 1.
    double idle_fraction(const base::resources& room) const {
        return shares_.smallest_fraction(room);
    }

    const std::map<base::team_id, std::unique_ptr<team_record>>& teams() const { return teams_; }

private:
    team_record& team_of(const base::team_id& id);
    queue_record& queue_of(const base::queue_name& name);
    void refresh_all_shares();

    fair_share shares_;
    std::map<base::team_id, std::unique_ptr<team_record>> teams_;
    std::unordered_map<base::queue_name, std::unique_ptr<queue_record>> queues_;
    double active_weight_ = 0;  // sum over the teams with queued or running tasks
    std::uint32_t next_lane_number_ = 0;
};

}  // namespace cranberrydock::policy
