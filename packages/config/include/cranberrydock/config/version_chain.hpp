// The chain of configuration versions as one daemon takes part in it: how a version is committed,
// how others learn of it, and how long ago this daemon surely knew the newest one. A pure state
// machine: events come in with the time, effects say what to read, write and tell. The agreement
// itself lives in the platform's table service (version_record.hpp).
//
// Invariants:
// - The version in force only moves forward, and nothing is in force that was not committed.
// - A patch is committed only against the newest version; any other base is a conflict.
// - A patch that was answered as accepted is in the chain exactly once; one that was answered as a
//   conflict, as invalid or as not run never will be.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::config {

using store_operation = base::strong_number<struct store_operation_tag>;
using patch_call = base::strong_number<struct patch_call_tag>;    // pairs outcome with request
using outage_call = base::strong_number<struct outage_call_tag>;  // goes back in the promise

struct version_chain_settings {
    base::daemon_id self;                 // one run of a daemon: makes writers unique
    base::milliseconds poll{2'000};       // of the head row, the backstop of announcements
    base::milliseconds freshness{5'000};  // see fresh_until()
    base::milliseconds retry{200};        // between attempts of a patch on a failing store
    base::milliseconds patch_deadline{10'000};
    base::milliseconds promise{5'000};  // how long an outage promise lasts
    std::size_t max_waiting_patches = 100;
};

// ---- events

struct chain_tick {};

struct patch_requested {
    patch_call call;
    base::config_version base;
    std::string patch;   // RFC 7396
    std::string author;  // the key that it came with
    std::string at;      // wall-clock time, for people
};

struct row_read {
    store_operation operation;
    tl::expected<std::optional<platform::row>, platform::store_error> result;
};

struct rows_committed {
    store_operation operation;
    tl::expected<platform::commit_result, platform::store_error> result;
};

// Another daemon sent this version.
struct version_announced {
    base::config_version version;
    std::string document;
};

// When the version that a peer names was surely the newest. Stated against a question of ours,
// since a message that lay in a buffer while this process was frozen proves nothing about now.
struct peer_evidence {
    base::time_point asked_at;  // when this daemon sent what the peer's word answers
    base::milliseconds age;     // of the peer's own evidence when it answered
};

struct peer_version {
    base::daemon_id peer;
    base::config_version version;           // in force there
    std::optional<peer_evidence> evidence;  // nothing: the peer has none
};

// A daemon that can't reach the store asks whether this one can.
struct outage_asked {
    base::daemon_id by;
    outage_call call;
};

// Every other daemon that may have committed something since newest_at() has promised, so until the
// promises end nothing newer can come to be. This daemon commits nothing for as long either. Asking
// them all, and knowing who they are, is the sender's part.
struct outage_confirmed {
    base::time_point asked_at;     // when the questions were sent
    base::config_version version;  // the highest that any promise named
    base::milliseconds lasting;    // the shortest of the promises
};

using chain_event = std::variant<chain_tick, patch_requested, row_read, rows_committed,
                                 version_announced, peer_version, outage_asked, outage_confirmed>;

// ---- effects

struct read_row {
    store_operation operation;
    platform::row_key key;
};

struct commit_rows {
    store_operation operation;
    platform::transaction what;
};

struct version_in_force {
    configuration_ptr current;
    std::string document;
};

// A version was committed that this daemon can't read: it keeps the one in force, which is no
// longer fresh. A daemon of another release wrote it, or the row is damaged.
struct version_unreadable {
    base::config_version version;
    base::findings why;
};

struct patch_accepted {
    base::config_version version;
};

struct patch_conflict {
    base::config_version current;
};

struct patch_invalid {
    base::findings why;
};

// A refusal is store_unavailable or overloaded (not run), or outcome_unknown: the patch may be in
// the chain now or later; read the history.
using patch_outcome = std::variant<patch_accepted, patch_conflict, patch_invalid, base::refusal>;

struct patch_finished {
    patch_call call;
    patch_outcome outcome;
};

struct announce_version {
    base::config_version version;
    std::string document;
    base::daemon_id to;  // empty: every daemon
};

// The answer to outage_asked. `given`: "the store is unavailable to me, `version` is the newest
// that I know, nothing of mine is on its way to the store, and I commit nothing for `lasting`".
struct outage_promised {
    base::daemon_id to;
    outage_call call;
    bool given = false;
    base::config_version version;
    base::milliseconds lasting{0};
};

using chain_effect = std::variant<read_row, commit_rows, version_in_force, version_unreadable,
                                  patch_finished, announce_version, outage_promised>;

class version_chain {
public:
    explicit version_chain(version_chain_settings settings);
    ~version_chain();
    version_chain(const version_chain&) = delete;
    version_chain& operator=(const version_chain&) = delete;
    version_chain(version_chain&&) noexcept;
    version_chain& operator=(version_chain&&) noexcept;

    std::vector<chain_effect> handle(const chain_event& event, base::time_point now);

    // Null until the first version is known to be, or to have been since this run began, the
    // newest.
    configuration_ptr in_force() const;
    const std::string& document() const;

    // The latest time at which the version in force was surely the newest: when the last successful
    // head read was *sent*, or what a peer could show. Nothing before the first evidence.
    std::optional<base::time_point> newest_at() const;

    // Until when keyed work may be taken: newest_at() plus the freshness bound. Check it at each
    // use: a process that was frozen learns here that its evidence has aged.
    std::optional<base::time_point> fresh_until() const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

}  // namespace cranberrydock::config
