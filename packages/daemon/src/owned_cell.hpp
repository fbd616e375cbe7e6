// One owned cell on the host's thread: carries out the decider's effects as commands to VMs,
// journal writes and replies, and passes their results to the decider as events.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/platform/table_service.hpp>
#include <cranberrydock/platform/vm_client.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include "cell_allowances.hpp"
#include "cell_host.hpp"
#include "cell_journal.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cranberrydock::daemon {

// Receives the results of an owned cell, on the host's thread.
class owned_cell_listener {
public:
    virtual ~owned_cell_listener() = default;
    virtual void reply(const cell::reply& outgoing) = 0;
    virtual void drained(const base::cell_id& cell) = 0;
    virtual void superseded(const base::cell_id& cell, base::epoch seen_epoch) = 0;
};

class owned_cell final : private journal_client, private allowance_client {
public:
    owned_cell(const cell_start& start, const cell::cell_settings& settings, net::event_loop& loop,
               platform::vm_client& vms, platform::table_service& table, const base::clock& clock,
               base::metrics& metrics, owned_cell_listener& listener);

    // Passes an event to the decider and carries out its effects. Events that come before the
    // journal has been read are queued, except submitted work, which is refused: the entry daemon
    // sends it again.
    void handle(const cell::cell_event& event);

    void set_limits(std::vector<cell::team_limit> limits) {
        allowances_.set_limits(std::move(limits));
    }

    // Whether the journal has been read and the decider takes events.
    bool live() const { return live_; }
    const cell::cell_machine& machine() const { return machine_; }

private:
    void on_record(const cell::cell_event& event) override { handle(event); }
    std::vector<cell::work_record> snapshot() const override { return machine_.snapshot(); }

    std::vector<policy::team_load> loads() const override { return machine_.loads(); }
    std::optional<base::slot_count> unreported_slots() const override {
        return live_ ? machine_.unreported_slots() : std::nullopt;
    }
    void on_bounds_changed() override { apply_rules(); }

    // Passes the rules to the decider, with the allowances that the cell holds now.
    void apply_rules();
    void run_decider(const cell::cell_event& event);

    void carry_out(const cell::command_vm& effect);
    void carry_out(const cell::append_record& effect);
    void carry_out(const cell::reply& effect);
    void carry_out(const cell::superseded& effect);
    void carry_out(const cell::drained& effect);
    void go_live(std::vector<cell::work_record> records);

    base::cell_id id_;
    platform::vm_client& vms_;
    const base::clock& clock_;
    owned_cell_listener& listener_;
    std::unique_ptr<policy::scheduler> scheduler_;
    cell::cell_machine machine_;
    cell_journal journal_;
    cell_allowances allowances_;
    std::optional<cell::rules_changed> rules_;  // as last set, without allowances
    base::time_point next_allowance_tick_{};
    bool live_ = false;
    std::vector<cell::cell_event> queued_events_;  // until the journal has been read
    // Callbacks hold a weak pointer to it, so that they do nothing after the cell was released.
    std::shared_ptr<owned_cell*> self_ = std::make_shared<owned_cell*>(this);
};

}  // namespace cranberrydock::daemon
