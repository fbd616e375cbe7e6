// Parses a configuration document in two passes: the first reads the fields of each entry, the
// second checks the references between entries. The findings of both passes are reported together.
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/config/json_reader.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cranberrydock::config {
namespace {

using detail::json;
using detail::object_reader;

constexpr double highest_share = 1e6;
constexpr std::int64_t highest_upper_limit = 1'000'000'000;  // slots
constexpr std::int64_t highest_queued = 10'000'000;          // tasks
constexpr std::int64_t highest_attempts = 100;
constexpr std::int64_t highest_deadline_ms = std::int64_t{30} * 24 * 3600 * 1000;

struct policy_word {
    const char* word;
    queue_policy_kind policy;
};

constexpr policy_word policy_words[] = {{"latency", queue_policy_kind::latency},
                                        {"must_finish", queue_policy_kind::must_finish},
                                        {"batch", queue_policy_kind::batch},
                                        {"gang", queue_policy_kind::gang},
                                        {"service", queue_policy_kind::service}};

template <typename List, typename Id, typename Project>
auto find_by_name(const List& list, const Id& id, Project project) -> const
    typename List::value_type* {
    const auto it =
        std::lower_bound(list.begin(), list.end(), id,
                         [&](const auto& entry, const Id& name) { return project(entry) < name; });
    return it != list.end() && project(*it) == id ? &*it : nullptr;
}

// The first pass: reads the fields of each entry.
class document_reader {
public:
    explicit document_reader(base::findings& found) : findings_(found) {}

    configuration read(const json& document) {
        configuration out;
        object_reader top(document, "", findings_);
        read_section(top, "teams", [&](const std::string& name, object_reader& entry) {
            out.teams.push_back(read_team(name, entry));
        });
        read_section(top, "keys", [&](const std::string& name, object_reader& entry) {
            out.keys.push_back(read_key(name, entry));
        });
        read_section(top, "queues", [&](const std::string& name, object_reader& entry) {
            out.queues.push_back(read_queue(name, entry));
        });
        read_section(top, "cells", [&](const std::string& name, object_reader& entry) {
            out.cells.push_back(read_cell(name, entry));
        });
        top.report_unknown_fields();
        return out;
    }

private:
    template <typename ReadEntry>
    void read_section(object_reader& top, const std::string& section, ReadEntry read_entry) {
        const json* const entries = top.member(section);
        if (entries == nullptr) {
            return;
        }
        const object_reader section_reader(*entries, top.pointer_to(section), findings_);
        if (!section_reader.usable()) {
            return;
        }
        for (const auto& it : entries->items()) {
            const std::string pointer = section_reader.pointer_to(it.key());
            if (!detail::is_name(it.key())) {
                findings_.add({pointer, detail::name_rule, json(it.key()).dump(-1, ' ', true), ""});
            }
            object_reader entry(it.value(), pointer, findings_);
            if (entry.usable()) {
                read_entry(it.key(), entry);
                entry.report_unknown_fields();
            }
        }
    }

    static team read_team(const std::string& name, object_reader& entry) {
        team out;
        out.id = base::team_id(name);
        entry.require("home_region", "the region whose cells hold the team's queues");
        entry.require("upper_limit", "the team's highest number of slots in use, fleet-wide");
        out.home_region = base::region_name(entry.name("home_region").value_or(""));
        out.share = entry.positive_number("share", highest_share).value_or(out.share);
        out.upper_limit =
            base::slot_count(entry.integer("upper_limit", {0, highest_upper_limit}).value_or(0));
        return out;
    }

    key read_key(const std::string& name, object_reader& entry) {
        key out;
        out.id = base::key_id(name);
        if (entry.has("team") == entry.has("role")) {
            findings_.add({entry.pointer(), "either team or role",
                           entry.has("team") ? "both" : "neither",
                           "name the team that the key submits for, or role \"operator\""});
        }
        out.team = base::team_id(entry.name("team").value_or(""));
        if (entry.choice("role", {"operator"})) {
            out.role = key_role::operations;
        }
        entry.require("salt", "the key's salt");
        entry.require("digest", "the digest of salt and secret");
        out.salt = entry.hexadecimal("salt", salt_digits).value_or("");
        out.digest = entry.hexadecimal("digest", digest_digits).value_or("");
        out.withdrawn = entry.boolean("withdrawn").value_or(false);
        return out;
    }

    static queue read_queue(const std::string& name, object_reader& entry) {
        queue out;
        out.name = base::queue_name(name);
        entry.require("policy", "the queue's policy");
        std::vector<std::string> words;
        for (const auto& it : policy_words) {
            words.emplace_back(it.word);
        }
        const std::string policy = entry.choice("policy", words).value_or("batch");
        for (const auto& it : policy_words) {
            if (policy == it.word) {
                out.policy = it.policy;
            }
        }
        out.open = entry.boolean("open").value_or(false);
        if (out.open) {
            entry.require("open_team", "the team that work without a key is counted for");
        }
        out.open_team = base::team_id(entry.name("open_team").value_or(""));
        out.max_queued_per_team = static_cast<std::size_t>(
            entry.integer("max_queued_per_team", {1, highest_queued})
                .value_or(static_cast<std::int64_t>(out.max_queued_per_team)));
        out.max_attempts = static_cast<int>(
            entry.integer("max_attempts", {1, highest_attempts}).value_or(out.max_attempts));
        if (const auto n = entry.integer("default_deadline_ms", {1, highest_deadline_ms})) {
            out.default_deadline = base::milliseconds(*n);
        }
        return out;
    }

    static cell read_cell(const std::string& name, object_reader& entry) {
        cell out;
        out.id = base::cell_id(name);
        entry.require("region", "the region of the cell's availability zone");
        entry.require("zone", "the cell's availability zone");
        out.region = base::region_name(entry.name("region").value_or(""));
        out.zone = base::zone_name(entry.name("zone").value_or(""));
        for (const auto& it : entry.names("racks")) {
            out.racks.emplace_back(it);
        }
        return out;
    }

    base::findings& findings_;
};

// The second pass: checks the references between entries. Skips empty names, since the first pass
// has reported them as missing or faulty.
class reference_checker {
public:
    reference_checker(const configuration& checked, base::findings& found)
        : checked_(checked), findings_(found) {}

    void check() {
        for (const auto& it : checked_.teams) {
            check_home(it);
        }
        for (const auto& it : checked_.keys) {
            check_team({"keys", it.id.str(), "team"}, it.team);
        }
        for (const auto& it : checked_.queues) {
            check_team({"queues", it.name.str(), "open_team"}, it.open_team);
        }
        for (std::size_t i = 0; i < checked_.cells.size(); ++i) {
            check_racks(checked_.cells[i]);
            for (std::size_t j = 0; j < i; ++j) {
                check_cells(checked_.cells[i], checked_.cells[j]);
            }
        }
    }

private:
    static std::string json_pointer_of(const std::vector<std::string>& path) {
        std::string out;
        for (const auto& it : path) {
            out = detail::pointer_below(out, it);
        }
        return out;
    }

    void check_home(const team& subject) {
        if (subject.home_region.empty()) {
            return;
        }
        std::vector<std::string> regions;
        for (const auto& it : checked_.cells) {
            regions.push_back(it.region.str());
        }
        if (std::find(regions.begin(), regions.end(), subject.home_region.str()) != regions.end()) {
            return;
        }
        const std::string hint = detail::spelling_hint(subject.home_region.str(), regions);
        findings_.add({json_pointer_of({"teams", subject.id.str(), "home_region"}),
                       "a region that has a cell", "\"" + subject.home_region.str() + "\"",
                       hint.empty() ? "add a cell of that region, or name another" : hint});
    }

    void check_team(const std::vector<std::string>& path, const base::team_id& referenced_team) {
        if (referenced_team.empty() || checked_.find_team(referenced_team) != nullptr) {
            return;
        }
        std::vector<std::string> teams;
        for (const auto& it : checked_.teams) {
            teams.push_back(it.id.str());
        }
        const std::string hint = detail::spelling_hint(referenced_team.str(), teams);
        findings_.add({json_pointer_of(path), "a team of this configuration",
                       "\"" + referenced_team.str() + "\"",
                       hint.empty() ? "add the team, or name another" : hint});
    }

    void check_racks(const cell& subject) {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < subject.racks.size(); ++i) {
            if (!seen.insert(subject.racks[i].str()).second) {
                findings_.add(
                    {json_pointer_of({"cells", subject.id.str(), "racks", std::to_string(i)}),
                     "each rack once", "\"" + subject.racks[i].str() + "\" again", "take it out"});
            }
        }
    }

    // No VM may belong to two cells.
    void check_cells(const cell& subject, const cell& other) {
        if (subject.zone.empty() || subject.zone != other.zone) {
            return;
        }
        if (subject.region != other.region) {
            findings_.add({json_pointer_of({"cells", subject.id.str(), "region"}),
                           "\"" + other.region.str() + "\", as cell \"" + other.id.str() +
                               "\" of the same availability zone",
                           "\"" + subject.region.str() + "\"",
                           "an availability zone lies in one region"});
        }
        if (subject.racks.empty() || other.racks.empty()) {
            findings_.add(
                {json_pointer_of({"cells", subject.id.str(), "zone"}),
                 "an availability zone that no other cell takes whole",
                 "\"" + subject.zone.str() + "\", which cell \"" + other.id.str() + "\" names too",
                 "give each cell of this availability zone its own racks"});
            return;
        }
        for (std::size_t i = 0; i < subject.racks.size(); ++i) {
            if (std::find(other.racks.begin(), other.racks.end(), subject.racks[i]) !=
                other.racks.end()) {
                findings_.add(
                    {json_pointer_of({"cells", subject.id.str(), "racks", std::to_string(i)}),
                     "a rack of no other cell",
                     "\"" + subject.racks[i].str() + "\", which cell \"" + other.id.str() +
                         "\" names too",
                     "take it out of one of the two"});
            }
        }
    }

    const configuration& checked_;
    base::findings& findings_;
};

}  // namespace

const team* configuration::find_team(const base::team_id& id) const {
    return find_by_name(teams, id, [](const team& it) { return it.id; });
}

const key* configuration::find_key(const base::key_id& id) const {
    return find_by_name(keys, id, [](const key& it) { return it.id; });
}

const queue* configuration::find_queue(const base::queue_name& name) const {
    return find_by_name(queues, name, [](const queue& it) { return it.name; });
}

const cell* configuration::find_cell(const base::cell_id& id) const {
    return find_by_name(cells, id, [](const cell& it) { return it.id; });
}

tl::expected<configuration_ptr, base::findings> parse_configuration(const std::string& document,
                                                                    base::config_version version) {
    const auto parsed = detail::parse_json(document, "document");
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    base::findings found;
    configuration out = document_reader(found).read(*parsed);
    reference_checker(out, found).check();
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    out.version = version;
    return std::make_shared<const configuration>(std::move(out));
}

}  // namespace cranberrydock::config
