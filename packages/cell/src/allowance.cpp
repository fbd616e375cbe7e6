// Divides a limit among cells.
#include <cranberrydock/cell/allowance.hpp>

#include "json_fields.hpp"

#include <algorithm>
#include <cstdint>

namespace cranberrydock::cell {

namespace {

using base::slot_count;

// The max-min fair level: cells that need less keep their demand, and every other cell gets this
// many slots.
slot_count fair_level(const allowance_row& row, slot_count upper_limit,
                      const allowance_demand& own) {
    std::vector<std::int64_t> demands = {own.wanted.value()};
    for (const auto& it : row.parts) {
        if (it.cell != own.cell) {
            demands.push_back((it.slots + it.unmet).value());
        }
    }
    std::sort(demands.begin(), demands.end());
    std::int64_t remaining = upper_limit.value();
    auto cells = static_cast<std::int64_t>(demands.size());
    for (const auto demand : demands) {
        if (demand * cells > remaining) {
            break;
        }
        remaining -= demand;
        --cells;
    }
    return slot_count(cells > 0 ? remaining / cells : upper_limit.value());
}

// The fair level, if another cell lacks slots and holds less than that level. No cell is entitled
// to more then. Slots that rounding leaves over stay with the cells that hold them.
std::optional<slot_count> contended_level(const allowance_row& row, slot_count upper_limit,
                                          const allowance_demand& own) {
    const auto level = fair_level(row, upper_limit, own);
    const bool contended = std::any_of(row.parts.begin(), row.parts.end(), [&](const auto& it) {
        return it.cell != own.cell && it.unmet > slot_count(0) && it.slots < level;
    });
    return contended ? std::make_optional(level) : std::nullopt;
}

// Whether the stated shortage has changed enough to justify a write.
bool unmet_differs(slot_count before, slot_count now) {
    const bool any_before = before > slot_count(0);
    const bool any_now = now > slot_count(0);
    return any_before != any_now || now.value() > 2 * before.value() ||
           before.value() > 2 * now.value();
}

void set_part(allowance_row& row, const cell_part& part) {
    auto& parts = row.parts;
    parts.erase(std::remove_if(parts.begin(), parts.end(),
                               [&](const auto& it) { return it.cell == part.cell; }),
                parts.end());
    if (part.slots > slot_count(0) || part.unmet > slot_count(0)) {
        parts.push_back(part);
    }
}

}  // namespace

platform::row_key allowance_row_key(const base::team_id& team) {
    return platform::row_key(allowance_prefix + team.str());
}

std::string encode(const allowance_row& row) {
    auto parts = nlohmann::json::array();
    for (const auto& it : row.parts) {
        parts.push_back(
            {{"cell", it.cell.str()}, {"slots", it.slots.value()}, {"unmet", it.unmet.value()}});
    }
    const nlohmann::json object = {{"team", row.team.str()}, {"parts", std::move(parts)}};
    return object.dump();
}

tl::expected<allowance_row, base::findings> decode_allowance(const std::string& text) {
    base::findings faults;
    const auto object = detail::parse_object(text, faults);
    detail::json_fields fields(object, "", faults);
    allowance_row row;
    row.team = fields.id<base::team_id>("team");
    int index = 0;
    for (const auto& it : fields.list("parts")) {
        const auto place = fields.place_of("parts") + "/" + std::to_string(index++);
        detail::json_fields part(it, place, faults);
        cell_part decoded;
        decoded.cell = part.id<base::cell_id>("cell");
        decoded.slots = part.count<slot_count>("slots");
        decoded.unmet = part.count<slot_count>("unmet");
        if (decoded.slots < slot_count(0) || decoded.unmet < slot_count(0)) {
            faults.add({place, "a count of at least 0", it.dump(), ""});
        }
        row.parts.push_back(std::move(decoded));
    }
    if (!faults.empty()) {
        return tl::make_unexpected(faults);
    }
    return row;
}

slot_count sum_of(const allowance_row& row) {
    slot_count result{0};
    for (const auto& it : row.parts) {
        result += it.slots;
    }
    return result;
}

cell_part part_of(const allowance_row& row, const base::cell_id& cell) {
    for (const auto& it : row.parts) {
        if (it.cell == cell) {
            return it;
        }
    }
    return {cell, slot_count(0), slot_count(0)};
}

slot_count start_bound(const allowance_row& row, slot_count upper_limit,
                       const allowance_demand& own) {
    if (sum_of(row) > upper_limit) {
        return slot_count(0);
    }
    const auto part = part_of(row, own.cell).slots;
    const auto level = contended_level(row, upper_limit, own);
    return level ? std::min(part, *level) : part;
}

std::optional<allowance_row> next_row(const allowance_row& current, slot_count upper_limit,
                                      const allowance_demand& own) {
    const auto part = part_of(current, own.cell);
    const auto sum = sum_of(current);
    const auto kept = std::min(own.in_use, part.slots);
    auto target = part.slots;
    if (sum > upper_limit) {
        target -= sum - upper_limit;
    } else {
        const auto level = contended_level(current, upper_limit, own);
        const auto desired =
            level ? std::min(own.wanted, *level) : std::max(own.wanted, own.reserve);
        target = std::min(desired, upper_limit - (sum - part.slots));
    }
    target = std::max(target, kept);
    const auto unmet = std::max(slot_count(0), own.wanted - target);
    if (target == part.slots && !unmet_differs(part.unmet, unmet)) {
        return std::nullopt;
    }
    auto result = current;
    set_part(result, {own.cell, target, unmet});
    return result;
}

}  // namespace cranberrydock::cell
