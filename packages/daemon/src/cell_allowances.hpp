// An owned cell's parts of the teams' upper limits: runs the allowance state machine against the
// platform's table service.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/allowance_manager.hpp>
#include <cranberrydock/platform/table_service.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include "cell_host.hpp"

#include <memory>
#include <vector>

namespace cranberrydock::daemon {

// The owned cell that uses the allowances; called on the loop of the cell.
class allowance_client {
public:
    virtual ~allowance_client() = default;
    // The current numbers of running and queued slots of each team in the cell.
    virtual std::vector<policy::team_load> loads() const = 0;
    // Slots of the VMs that may run tasks of a previous owner and have not reported to this owner
    // yet; nothing before the list of VMs has arrived.
    virtual std::optional<base::slot_count> unreported_slots() const = 0;
    // Values of bound() have changed. The client must apply them before it places more tasks.
    virtual void on_bounds_changed() = 0;
};

class cell_allowances {
public:
    cell_allowances(const cell_start& start, platform::table_service& table,
                    const base::clock& clock, allowance_client& client);

    void set_limits(std::vector<cell::team_limit> limits);
    void tick();

    // The number of slots that the team may have in use in this cell.
    base::slot_count bound(const base::team_id& team) const { return manager_.start_limit(team); }

private:
    void handle(const cell::allowance_event& event);
    cell::demand_changed demand() const;
    void carry_out(const cell::scan_allowances& effect);
    void carry_out(const cell::commit& effect);
    void carry_out(const cell::allowance_increased& effect);
    void scan_page(cell::operation_id operation, std::vector<platform::row> rows,
                   const platform::row_key& after);
    std::vector<base::slot_count> bounds() const;

    platform::table_service& table_;
    const base::clock& clock_;
    allowance_client& client_;
    cell::allowance_manager manager_;
    std::vector<cell::team_limit> limits_;
    // Callbacks hold a weak pointer to it, so that they do nothing after the destruction.
    std::shared_ptr<cell_allowances*> self_ = std::make_shared<cell_allowances*>(this);
};

}  // namespace cranberrydock::daemon
