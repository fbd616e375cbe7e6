// Encodes a delta as a CBOR map without the members that have not changed.
#include <cranberrydock/mesh/codec.hpp>
#include <cranberrydock/mesh/state_delta.hpp>

#include "cbor.hpp"
#include "object_reader.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// Member names are short because deltas are most of the bytes of an idle mesh.
const char* const version_key = "v";
const char* const store_key = "s";
const char* const ready_key = "r";
const char* const cells_key = "c";    // all owned cells, if any changed
const char* const epochs_key = "e";   // parallel to the cells
const char* const names_key = "n";    // new teams, in the order of their numbers
const char* const numbers_key = "t";  // numbers of the teams whose usage changed
const char* const running_key = "u";  // parallel to the numbers
const char* const queued_key = "q";   // parallel to the numbers
const char* const removed_key = "g";  // numbers of the teams that no longer have usage

bool equal_cells(const std::vector<owned_cell>& a, const std::vector<owned_cell>& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const owned_cell& x, const owned_cell& y) {
                          return x.cell == y.cell && x.epoch == y.epoch;
                      });
}

void write_cells(const std::vector<owned_cell>& cells, json& out) {
    json names = json::array();
    json epochs = json::array();
    for (const auto& it : cells) {
        names.push_back(it.cell.str());
        epochs.push_back(it.epoch.value());
    }
    out[cells_key] = std::move(names);
    out[epochs_key] = std::move(epochs);
}

// The lists of one usage delta. `numbers`, `running` and `queued` are parallel.
struct usage_lists {
    json names = json::array();
    json numbers = json::array();
    json running = json::array();
    json queued = json::array();
    json removed = json::array();

    void move_into(json& out) {
        move_unless_empty(names, names_key, out);
        move_unless_empty(numbers, numbers_key, out);
        move_unless_empty(running, running_key, out);
        move_unless_empty(queued, queued_key, out);
        move_unless_empty(removed, removed_key, out);
    }

private:
    static void move_unless_empty(json& list, const char* key, json& out) {
        if (!list.empty()) {
            out[key] = std::move(list);
        }
    }
};

using number = base::strong_number<struct number_tag>;

}  // namespace

std::string state_delta_encoder::encode(const heartbeat& state, bool with_usage) {
    json out = {{version_key, state.version.value()},
                {store_key, state.store_reachable},
                {ready_key, state.ready}};
    if (++states_ == 1 || !equal_cells(owned_, state.owned)) {
        write_cells(state.owned, out);
        owned_ = state.owned;
    }
    if (with_usage) {
        write_usage(state.usage, out);
    }
    return write_cbor(out);
}

void state_delta_encoder::write_usage(const std::vector<team_usage>& usage, json& out) {
    usage_lists lists;
    for (const auto& it : usage) {
        const auto [known, fresh] = teams_.try_emplace(it.team);
        numbered_usage& usage_entry = known->second;
        if (fresh) {
            usage_entry.number = static_cast<std::int64_t>(teams_.size()) - 1;
            lists.names.push_back(it.team.str());
        }
        usage_entry.state = states_;
        if (usage_entry.present && usage_entry.running == it.running &&
            usage_entry.queued == it.queued) {
            continue;
        }
        usage_entry = {usage_entry.number, true, states_, it.running, it.queued};
        lists.numbers.push_back(usage_entry.number);
        lists.running.push_back(it.running.value());
        lists.queued.push_back(it.queued.value());
    }
    for (auto& it : teams_) {
        if (it.second.present && it.second.state != states_) {
            it.second.present = false;
            lists.removed.push_back(it.second.number);
        }
    }
    lists.move_into(out);
}

tl::expected<heartbeat, base::findings> state_delta_decoder::decode(const std::string& bytes) {
    auto document = read_cbor(bytes);
    if (!document) {
        return tl::unexpected(std::move(document.error()));
    }
    base::findings faults;
    object_reader in(*document, "/state", faults);
    heartbeat out;
    out.version = in.quantity<base::config_version>(version_key);
    out.store_reachable = in.flag(store_key);
    out.ready = in.flag(ready_key);
    read_cells(in);
    read_usage(in);
    read_removed(in);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    out.owned = owned_;
    for (const auto& it : teams_) {
        if (it.present) {
            out.usage.push_back({it.team, it.running, it.queued});
        }
    }
    return out;
}

void state_delta_decoder::read_cells(object_reader& in) {
    if (!in.has(cells_key)) {
        return;
    }
    const auto cells = in.texts<base::cell_id>(cells_key);
    const auto epochs = in.quantities<base::epoch>(epochs_key);
    if (cells.size() != epochs.size()) {
        in.fault(epochs_key, "as many as cells", std::to_string(epochs.size()));
        return;
    }
    owned_.clear();
    for (std::size_t i = 0; i < cells.size(); ++i) {
        owned_.push_back({cells[i], epochs[i]});
    }
}

void state_delta_decoder::read_usage(object_reader& in) {
    if (in.has(names_key)) {
        for (auto& it : in.texts<base::team_id>(names_key)) {
            teams_.push_back({std::move(it), false, {}, {}});
        }
    }
    if (teams_.size() > codec_limits::list_entries) {
        in.fault(names_key, "a bounded number of teams", "more");
    }
    if (!in.has(numbers_key)) {
        return;
    }
    const auto numbers = in.quantities<number>(numbers_key);
    const auto running = in.quantities<base::slot_count>(running_key);
    const auto queued = in.quantities<base::slot_count>(queued_key);
    if (numbers.size() != running.size() || numbers.size() != queued.size()) {
        in.fault(numbers_key, "lists of equal length", "different lengths");
        return;
    }
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        if (known_team* const team = team_of(numbers[i].value(), numbers_key, in)) {
            team->present = true;
            team->running = running[i];
            team->queued = queued[i];
        }
    }
}

void state_delta_decoder::read_removed(object_reader& in) {
    if (!in.has(removed_key)) {
        return;
    }
    for (const auto it : in.quantities<number>(removed_key)) {
        if (known_team* const team = team_of(it.value(), removed_key, in)) {
            team->present = false;
        }
    }
}

state_delta_decoder::known_team* state_delta_decoder::team_of(std::int64_t number, const char* key,
                                                              object_reader& in) {
    if (static_cast<std::uint64_t>(number) >= teams_.size()) {
        in.fault(key, "the number of a team that was named before", "another number");
        return nullptr;
    }
    return &teams_[static_cast<std::size_t>(number)];
}

}  // namespace cranberrydock::mesh::detail
