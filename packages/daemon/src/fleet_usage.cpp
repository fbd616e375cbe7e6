// The slots that each team has running and queued in the whole fleet.
#include "fleet_usage.hpp"

namespace cranberrydock::daemon {

std::vector<mesh::team_usage> fleet_usage::own() const {
    std::map<base::team_id, mesh::team_usage> totals;
    for (const auto& cell : loads_) {
        for (const auto& it : cell.second) {
            mesh::team_usage& total = totals[it.team];
            total.team = it.team;
            total.running += it.running;
            total.queued += it.queued;
        }
    }
    std::vector<mesh::team_usage> out;
    out.reserve(totals.size());
    for (const auto& it : totals) {
        out.push_back(it.second);
    }
    return out;
}

std::vector<mesh::team_usage> fleet_usage::elsewhere(const base::cell_id& cell) const {
    std::vector<mesh::team_usage> out;
    for (const auto& it : loads_) {
        for (const auto& load : it.second) {
            if (it.first != cell) {
                out.push_back({load.team, load.running, load.queued});
            }
        }
    }
    for (const auto& it : usage_) {
        out.insert(out.end(), it.second.begin(), it.second.end());
    }
    return out;
}

std::map<base::team_id, base::slot_count> fleet_usage::running() const {
    std::map<base::team_id, base::slot_count> out;
    for (const auto& it : elsewhere({})) {
        out[it.team] += it.running;
    }
    return out;
}

}  // namespace cranberrydock::daemon
