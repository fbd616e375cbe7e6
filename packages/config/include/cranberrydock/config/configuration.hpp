// One numbered version of the cluster's configuration, read and checked as a whole.
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
    double share = 1.0;            // weight when the fleet is full; greater than 0
    base::slot_count upper_limit;  // slots in use over the whole fleet, never exceeded
};

// Lengths of a key's salt and digest (SHA-256) in hexadecimal digits.
constexpr std::size_t salt_digits = 32;
constexpr std::size_t digest_digits = 64;

// What a key may do: submit work for its team, or operate the cluster.
enum class key_role { submitter, operations };

struct key {
    base::key_id id;
    base::team_id team;  // of a submitter's key
    key_role role = key_role::submitter;
    std::string salt;    // hexadecimal
    std::string digest;  // hexadecimal, of salt and secret
    bool withdrawn = false;
};

enum class queue_policy_kind { latency, must_finish, batch, gang, service };

struct queue {
    base::queue_name name;
    queue_policy_kind policy = queue_policy_kind::batch;
    bool open = false;  // takes work without a key, for the team `open_team`
    base::team_id open_team;
    std::size_t max_queued_per_team = 10'000;  // tasks
    int max_attempts = 5;
    std::optional<base::milliseconds> default_deadline;
};

// Which VMs make up a cell: those of the zone, or of the named racks of the zone.
struct cell {
    base::cell_id id;
    base::region_name region;
    base::zone_name zone;
    std::vector<base::rack_name> racks;  // empty: all racks
};

// Invariant: each list is sorted by name and names are unique within it; every team and region that
// an entry names exists; no two cells claim the same VM. parse_configuration() makes no other.
struct configuration {
    base::config_version version;
    std::vector<team> teams;
    std::vector<key> keys;
    std::vector<queue> queues;
    std::vector<cell> cells;

    // Null when there is none of that name.
    const team* find_team(const base::team_id& id) const;
    const key* find_key(const base::key_id& id) const;
    const queue* find_queue(const base::queue_name& name) const;
    const cell* find_cell(const base::cell_id& id) const;
};

// Versions are immutable and shared by everything that works under them.
using configuration_ptr = std::shared_ptr<const configuration>;

// Reads a version's JSON document. Every fault is a finding with its JSON pointer.
tl::expected<configuration_ptr, base::findings> parse_configuration(const std::string& document,
                                                                    base::config_version version);

// Applies an RFC 7396 merge patch to a document; the result still has to be parsed. A patch that is
// not an object is a finding, since it would replace the whole document.
tl::expected<std::string, base::findings> apply_patch(const std::string& document,
                                                      const std::string& patch);

// The merge patch that leads from one document to the other. Both are documents of accepted
// versions; a merge patch can't write nulls, which those never hold.
std::string difference(const std::string& from, const std::string& to);

}  // namespace cranberrydock::config
