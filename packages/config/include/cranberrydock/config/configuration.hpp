// One numbered version of the cluster's configuration, parsed and validated as a unit.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::config {

struct team {
    base::team_id id;
    base::region_name home_region;
    double share = 1.0;            // relative weight when the fleet is full; greater than 0
    base::slot_count upper_limit;  // maximum of slots in use in the whole fleet; never exceeded
};

// Lengths of a key's salt and of its SHA-256 digest, in hexadecimal digits.
constexpr std::size_t salt_digits = 32;
constexpr std::size_t digest_digits = 64;

// What a key permits: submitting work for its team, or operating the cluster.
enum class key_role { submitter, operations };

struct key {
    base::key_id id;
    base::team_id team;  // empty for an operator's key
    key_role role = key_role::submitter;
    std::string salt;    // hexadecimal
    std::string digest;  // hexadecimal SHA-256 of salt followed by secret
    bool withdrawn = false;
};

enum class queue_policy_kind { latency, must_finish, batch, gang, service };

struct queue {
    base::queue_name name;
    queue_policy_kind policy = queue_policy_kind::batch;
    bool open = false;  // accepts work without a key and counts it for `open_team`
    base::team_id open_team;
    std::size_t max_queued_per_team = 10'000;  // tasks
    int max_attempts = 5;
    std::optional<base::milliseconds> default_deadline;
};

// The VMs of a cell: all VMs of an availability zone, or those in the listed racks of the zone.
struct cell {
    base::cell_id id;
    base::region_name region;
    base::zone_name zone;
    std::vector<base::rack_name> racks;  // empty: all racks
};

// Invariant, established by parse_configuration(): each list is sorted by name and its names are
// unique; every team and region that an entry refers to exists; no VM belongs to two cells.
struct configuration {
    base::config_version version;
    std::vector<team> teams;
    std::vector<key> keys;
    std::vector<queue> queues;
    std::vector<cell> cells;

    // Each returns null when no entry has that name. The result points into this configuration.
    const team* find_team(const base::team_id& id) const;
    const key* find_key(const base::key_id& id) const;
    const queue* find_queue(const base::queue_name& name) const;
    const cell* find_cell(const base::cell_id& id) const;
};

// A version is immutable, so all its users share one copy.
using configuration_ptr = std::shared_ptr<const configuration>;

// Parses and validates the JSON document of a version. On failure returns every fault as a finding,
// with the JSON pointer of its place.
tl::expected<configuration_ptr, base::findings> parse_configuration(const std::string& document,
                                                                    base::config_version version);

// Applies an RFC 7396 merge patch to a document. The result is not validated: pass it to
// parse_configuration(). A patch that is not an object is rejected with a finding, since it would
// replace the whole document.
tl::expected<std::string, base::findings> apply_patch(const std::string& document,
                                                      const std::string& patch);

// Returns the RFC 7396 merge patch that turns `from` into `to`. Both must be documents of accepted
// versions: a merge patch can't set a field to null, and accepted documents contain no nulls.
std::string difference(const std::string& from, const std::string& to);

}  // namespace cranberrydock::config
