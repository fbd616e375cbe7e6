// One owned cell on the host's thread.
#include "owned_cell.hpp"

#include <spdlog/spdlog.h>

#include <utility>
#include <variant>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds client_retry_delay{200};
// Reading the demand of every team takes more time than all other work of an idle cell.
constexpr base::milliseconds allowance_period{200};

}  // namespace

owned_cell::owned_cell(const cell_start& start, const cell::cell_settings& settings,
                       net::event_loop& loop, platform::vm_client& vms,
                       platform::table_service& table, const base::clock& clock,
                       base::metrics& metrics, owned_cell_listener& listener)
    : id_(start.cell),
      vms_(vms),
      clock_(clock),
      listener_(listener),
      scheduler_(policy::make_scheduler()),
      machine_(settings, *scheduler_, metrics),
      journal_(start, loop, table, clock, *this),
      allowances_(start, table, clock, *this) {
    journal_.read([this](std::vector<cell::work_record> records) { go_live(std::move(records)); });
}

void owned_cell::go_live(std::vector<cell::work_record> records) {
    spdlog::info("event=cell_live cell={} records={}", id_.str(), records.size());
    live_ = true;
    for (auto& it : std::exchange(queued_events_, {})) {
        handle(it);
    }
    handle(cell::journal_recovered{std::move(records)});
}

void owned_cell::handle(const cell::cell_event& event) {
    if (!live_) {
        if (const auto* submitted = std::get_if<cell::submit>(&event); submitted != nullptr) {
            const base::refusal not_live{base::refusal_reason::cell_without_owner, true,
                                         client_retry_delay,
                                         "the cell's new owner is still reading its journal"};
            listener_.reply({submitted->reply_to, not_live, {}});
            return;
        }
        if (!std::holds_alternative<cell::clock_tick>(event)) {
            queued_events_.push_back(event);
        }
        return;
    }
    if (const auto* rules = std::get_if<cell::rules_changed>(&event); rules != nullptr) {
        rules_ = *rules;
        apply_rules();
        return;
    }
    const bool is_tick = std::holds_alternative<cell::clock_tick>(event);
    if (is_tick && clock_.now() >= next_allowance_tick_) {
        next_allowance_tick_ = clock_.now() + allowance_period;
        allowances_.tick();
    }
    run_decider(event);
}

void owned_cell::apply_rules() {
    if (!live_ || !rules_) {
        return;
    }
    cell::rules_changed effective = *rules_;
    for (auto& it : effective.teams) {
        it.allowance = allowances_.bound(it.team);
    }
    run_decider(effective);
}

void owned_cell::run_decider(const cell::cell_event& event) {
    for (const auto& it : machine_.handle(event, clock_.now())) {
        std::visit([this](const auto& effect) { carry_out(effect); }, it);
    }
}

void owned_cell::carry_out(const cell::command_vm& effect) {
    std::weak_ptr<owned_cell*> self = self_;
    vms_.send(effect.address, effect.command, effect.timeout,
              [self, id = effect.id](platform::vm_result result) {
                  if (const auto cell = self.lock()) {
                      (*cell)->handle(cell::vm_answered{id, std::move(result)});
                  }
              });
}

void owned_cell::carry_out(const cell::append_record& effect) {
    journal_.append(effect.id, effect.record);
}

void owned_cell::carry_out(const cell::reply& effect) {
    listener_.reply(effect);
}

void owned_cell::carry_out(const cell::superseded& effect) {
    listener_.superseded(id_, effect.seen);
}

void owned_cell::carry_out(const cell::drained& /*effect*/) {
    listener_.drained(id_);
}

}  // namespace cranberrydock::daemon
