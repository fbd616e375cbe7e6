// The state machine behind ownership.hpp. After each event, advance() carries out in a fixed order
// what depends on time.
//
// Why no two daemons place in one cell at the same time, provided that their clocks differ by less
// than safety_margin over a lease:
// - The owner counts its lease from the *sending* of a renewal that was applied. The renewal is
//   conditional on the cell's row, so the daemon owned the cell when it was applied.
// - Another daemon takes the cell no earlier than one lease after it first received that renewal's
//   version of the owner's row, and only in a transaction that is conditional on that version.
// So the takeover comes at least one lease after the sending, and the owner stops safety_margin
// earlier.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include "own_lease.hpp"
#include "owned_cells.hpp"
#include "registry_view.hpp"
#include "succession.hpp"
#include "takeover_hold_off.hpp"

namespace cranberrydock::cell {

class ownership::machine {
public:
    explicit machine(const ownership_settings& settings);

    std::vector<ownership_effect> handle(const ownership_event& event, base::time_point now);
    bool may_place(const base::cell_id& cell, base::time_point now) const;
    base::time_point placement_valid_until(const base::cell_id& cell) const;

private:
    void on(const tick& event, base::time_point now);
    void on(const cells_configured& event, base::time_point now);
    void on(const registry_scanned& event, base::time_point now);
    void on(const commit_finished& event, base::time_point now);
    void on(const peer_alive& event, base::time_point now);
    void on(const daemon_vms_listed& event, base::time_point now);
    void on(const hold_off_answered& event, base::time_point now);
    void on(const hold_off_requested& event, base::time_point now);
    void on(const stop_requested& event, base::time_point now);
    void on(const cell_drained& event, base::time_point now);
    void on(const registry_change_reported& event, base::time_point now);

    // Process the result of a scan or a commit.
    void find_lost_cells();
    void resolve_claims(base::time_point now);
    void resolve_own_row(base::time_point scan_sent);
    void claim_finished(const detail::pending_claim& claim, const commit_finished& event,
                        base::time_point now);
    void release_finished(const base::cell_id& id, const commit_finished& event,
                          base::time_point now);
    void removal_finished(const commit_finished& event, base::time_point now);
    void record_store_result(bool answered, base::time_point now);
    void apply(const detail::renewal& confirmed);
    void gain(const detail::pending_claim& claim, platform::row_version version,
              base::time_point now);
    void lose(const base::cell_id& id, const std::string& reason);

    // Time-dependent steps, in the order in which advance() calls them.
    void advance(base::time_point now);
    void extend_by_hold_offs(base::time_point now);
    void update_suspensions(base::time_point now);
    void renew(base::time_point now);
    void request_hold_offs(base::time_point now);
    void claim_cells(base::time_point now);
    void release_cells(base::time_point now);
    void remove_expired_rows(base::time_point now);
    void scan(base::time_point now);
    void publish_routes();
    void finish_stop(base::time_point now);

    bool fresh(const detail::owned_cell& cell, base::time_point now) const;
    base::time_point fresh_until(const detail::owned_cell& cell) const;
    bool own_row_fresh(base::time_point now) const;
    bool renewal_late(base::time_point now) const;
    bool store_answers(base::time_point now) const;
    bool configured(const base::cell_id& id) const;
    bool is_being_claimed(const base::cell_id& id) const;
    bool may_replace_soon(const base::daemon_id& owner, base::time_point now) const;
    bool may_grant_hold_off(const hold_off_requested& event, base::time_point now) const;
    std::set<base::daemon_id> hold_off_recipients(base::time_point now) const;
    detail::succession_inputs current_inputs() const {
        return {view_, vms_, granted_hold_offs_, last_contacts_, configured_since_};
    }
    operation_id new_operation() { return operation_ = operation_.next(); }
    void drain(const base::cell_id& id, detail::owned_cell& cell);

    ownership_settings settings_;
    detail::succession succession_;
    detail::registry_view view_;
    detail::own_lease lease_;
    detail::granted_hold_offs granted_hold_offs_;
    detail::received_hold_offs received_hold_offs_;
    detail::listed_vms vms_;
    std::vector<configured_cell> cells_;
    std::map<base::daemon_id, base::time_point> last_contacts_;
    std::map<base::cell_id, base::time_point> configured_since_;
    detail::owned_cells owned_;
    // Invariant: no cell is both in owned_ and in claims_.
    detail::pending_claims claims_;
    operation_id operation_;

    std::optional<operation_id> scan_operation_;
    base::time_point scan_sent_;
    base::time_point next_scan_ = base::time_point::min();
    bool just_scanned_ = false;  // a scan was received with the current event
    bool routes_stale_ = false;

    // Sending time of the newest renewal that is known to have been applied.
    std::optional<base::time_point> renewed_;
    std::optional<base::time_point> last_store_answer_;
    bool store_failed_ = false;  // the newest result of the store was a failure
    // Every owned cell counts as fresh until this time, because the other daemons hold off.
    base::time_point extended_until_ = base::time_point::min();

    std::optional<operation_id> removal_of_expired_;

    bool stopping_ = false;
    bool keep_row_ = false;  // even when no cell is owned any more
    bool finished_ = false;
    std::optional<operation_id> removal_;         // of the own row
    std::optional<base::time_point> drained_at_;  // since then the stop waits only for the store
    routes_changed routes_;                       // as last published, without renewal counts
    std::vector<ownership_effect> out_;
};

}  // namespace cranberrydock::cell
