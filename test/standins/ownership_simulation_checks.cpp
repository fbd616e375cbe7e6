// The checks and counts of the simulated ownership machines.
#include <cranberrydock/cell/registry_rows.hpp>

#include "ownership_simulation.hpp"

#include <algorithm>

namespace cranberrydock::standins {

using base::milliseconds;

tl::expected<platform::commit_result, platform::store_error> ownership_simulation::commit_and_check(
    const platform::transaction& committed) {
    auto result = table_.commit(committed);
    if (!result) {
        return result;
    }
    for (const auto& it : committed.writes) {
        const auto* row = table_.find(it.key);
        if (row != nullptr && it.key.str().rfind(cell::cell_prefix, 0) == 0) {
            check_row(*row);
        }
    }
    return result;
}

void ownership_simulation::check_row(const platform::row& row) {
    const auto next = cell::decode_cell_row(row.value);
    if (!next) {
        violations_.push_back("unreadable row: " + row.value);
        return;
    }
    auto& last = rows_[next->id];
    const bool offer = next->owner.empty();
    const bool rises = offer ? next->epoch == last.epoch : last.epoch < next->epoch;
    if (!rises) {
        violations_.push_back("epoch does not rise: " + row.value);
    }
    if (!offer && !last.owner.empty()) {
        ++takeover_count_;
    }
    if (offer) {
        offered_at_[next->id] = now_;
    } else if (last.owner.empty() && !last.id.empty()) {
        ++handover_count_;
        longest_handover_ = std::max(longest_handover_, now_ - offered_at_[next->id]);
    }
    last = *next;
}

void ownership_simulation::check_placement() {
    for (const auto& it : cells_) {
        std::vector<std::string> placing_daemons;
        for (const auto& daemon : daemons_) {
            if (daemon && !daemon->suspended &&
                daemon->machine->may_place(it.id, clock_of(*daemon))) {
                placing_daemons.push_back(daemon->settings.self.str());
            }
        }
        if (placing_daemons.size() > 1) {
            violations_.push_back("at " + std::to_string(now_.count()) + " us " +
                                  placing_daemons[0] + " and " + placing_daemons[1] +
                                  " may both place tasks in " + it.id.str());
        }
        unowned_observations_ += placing_daemons.empty() ? 1 : 0;
    }
}

std::size_t ownership_simulation::unowned_cell_count() const {
    return static_cast<std::size_t>(
        std::count_if(cells_.begin(), cells_.end(), [&](const auto& it) {
            return std::none_of(daemons_.begin(), daemons_.end(), [&](const auto& daemon) {
                return daemon && daemon->machine->may_place(it.id, clock_of(*daemon));
            });
        }));
}

std::string ownership_simulation::describe_owners() const {
    std::string result;
    for (const auto& it : rows_) {
        result += it.first.str() + " epoch " + std::to_string(it.second.epoch.value()) + " " +
                  it.second.owner.str() + "; ";
    }
    return result;
}

std::size_t ownership_simulation::owner_of(std::size_t cell) const {
    const auto owner = find(rows_.at(cells_.at(cell).id).owner);
    return owner ? owner->slot : 0;
}

milliseconds ownership_simulation::longest_handover() const {
    return std::chrono::duration_cast<milliseconds>(longest_handover_);
}

}  // namespace cranberrydock::standins
