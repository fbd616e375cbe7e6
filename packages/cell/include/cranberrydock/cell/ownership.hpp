// Who owns a cell: one daemon's part in the agreement, as a pure state machine. Events come in with
// the time; effects say what to read, write and ask. The agreement itself lives in the platform's
// table service; this machine is the only writer of "daemon/" and "cell/" rows.
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

// Names one outstanding store operation or question of this machine.
using operation_id = base::strong_number<struct operation_id_tag>;

struct ownership_settings {
    base::daemon_id self;
    base::vm_id vm;  // that this daemon runs on
    base::region_name region;
    base::zone_name zone;
    net::endpoint mesh_address;  // where other daemons reach this one
    net::endpoint http_address;
    base::milliseconds renew_period{1'000};
    base::milliseconds lease{3'000};  // an owner that did not renew for so long may be replaced
    base::milliseconds scan_period{500};
    // An owner stops placing this long before its lease ends, which covers clocks of other speed.
    base::milliseconds safety_margin{500};
    // Each lower rendezvous rank waits this much longer before it takes a cell.
    base::milliseconds rank_delay{300};
    // A cell that never had an owner is left to the daemons of its zone for so long; others wait.
    base::milliseconds first_owner_delay{1'500};
    // How long a graceful stop whose cells are drained goes on waiting for a store that fails.
    base::milliseconds stop_patience{10'000};
};

// A daemon's row: "daemon/ID".
struct daemon_row {
    base::daemon_id id;
    base::vm_id vm;
    base::region_name region;
    base::zone_name zone;
    net::endpoint mesh_address;
    net::endpoint http_address;
    std::int64_t renewals = 0;  // raised by each attempt to renew; observers watch it change
    bool stopping = false;      // gives its cells up, takes none

    friend bool operator==(const daemon_row& a, const daemon_row& b) {
        return a.id == b.id && a.vm == b.vm && a.region == b.region && a.zone == b.zone &&
               a.mesh_address == b.mesh_address && a.http_address == b.http_address &&
               a.renewals == b.renewals && a.stopping == b.stopping;
    }
    friend bool operator!=(const daemon_row& a, const daemon_row& b) { return !(a == b); }
};

// A cell's row: "cell/ID".
struct cell_row {
    base::cell_id id;
    base::daemon_id owner;  // empty: nobody yet, or offered
    base::epoch epoch;
    net::endpoint address;       // the owner's mesh address
    base::daemon_id offered_by;  // set by a graceful stop

    friend bool operator==(const cell_row& a, const cell_row& b) {
        return a.id == b.id && a.owner == b.owner && a.epoch == b.epoch && a.address == b.address &&
               a.offered_by == b.offered_by;
    }
    friend bool operator!=(const cell_row& a, const cell_row& b) { return !(a == b); }
};

// A cell as owned in one epoch.
struct cell_epoch {
    base::cell_id cell;
    base::epoch epoch;
};

struct known_cell {
    base::cell_id id;
    base::region_name region;
    base::zone_name zone;
};

// ---- events

struct tick {};

// The cells of the configuration in force.
struct cells_known {
    std::vector<known_cell> cells;
};

struct registry_scanned {
    operation_id operation;
    tl::expected<std::vector<platform::row>, platform::store_error> rows;
};

struct commit_finished {
    operation_id operation;
    tl::expected<platform::commit_result, platform::store_error> result;
};

// A sign of life of another daemon on the mesh.
struct peer_heard {
    base::daemon_id id;
};

// The platform's member list, as far as our own kind is concerned.
struct entries_listed {
    std::vector<base::vm_id> live;
};

// Another daemon's answer to ask_silence, or its question to us.
struct promise_received {
    base::daemon_id from;
    operation_id operation;
    bool given = false;
    base::milliseconds lasting{0};
};

struct silence_asked {
    base::daemon_id by;
    std::int64_t call = 0;          // goes back in promise_silence
    std::vector<cell_epoch> cells;  // that the asker believes to own
};

// Begin a graceful stop: take no cell any more and give every cell up. The daemon's own row is
// renewed until then, so that nobody takes a cell that is still being drained.
struct stop_requested {
    // The row stays, renewed, after the last cell was given up, so that this daemon's links do:
    // until another of these without it.
    bool keep_row = false;
};

// The owner's part has drained this cell and nothing of it is under way here any more.
struct cell_drained {
    base::cell_id cell;
};

// Another daemon says that it changed the registry, such as by offering cells: scan at once.
struct registry_hint {};

using ownership_event =
    std::variant<tick, cells_known, registry_scanned, commit_finished, peer_heard, entries_listed,
                 promise_received, silence_asked, stop_requested, cell_drained, registry_hint>;

// ---- effects

// Scan all rows "daemon/" and "cell/".
struct scan_registry {
    operation_id operation;
};

struct commit {
    operation_id operation;
    platform::transaction what;
};

struct ask_silence {
    operation_id operation;
    std::vector<base::daemon_id> to;
    std::vector<cell_epoch> cells;
};

// Given when the store is unavailable here, or the asker's row was renewed within a lease as seen
// from here; then this daemon takes nothing from the asker for `lasting`.
struct promise_silence {
    base::daemon_id to;
    std::int64_t call = 0;
    bool given = false;
    base::milliseconds lasting{0};
};

// This daemon owns the cell under that epoch. Every write for the cell is conditional on `guard`.
struct cell_gained {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_condition guard;
};

// Place nothing new until cell_resumed; what runs goes on.
struct cell_suspended {
    base::cell_id cell;
    std::string why;
};

struct cell_resumed {
    base::cell_id cell;
};

struct cell_lost {
    base::cell_id cell;
    base::epoch epoch;
    std::string why;
};

// The graceful stop, or a configuration without this cell, wants it drained; cell_drained answers.
// From that answer on may_place() is false, and no cell_lost follows.
struct drain_cell {
    base::cell_id cell;
};

// Where each cell's owner is, as this daemon knows it, and the daemons whose rows have not lapsed,
// this one included; sent when it changes. Renewals don't count as a change.
struct routes_changed {
    std::vector<cell_row> cells;
    std::vector<daemon_row> daemons;
};

// Every cell has been given up: the process may exit.
struct stop_finished {};

using ownership_effect =
    std::variant<scan_registry, commit, ask_silence, promise_silence, cell_gained, cell_suspended,
                 cell_resumed, cell_lost, drain_cell, routes_changed, stop_finished>;

class ownership {
public:
    explicit ownership(const ownership_settings& settings);
    ~ownership();
    ownership(const ownership&) = delete;
    ownership& operator=(const ownership&) = delete;
    ownership(ownership&&) noexcept;
    ownership& operator=(ownership&&) noexcept;

    std::vector<ownership_effect> handle(const ownership_event& event, base::time_point now);

    // Whether a placement in this cell may be sent at this moment. Check it just before each send:
    // a process that was frozen learns here that its evidence has aged.
    bool may_place(const base::cell_id& cell, base::time_point now) const;

    // Until when may_place() holds if nothing more is heard; the clock's beginning when it does
    // not.
    base::time_point place_until(const base::cell_id& cell) const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

}  // namespace cranberrydock::cell
