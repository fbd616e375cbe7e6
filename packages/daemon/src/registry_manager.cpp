// This daemon's part in the assignment of cells to owners.
#include "registry_manager.hpp"

#include <cranberrydock/cell/registry_rows.hpp>

#include <spdlog/spdlog.h>

#include <utility>
#include <variant>

namespace cranberrydock::daemon {
namespace {

constexpr std::size_t rows_per_page = 500;

mesh::owned_cell to_mesh(const cell::cell_epoch& owned) {
    return {owned.cell, owned.epoch};
}

}  // namespace

registry_manager::registry_manager(const cell::ownership_settings& settings,
                                   platform::table_service& table, peer_sender& peers,
                                   const base::clock& clock, base::metrics& metrics,
                                   registry_listener& listener)
    : ownership_(settings),
      table_(table),
      peers_(peers),
      clock_(clock),
      metrics_(metrics),
      listener_(listener) {}

void registry_manager::tick() {
    handle(cell::tick{});
}

void registry_manager::set_cells(const config::configuration& current) {
    cell::cells_configured configured;
    for (const auto& it : current.cells) {
        configured.cells.push_back({it.id, it.region, it.zone});
    }
    handle(configured);
}

void registry_manager::set_daemon_vms(std::vector<base::vm_id> live) {
    handle(cell::daemon_vms_listed{std::move(live)});
}

void registry_manager::on_peer_alive(const base::daemon_id& peer) {
    handle(cell::peer_alive{peer});
}

void registry_manager::on_hold_off_request(const base::daemon_id& from,
                                           const mesh::hold_off_request& request) {
    cell::hold_off_requested event;
    event.requester = from;
    event.call_id = request.call.value();
    for (const auto& it : request.cells) {
        event.cells.push_back({it.cell, it.epoch});
    }
    handle(event);
}

void registry_manager::on_hold_off_answer(const base::daemon_id& from,
                                          const mesh::hold_off_answer& answer) {
    handle(cell::hold_off_answered{from, cell::operation_id(answer.call.value()), answer.granted,
                                   answer.duration});
}

void registry_manager::on_cells_offered() {
    handle(cell::registry_change_reported{});
}

void registry_manager::on_drained(const base::cell_id& cell) {
    handle(cell::cell_drained{cell});
}

void registry_manager::release_cells() {
    handle(cell::stop_requested{true});
}

void registry_manager::stop() {
    handle(cell::stop_requested{false});
}

base::time_point registry_manager::evidence_until(const base::cell_id& cell) const {
    return ownership_.placement_valid_until(cell);
}

void registry_manager::handle(const cell::ownership_event& event) {
    for (const auto& it : ownership_.handle(event, clock_.now())) {
        std::visit([this](const auto& effect) { carry_out(effect); }, it);
    }
}

void registry_manager::carry_out(const cell::scan_registry& effect) {
    scan_page(effect.operation, {}, platform::row_key(cell::daemon_prefix), {});
}

// Reads the rows of the daemons page by page, then the rows of the cells.
void registry_manager::scan_page(cell::operation_id operation, std::vector<platform::row> rows,
                                 const platform::row_key& prefix, const platform::row_key& after) {
    std::weak_ptr<registry_manager*> self = self_;
    table_.scan(
        prefix, after, rows_per_page,
        [self, operation, prefix, rows = std::move(rows)](
            tl::expected<std::vector<platform::row>, platform::store_error> page) mutable {
            const auto manager = self.lock();
            if (!manager) {
                return;
            }
            if (!page) {
                (*manager)->handle(cell::registry_scanned{operation, tl::unexpected(page.error())});
                return;
            }
            rows.insert(rows.end(), page->begin(), page->end());
            if (page->size() == rows_per_page) {
                (*manager)->scan_page(operation, std::move(rows), prefix, page->back().key);
                return;
            }
            if (prefix.str() == cell::daemon_prefix) {
                (*manager)->scan_page(operation, std::move(rows),
                                      platform::row_key(cell::cell_prefix), {});
                return;
            }
            (*manager)->handle(cell::registry_scanned{operation, std::move(rows)});
        });
}

void registry_manager::carry_out(const cell::commit& effect) {
    std::weak_ptr<registry_manager*> self = self_;
    table_.commit(effect.transaction, [self, operation = effect.operation](const auto& result) {
        if (const auto manager = self.lock()) {
            (*manager)->handle(cell::commit_finished{operation, result});
        }
    });
}

void registry_manager::carry_out(const cell::request_hold_off& effect) {
    mesh::hold_off_request query;
    query.call = mesh::call_id(effect.operation.value());
    for (const auto& it : effect.cells) {
        query.cells.push_back(to_mesh(it));
    }
    metrics_.count("cranberrydock_silence_asked_total", "");
    for (const auto& recipient : effect.recipients) {
        peers_.send(recipient, query);
    }
}

void registry_manager::carry_out(const cell::answer_hold_off& effect) {
    peers_.send(effect.requester, mesh::hold_off_answer{mesh::call_id(effect.call_id),
                                                        effect.granted, effect.duration});
}

void registry_manager::carry_out(const cell::cell_gained& effect) {
    spdlog::info("event=cell_gained cell={} epoch={}", effect.cell.str(), effect.epoch.value());
    metrics_.count("cranberrydock_cells_gained_total", "");
    listener_.on_gained({effect.cell, effect.epoch, effect.guard});
}

void registry_manager::carry_out(const cell::cell_suspended& effect) {
    spdlog::warn("event=cell_suspended cell={} why=\"{}\"", effect.cell.str(), effect.reason);
    metrics_.count("cranberrydock_cells_suspended_total", "");
}

void registry_manager::carry_out(const cell::cell_resumed& effect) {
    spdlog::info("event=cell_resumed cell={}", effect.cell.str());
}

void registry_manager::carry_out(const cell::cell_lost& effect) {
    spdlog::warn("event=cell_lost cell={} epoch={} why=\"{}\"", effect.cell.str(),
                 effect.epoch.value(), effect.reason);
    metrics_.count("cranberrydock_cells_lost_total", "");
    listener_.on_lost(effect.cell);
}

void registry_manager::carry_out(const cell::drain_cell& effect) {
    listener_.on_drain_requested(effect.cell);
}

void registry_manager::carry_out(const cell::routes_changed& effect) {
    listener_.on_routes(effect);
}

void registry_manager::carry_out(const cell::stop_finished& /*effect*/) {
    listener_.on_stopped();
}

}  // namespace cranberrydock::daemon
