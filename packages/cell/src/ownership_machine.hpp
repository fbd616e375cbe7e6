// The state machine behind ownership.hpp. After each event advance() brings up to date, in a fixed
// order, what depends on time.
//
// Why no two daemons place in one cell at the same moment, with clocks that differ by less than
// safety_margin in a lease:
// - The owner counts from the *sending* of a renewal that was applied and that was conditional on
//   the cell's row; so it owned the cell when the renewal was applied.
// - Another takes the cell no sooner than a lease after it first received that renewal's version of
//   the owner's row, and only in a transaction conditional on that version.
// So the take comes a lease or more after the sending, and the owner stops safety_margin before.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include "own_lease.hpp"
#include "owned_cells.hpp"
#include "registry_view.hpp"
#include "silence.hpp"
#include "succession.hpp"

namespace cranberrydock::cell {

class ownership::machine {
public:
    explicit machine(const ownership_settings& settings);

    std::vector<ownership_effect> handle(const ownership_event& event, base::time_point now);
    bool may_place(const base::cell_id& cell, base::time_point now) const;
    base::time_point place_until(const base::cell_id& cell) const;

private:
    void on(const tick& event, base::time_point now);
    void on(const cells_known& event, base::time_point now);
    void on(const registry_scanned& event, base::time_point now);
    void on(const commit_finished& event, base::time_point now);
    void on(const peer_heard& event, base::time_point now);
    void on(const entries_listed& event, base::time_point now);
    void on(const promise_received& event, base::time_point now);
    void on(const silence_asked& event, base::time_point now);
    void on(const stop_requested& event, base::time_point now);
    void on(const cell_drained& event, base::time_point now);
    void on(const registry_hint& event, base::time_point now);

    // What a scan or a commit's result means.
    void find_lost_cells();
    void resolve_takes(base::time_point now);
    void resolve_own_row(base::time_point scan_sent);
    void take_finished(const detail::pending_take& take, const commit_finished& event,
                       base::time_point now);
    void release_finished(const base::cell_id& id, const commit_finished& event,
                          base::time_point now);
    void removal_finished(const commit_finished& event, base::time_point now);
    void note_store(bool answered, base::time_point now);
    void apply(const detail::renewal& one);
    void gain(const detail::pending_take& take, platform::row_version version,
              base::time_point now);
    void lose(const base::cell_id& id, const std::string& why);

    // What time brings, in the order of advance().
    void advance(base::time_point now);
    void extend_by_promises(base::time_point now);
    void note_freshness(base::time_point now);
    void renew(base::time_point now);
    void ask_for_silence(base::time_point now);
    void take_cells(base::time_point now);
    void release_cells(base::time_point now);
    void remove_lapsed_rows(base::time_point now);
    void scan(base::time_point now);
    void publish_routes();
    void finish_stop(base::time_point now);

    bool fresh(const detail::owned_cell& cell, base::time_point now) const;
    base::time_point fresh_until(const detail::owned_cell& cell) const;
    bool own_row_fresh(base::time_point now) const;
    bool renewal_late(base::time_point now) const;
    bool store_answers(base::time_point now) const;
    bool configured(const base::cell_id& id) const;
    bool is_being_taken(const base::cell_id& id) const;
    bool may_replace_soon(const base::daemon_id& owner, base::time_point now) const;
    bool may_promise(const silence_asked& event, base::time_point now) const;
    std::set<base::daemon_id> others_to_ask(base::time_point now) const;
    detail::surroundings around() const { return {view_, vms_, given_, heard_, known_since_}; }
    operation_id new_operation() { return operation_ = operation_.next(); }
    void drain(const base::cell_id& id, detail::owned_cell& cell);

    ownership_settings settings_;
    detail::succession succession_;
    detail::registry_view view_;
    detail::own_lease lease_;
    detail::promises_given given_;
    detail::promises_held held_;
    detail::listed_vms vms_;
    std::vector<known_cell> cells_;
    std::map<base::daemon_id, base::time_point> heard_;
    std::map<base::cell_id, base::time_point> known_since_;
    detail::owned_cells owned_;
    // Invariant: no cell is both in owned_ and in takes_.
    detail::pending_takes takes_;
    operation_id operation_;

    std::optional<operation_id> scan_operation_;
    base::time_point scan_sent_;
    base::time_point next_scan_ = base::time_point::min();
    bool just_scanned_ = false;  // a scan has come in with this event
    bool routes_stale_ = false;

    std::optional<base::time_point> renewed_;  // sending time of the newest renewal known applied
    std::optional<base::time_point> store_answered_;
    bool store_failed_ = false;  // the newest result of the store was a failure
    // While others are silent towards us, every owned cell counts as fresh until then.
    base::time_point extended_until_ = base::time_point::min();

    std::optional<operation_id> removal_of_lapsed_;

    bool stopping_ = false;
    bool keep_row_ = false;  // also when nothing is owned any more
    bool finished_ = false;
    std::optional<operation_id> removal_;         // of the own row
    std::optional<base::time_point> drained_at_;  // the stop waits for nothing but the store
    routes_changed routes_;                       // as last published, without renewal counts
    std::vector<ownership_effect> out_;
};

}  // namespace cranberrydock::cell
