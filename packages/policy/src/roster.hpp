// The configured queues and teams, their kinds of request and lanes, and the teams' shares.
#pragma once

#include <cranberrydock/policy/scheduler_settings.hpp>

#include "fair_share.hpp"
#include "lane.hpp"
#include "records.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

class roster {
public:
    explicit roster(const scheduler_settings& settings) : shares_(settings.most_elsewhere) {}

    void set_queues(const std::vector<queue_rules>& queues);
    void set_teams(const std::vector<team_rules>& teams);
    void set_capacity(const base::resources& total);

    // Null when it is not configured.
    queue_record* configured_queue(const base::queue_name& name);
    team_record* configured_team(const base::team_id& id);
    // Also of teams and queues that are not configured: for tasks that run already.
    kind_record& kind_of(const base::team_id& team, const base::queue_name& queue,
                         const base::kind_name& kind);
    // The kind's lane for tasks of about this size, or for its gangs.
    lane& lane_of(kind_record& kind, const base::resources& need, bool gang);

    // Tasks of the team that wait in the queue.
    static std::size_t queued_in(const team_record& team, const queue_record& queue);

    // The tasks that run for the kind have changed: sets its and its team's share.
    void refresh_share(kind_record& kind);
    // The team's count of queued and running tasks has changed; `was_active` is from before.
    void refresh_activity(const team_record& team, bool was_active);
    // Whether the team has less than its share of the cell.
    bool below_share(const team_record& team) const;
    // Whether the team has more than `times` its share of the cell.
    bool above_share(const team_record& team, double times) const;
    // The part of the cell that is idle when `room` is left in it; 0 to 1.
    double idle_part(const base::resources& room) const { return shares_.scarcest(room); }

    const std::map<base::team_id, std::unique_ptr<team_record>>& teams() const { return teams_; }

private:
    team_record& team_of(const base::team_id& id);
    queue_record& queue_of(const base::queue_name& name);
    void refresh_all_shares();

    fair_share shares_;
    std::map<base::team_id, std::unique_ptr<team_record>> teams_;
    std::unordered_map<base::queue_name, std::unique_ptr<queue_record>> queues_;
    double active_weight_ = 0;  // sum over the teams that have tasks here
    std::uint32_t lanes_ = 0;
};

}  // namespace cranberrydock::policy
