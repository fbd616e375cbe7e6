// An owned cell's parts of the teams' upper limits.
#include "cell_allowances.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace cranberrydock::daemon {
namespace {

constexpr std::size_t rows_per_page = 500;

cell::allowance_settings make_allowance_settings(const cell_start& start) {
    cell::allowance_settings out;
    out.cell = start.cell;
    out.guard = start.guard;
    return out;
}

}  // namespace

cell_allowances::cell_allowances(const cell_start& start, platform::table_service& table,
                                 const base::clock& clock, allowance_client& client)
    : table_(table), clock_(clock), client_(client), manager_(make_allowance_settings(start)) {}

void cell_allowances::set_limits(std::vector<cell::team_limit> limits) {
    limits_ = limits;
    handle(cell::limits_changed{std::move(limits)});
}

void cell_allowances::tick() {
    handle(cell::tick{});
}

cell::demand_changed cell_allowances::demand() const {
    const std::optional<base::slot_count> without_report = client_.unreported_slots();
    const auto loads = client_.loads();
    cell::demand_changed result;
    for (const auto& limit : limits_) {
        cell::team_demand entry;
        entry.team = limit.team;
        // Assumes that the VMs without a report are full of the team's tasks.
        entry.unreported = std::min(limit.upper_limit, without_report.value_or(limit.upper_limit));
        for (const auto& it : loads) {
            if (it.team == limit.team) {
                entry.running = it.running;
                entry.queued = it.queued;
            }
        }
        result.teams.push_back(std::move(entry));
    }
    return result;
}

std::vector<base::slot_count> cell_allowances::bounds() const {
    std::vector<base::slot_count> result;
    for (const auto& it : limits_) {
        result.push_back(manager_.start_limit(it.team));
    }
    return result;
}

void cell_allowances::handle(const cell::allowance_event& event) {
    const auto previous_bounds = bounds();
    // Updates the demand before each event: a decision on an outdated number of running slots would
    // give back slots that are in use.
    auto effects = manager_.handle(demand(), clock_.now());
    auto event_effects = manager_.handle(event, clock_.now());
    std::move(event_effects.begin(), event_effects.end(), std::back_inserter(effects));
    if (bounds() != previous_bounds) {
        client_.on_bounds_changed();
    }
    for (const auto& it : effects) {
        std::visit([this](const auto& effect) { carry_out(effect); }, it);
    }
}

void cell_allowances::carry_out(const cell::scan_allowances& effect) {
    scan_page(effect.operation, {}, {});
}

void cell_allowances::scan_page(cell::operation_id operation, std::vector<platform::row> rows,
                                const platform::row_key& after) {
    std::weak_ptr<cell_allowances*> self = self_;
    table_.scan(
        platform::row_key(cell::allowance_prefix), after, rows_per_page,
        [self, operation, rows = std::move(rows)](
            tl::expected<std::vector<platform::row>, platform::store_error> page) mutable {
            const auto allowances = self.lock();
            if (!allowances) {
                return;
            }
            if (!page) {
                (*allowances)
                    ->handle(cell::allowances_scanned{operation, tl::unexpected(page.error())});
                return;
            }
            rows.insert(rows.end(), page->begin(), page->end());
            if (page->size() == rows_per_page) {
                (*allowances)->scan_page(operation, std::move(rows), page->back().key);
                return;
            }
            (*allowances)->handle(cell::allowances_scanned{operation, std::move(rows)});
        });
}

void cell_allowances::carry_out(const cell::commit& effect) {
    std::weak_ptr<cell_allowances*> self = self_;
    table_.commit(effect.transaction, [self, operation = effect.operation](const auto& result) {
        if (const auto allowances = self.lock()) {
            (*allowances)->handle(cell::commit_finished{operation, result});
        }
    });
}

void cell_allowances::carry_out(const cell::allowance_increased& /*effect*/) {}

}  // namespace cranberrydock::daemon
