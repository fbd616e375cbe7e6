// An owned cell's parts of the teams' upper limits: drives the allowance keeper against the
// platform's table service.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/allowance_keeper.hpp>
#include <cranberrydock/platform/table_service.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include "cell_host.hpp"

#include <memory>
#include <vector>

namespace cranberrydock::daemon {

// Whose parts they are; called on the loop.
class allowance_client {
public:
    virtual ~allowance_client() = default;
    // What the cell has running and queued at this moment.
    virtual std::vector<policy::team_load> loads() const = 0;
    // Slots of VMs that may run what an earlier owner started and were not heard from; nothing
    // while it is not known which VMs there are.
    virtual std::optional<base::slot_count> unheard_slots() const = 0;
    // bound() has other answers: they must be in force before anything more is placed.
    virtual void on_bounds_changed() = 0;
};

class cell_allowances {
public:
    cell_allowances(const cell_start& start, platform::table_service& table,
                    const base::clock& clock, allowance_client& client);

    void set_limits(std::vector<cell::team_limit> limits);
    void tick();

    // How many slots the team may have in use in this cell.
    base::slot_count bound(const base::team_id& team) const { return keeper_.bound(team); }

private:
    void handle(const cell::allowance_event& event);
    cell::demand_changed demand() const;
    void carry_out(const cell::scan_allowances& effect);
    void carry_out(const cell::commit& effect);
    void carry_out(const cell::allowance_grown& effect);
    void scan_page(cell::operation_id operation, std::vector<platform::row> rows,
                   const platform::row_key& after);
    std::vector<base::slot_count> bounds() const;

    platform::table_service& table_;
    const base::clock& clock_;
    allowance_client& client_;
    cell::allowance_keeper keeper_;
    std::vector<cell::team_limit> limits_;
    // Answers that come after these allowances are gone find it so.
    std::shared_ptr<cell_allowances*> self_ = std::make_shared<cell_allowances*>(this);
};

}  // namespace cranberrydock::daemon
