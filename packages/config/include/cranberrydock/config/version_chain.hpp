// One daemon's part in the chain of configuration versions. It commits patches as new versions,
// announces versions to other daemons, and tracks the latest time at which its version in force was
// provably the newest. The class is a pure state machine: events come in with the current time, and
// effects tell the caller what to read, write and send. The daemons agree on versions through the
// platform's table service alone (version_record.hpp).
//
// Invariants:
// - The version in force never decreases, and only committed versions are in force.
// - A patch is committed only if its base is the newest version; otherwise it is a conflict.
// - A patch reported as accepted is in the chain exactly once. A patch reported as a conflict, as
//   invalid or as not run is not in the chain and never will be.
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
using patch_call = base::strong_number<struct patch_call_tag>;        // matches outcome to request
using outage_query_id = base::strong_number<struct outage_call_tag>;  // returned in outage_answer

struct version_chain_settings {
    base::daemon_id self;  // unique to one run of a daemon, so writer ids are unique
    base::milliseconds poll_interval{
        2'000};                           // interval of head reads, in case announcements are lost
    base::milliseconds freshness{5'000};  // see fresh_until()
    base::milliseconds retry_interval{200};      // between attempts while the store fails
    base::milliseconds patch_deadline{10'000};   // from the request to the outcome of a patch
    base::milliseconds promise_validity{5'000};  // of an outage promise
    std::size_t max_queued_patches = 100;        // further patches are refused as overloaded
};

// ---- events

struct chain_tick {};

struct patch_requested {
    patch_call call;
    base::config_version base;
    std::string patch;   // RFC 7396
    std::string author;  // id of the key that the patch was sent with
    std::string at;      // wall-clock time, for display only
};

struct row_read {
    store_operation operation;
    tl::expected<std::optional<platform::row>, platform::store_error> result;
};

struct rows_committed {
    store_operation operation;
    tl::expected<platform::commit_result, platform::store_error> result;
};

// Another daemon announced this version.
struct version_announced {
    base::config_version version;
    std::string document;
};

// Evidence that a peer's version was the newest at `query_sent_at - age`. It counts from the time
// at which this daemon sent its query: the answer may have waited in a buffer while this process
// was suspended, so the time of receipt proves nothing.
struct peer_evidence {
    base::time_point query_sent_at;  // when this daemon sent the query
    base::milliseconds age;          // of the peer's own evidence when the peer answered
};

struct peer_version {
    base::daemon_id peer;
    base::config_version version;           // in force at the peer
    std::optional<peer_evidence> evidence;  // nullopt: the peer has none
};

// A daemon that can't reach the store asks this one for an outage promise.
struct outage_query {
    base::daemon_id requester;
    outage_query_id call;
};

// Every other daemon that may have committed a version since newest_at() has given an outage
// promise, so no newer version can be committed until the promises expire. This daemon commits
// nothing for the same time. The sender of this event determines the daemons and queries them all.
struct outage_confirmed {
    base::time_point query_sent_at;  // when the queries were sent
    base::config_version version;    // highest version in the promises
    base::milliseconds valid_for;    // shortest validity of the promises
};

using chain_event = std::variant<chain_tick, patch_requested, row_read, rows_committed,
                                 version_announced, peer_version, outage_query, outage_confirmed>;

// ---- effects

struct read_row {
    store_operation operation;
    platform::row_key key;
};

struct commit_rows {
    store_operation operation;
    platform::transaction transaction;
};

struct version_in_force {
    configuration_ptr current;
    std::string document;
};

// A committed version can't be parsed: a daemon of another release wrote it, or its row is damaged.
// The version in force stays in force, but is no longer fresh.
struct version_unreadable {
    base::config_version version;
    base::findings findings;
};

struct patch_accepted {
    base::config_version version;
};

struct patch_conflict {
    base::config_version current;
};

struct patch_invalid {
    base::findings findings;
};

// A refusal has the reason store_unavailable or overloaded (the patch did not run), or
// outcome_unknown: the patch may be in the chain now or later, which the history shows.
using patch_outcome = std::variant<patch_accepted, patch_conflict, patch_invalid, base::refusal>;

struct patch_finished {
    patch_call call;
    patch_outcome outcome;
};

struct announce_version {
    base::config_version version;
    std::string document;
    base::daemon_id recipient;  // empty: every daemon
};

// The answer to outage_query. If `granted`, this daemon promises that the store is unavailable to
// it, that it knows no version newer than `version`, that no commit of its own is pending, and that
// it commits nothing for the time `valid_for`.
struct outage_answer {
    base::daemon_id requester;
    outage_query_id call;
    bool granted = false;
    base::config_version version;
    base::milliseconds valid_for{0};
};

using chain_effect = std::variant<read_row, commit_rows, version_in_force, version_unreadable,
                                  patch_finished, announce_version, outage_answer>;

class version_chain {
public:
    explicit version_chain(version_chain_settings settings);
    ~version_chain();
    version_chain(const version_chain&) = delete;
    version_chain& operator=(const version_chain&) = delete;
    version_chain(version_chain&&) noexcept;
    version_chain& operator=(version_chain&&) noexcept;

    std::vector<chain_effect> handle(const chain_event& event, base::time_point now);

    // The version in force. Null until there is evidence that a received version is the newest, or
    // was the newest at some time since this run began.
    configuration_ptr in_force() const;
    const std::string& document() const;

    // The latest time at which the version in force was provably the newest: the time when the last
    // successful head read was *sent*, or the time of a peer's evidence. Nullopt before the first
    // evidence.
    std::optional<base::time_point> newest_at() const;

    // The time until which work with a key may be accepted: newest_at() plus the freshness limit.
    // Compare it with the clock at each use, since the evidence also ages while the process is
    // suspended.
    std::optional<base::time_point> fresh_until() const;

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

}  // namespace cranberrydock::config
