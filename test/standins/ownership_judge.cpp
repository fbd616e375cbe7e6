// What the simulated world of ownership machines sees and judges.
#include <cranberrydock/cell/registry_rows.hpp>

#include "ownership_world.hpp"

#include <algorithm>

namespace cranberrydock::standins {

using base::milliseconds;

tl::expected<platform::commit_result, platform::store_error> ownership_world::commit_judged(
    const platform::transaction& what) {
    auto result = table_.commit(what);
    if (!result) {
        return result;
    }
    for (const auto& it : what.writes) {
        const auto* row = table_.find(it.key);
        if (row != nullptr && it.key.str().rfind(cell::cell_prefix, 0) == 0) {
            judge_row(*row);
        }
    }
    return result;
}

void ownership_world::judge_row(const platform::row& row) {
    const auto next = cell::decode_cell_row(row.value);
    if (!next) {
        breaches_.push_back("row that can't be read: " + row.value);
        return;
    }
    auto& last = rows_[next->id];
    const bool offer = next->owner.empty();
    const bool rises = offer ? next->epoch == last.epoch : last.epoch < next->epoch;
    if (!rises) {
        breaches_.push_back("epoch does not rise: " + row.value);
    }
    if (!offer && !last.owner.empty()) {
        ++takeovers_;
    }
    if (offer) {
        offered_at_[next->id] = now_;
    } else if (last.owner.empty() && !last.id.empty()) {
        ++handovers_;
        longest_handover_ = std::max(longest_handover_, now_ - offered_at_[next->id]);
    }
    last = *next;
}

void ownership_world::judge_moment() {
    for (const auto& it : cells_) {
        std::vector<std::string> placing;
        for (const auto& one : daemons_) {
            if (one && !one->frozen && one->machine->may_place(it.id, clock_of(*one))) {
                placing.push_back(one->settings.self.str());
            }
        }
        if (placing.size() > 1) {
            breaches_.push_back("at " + std::to_string(now_.count()) + " us " + placing[0] +
                                " and " + placing[1] + " both place in " + it.id.str());
        }
        moments_without_owner_ += placing.empty() ? 1 : 0;
    }
}

std::size_t ownership_world::cells_without_owner() const {
    return static_cast<std::size_t>(
        std::count_if(cells_.begin(), cells_.end(), [&](const auto& it) {
            return std::none_of(daemons_.begin(), daemons_.end(), [&](const auto& one) {
                return one && one->machine->may_place(it.id, clock_of(*one));
            });
        }));
}

std::string ownership_world::owners() const {
    std::string result;
    for (const auto& it : rows_) {
        result += it.first.str() + " epoch " + std::to_string(it.second.epoch.value()) + " " +
                  it.second.owner.str() + "; ";
    }
    return result;
}

std::size_t ownership_world::owner_of(std::size_t cell) const {
    const auto owner = find(rows_.at(cells_.at(cell).id).owner);
    return owner ? owner->slot : 0;
}

milliseconds ownership_world::longest_handover() const {
    return std::chrono::duration_cast<milliseconds>(longest_handover_);
}

}  // namespace cranberrydock::standins
