// Decides which daemon owns a cell. This is one daemon's side of the agreement, as a pure state
// machine: events come in with the time, and effects state what to read, write and request. The
// agreement itself is kept in the platform's table service; this machine is the only writer of rows
// with the prefixes "daemon/" and "cell/".
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::cell {

// Identifies a pending store operation or request of this machine.
using operation_id = base::strong_number<struct operation_id_tag>;

struct ownership_settings {
    base::daemon_id self;
    base::vm_id vm;  // on which this daemon runs
    base::region_name region;
    base::zone_name zone;
    net::endpoint mesh_address;  // at which other daemons reach this one
    net::endpoint http_address;
    base::milliseconds renew_period{1'000};
    base::milliseconds lease{3'000};  // without a renewal for this time, an owner may be replaced
    base::milliseconds scan_period{500};
    // An owner stops placing this long before its lease ends. This margin covers clocks that run at
    // different speeds.
    base::milliseconds safety_margin{500};
    // Each lower rendezvous rank waits this much longer before it takes a cell.
    base::milliseconds rank_delay{300};
    // During this time only the daemons of its zone take a cell that never had an owner.
    base::milliseconds first_owner_delay{1'500};
    // A graceful stop whose cells are drained waits this long for a failing store.
    base::milliseconds stop_timeout{10'000};
};

// A daemon's row, "daemon/ID".
struct daemon_row {
    base::daemon_id id;
    base::vm_id vm;
    base::region_name region;
    base::zone_name zone;
    net::endpoint mesh_address;
    net::endpoint http_address;
    std::int64_t renewals = 0;  // incremented by each renewal attempt; observers watch for changes
    bool stopping = false;      // releases its cells, takes no new ones

    friend bool operator==(const daemon_row& a, const daemon_row& b) {
        return a.id == b.id && a.vm == b.vm && a.region == b.region && a.zone == b.zone &&
               a.mesh_address == b.mesh_address && a.http_address == b.http_address &&
               a.renewals == b.renewals && a.stopping == b.stopping;
    }
    friend bool operator!=(const daemon_row& a, const daemon_row& b) { return !(a == b); }
};

// A cell's row, "cell/ID".
struct cell_row {
    base::cell_id id;
    base::daemon_id owner;  // empty: none yet, or the cell is offered
    base::epoch epoch;
    net::endpoint address;       // the owner's mesh address
    base::daemon_id offered_by;  // set by a graceful stop

    friend bool operator==(const cell_row& a, const cell_row& b) {
        return a.id == b.id && a.owner == b.owner && a.epoch == b.epoch && a.address == b.address &&
               a.offered_by == b.offered_by;
    }
    friend bool operator!=(const cell_row& a, const cell_row& b) { return !(a == b); }
};

// A cell under one epoch of its ownership.
struct cell_epoch {
    base::cell_id cell;
    base::epoch epoch;
};

struct configured_cell {
    base::cell_id id;
    base::region_name region;
    base::zone_name zone;
};

// ---- events

struct tick {};

// The cells of the configuration in force.
struct cells_configured {
    std::vector<configured_cell> cells;
};

struct registry_scanned {
    operation_id operation;
    tl::expected<std::vector<platform::row>, platform::store_error> rows;
};

struct commit_finished {
    operation_id operation;
    tl::expected<platform::commit_result, platform::store_error> result;
};

// Another daemon was seen alive on the mesh.
struct peer_alive {
    base::daemon_id id;
};

// The VMs in the platform's member list that run daemons.
struct daemon_vms_listed {
    std::vector<base::vm_id> live;
};

// Another daemon's answer to request_hold_off, or its request to this daemon.
struct hold_off_answered {
    base::daemon_id from;
    operation_id operation;
    bool granted = false;
    base::milliseconds duration{0};
};

struct hold_off_requested {
    base::daemon_id requester;
    std::int64_t call_id = 0;       // returned in answer_hold_off
    std::vector<cell_epoch> cells;  // that the requester has on record as its own
};

// Begins a graceful stop: the daemon takes no more cells and releases those that it owns. It renews
// its own row until the last one is released, so no other daemon takes a cell that is still being
// drained.
struct stop_requested {
    // Keeps the row, and its renewals, after the last cell has been released, so that this daemon's
    // mesh links stay up. A second stop_requested with `keep_row` false ends this.
    bool keep_row = false;
};

// The cell is drained: its owner has no pending work here.
struct cell_drained {
    base::cell_id cell;
};

// Another daemon has reported a change of the registry, such as offered cells: scan at once.
struct registry_change_reported {};

using ownership_event =
    std::variant<tick, cells_configured, registry_scanned, commit_finished, peer_alive,
                 daemon_vms_listed, hold_off_answered, hold_off_requested, stop_requested,
                 cell_drained, registry_change_reported>;

// ---- effects

// Scan all rows with the prefixes "daemon/" and "cell/".
struct scan_registry {
    operation_id operation;
};

struct commit {
    operation_id operation;
    platform::transaction transaction;
};

struct request_hold_off {
    operation_id operation;
    std::vector<base::daemon_id> recipients;
    std::vector<cell_epoch> cells;
};

// The answer to hold_off_requested. Granted when the store is unavailable here, or when the
// requester's row was renewed within one lease as observed here. This daemon then takes no cell
// from the requester for `duration`.
struct answer_hold_off {
    base::daemon_id requester;
    std::int64_t call_id = 0;
    bool granted = false;
    base::milliseconds duration{0};
};

// This daemon owns the cell under this epoch. Every write for the cell is conditional on `guard`.
struct cell_gained {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_condition guard;
};

// Place nothing new until cell_resumed; running tasks continue.
struct cell_suspended {
    base::cell_id cell;
    std::string reason;
};

struct cell_resumed {
    base::cell_id cell;
};

struct cell_lost {
    base::cell_id cell;
    base::epoch epoch;
    std::string reason;
};

// Drain the cell, because of a graceful stop or because the configuration no longer contains it.
// Answered by cell_drained; from then on may_place() is false, and no cell_lost follows.
struct drain_cell {
    base::cell_id cell;
};

// The owner of each cell that this daemon has on record, and the daemons whose rows have not
// expired, including this one. Sent on each change; renewals don't count as changes.
struct routes_changed {
    std::vector<cell_row> cells;
    std::vector<daemon_row> daemons;
};

// Every cell has been released: the process may exit.
struct stop_finished {};

using ownership_effect = std::variant<scan_registry, commit, request_hold_off, answer_hold_off,
                                      cell_gained, cell_suspended, cell_resumed, cell_lost,
                                      drain_cell, routes_changed, stop_finished>;

class ownership {
public:
    explicit ownership(const ownership_settings& settings);
    ~ownership();
    ownership(const ownership&) = delete;
    ownership& operator=(const ownership&) = delete;
    ownership(ownership&&) noexcept;
    ownership& operator=(ownership&&) noexcept;

    // Processes one event and returns its effects in order.
    std::vector<ownership_effect> handle(const ownership_event& event, base::time_point now);

    // Returns whether a placement in this cell may be sent now. Check this immediately before each
    // send: after a suspension of the process, the evidence of ownership may have expired.
    bool may_place(const base::cell_id& cell, base::time_point now) const;

    // Returns the time until which may_place() holds without further events, or the clock's epoch
    // when it does not hold.
    base::time_point placement_valid_until(const base::cell_id& cell) const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

}  // namespace cranberrydock::cell
