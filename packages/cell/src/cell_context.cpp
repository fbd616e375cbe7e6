// The state that the stages of one cell's decider share.
#include "cell_context.hpp"

#include <cranberrydock/base/rendezvous.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string_view>
#include <utility>

namespace cranberrydock::cell {
namespace {

constexpr int percent = 100;
constexpr int default_max_attempts = 5;
constexpr std::size_t max_broken_promises_kept = 1'000;
constexpr char origin_separator = '.';

base::duration with_drift(base::milliseconds length, int drift_percent) {
    return base::duration(length) * (percent + drift_percent) / percent;
}

bool read_number(std::string_view text, std::int64_t& out) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
    return read.ec == std::errc() && read.ptr == text.data() + text.size();
}

}  // namespace

cell_context::cell_context(cell_settings settings, policy::scheduler& scheduler,
                           base::metrics& metrics)
    : settings(std::move(settings)),
      scheduler(scheduler),
      metrics(metrics),
      random(base::rendezvous_weight(this->settings.cell.str(),
                                     std::to_string(this->settings.epoch.value()))) {}

policy::retry_budget& cell_context::budget_of(const base::team_id& team) {
    policy::retry_settings rules;
    // The queue sets the limit of attempts, which is checked before.
    rules.max_attempts = std::numeric_limits<int>::max();
    rules.initial_backoff = settings.retry_backoff;
    rules.max_backoff = settings.max_backoff;
    return budgets_.try_emplace(team, rules).first->second;
}

command_id cell_context::command(const vm_state& vm, platform::vm_command_body body,
                                 base::milliseconds timeout, pending_command pending) {
    const command_id id(next_command_++);
    pending.sent = now;
    commands[id] = std::move(pending);
    out.emplace_back(command_vm{id,
                                vm.listed.id,
                                vm.listed.address,
                                {settings.cell, settings.epoch, std::move(body)},
                                timeout});
    return id;
}

void cell_context::record(work_record content, pending_record pending) {
    const record_id id(next_record_++);
    records[id] = std::move(pending);
    out.emplace_back(append_record{id, std::move(content)});
}

void cell_context::answer(reply_id caller, const base::work_outcome& outcome,
                          const std::vector<base::trace_step>& trace) {
    out.emplace_back(reply{caller, outcome, trace});
}

void cell_context::trace(work_state& work, const std::string& stage, const std::string& location,
                         const std::string& note, base::duration elapsed) const {
    work.trace.push_back({stage, location, now - work.accepted, elapsed, note});
}

void cell_context::publish(const vm_state& vm) {
    scheduler.set_vm({vm.listed.id, vm.listed.rack, vm.capacity, scheduler_state(vm)});
}

void cell_context::publish_teams() {
    const base::slot_count unreported = unreported_slots();
    published_unreported_ = unreported;
    std::vector<policy::team_settings> effective = teams;
    for (auto& it : effective) {
        it.allowance = std::max(it.allowance - unreported, base::slot_count{0});
    }
    scheduler.set_teams(effective);
}

void cell_context::publish_teams_if_changed() {
    if (unreported_slots() != published_unreported_) {
        publish_teams();
    }
}

base::slot_count cell_context::unreported_slots() const {
    base::slot_count out{0};
    if (now >= previous_owners_lease_expiry()) {
        return out;
    }
    for (const auto& it : vms.all()) {
        out += it.second.reported ? base::slot_count{0} : it.second.capacity.slots;
    }
    return out;
}

void cell_context::promise_broken(const std::string& promise, const std::string& evidence) {
    metrics.count("cranberrydock_promises_broken_total", "promise=\"" + promise + "\"");
    spdlog::error("event=promise_broken promise={} cell={} epoch={} evidence=\"{}\"", promise,
                  settings.cell.str(), settings.epoch.value(), evidence);
    if (broken.size() < max_broken_promises_kept) {
        broken.push_back({promise, evidence});
    }
}

base::time_point cell_context::lease_expiry_after(const vm_state& vm) const {
    return vm.received + with_drift(settings.vm_lease, settings.drift_percent);
}

base::time_point cell_context::previous_owners_lease_expiry() const {
    if (settings.epoch <= base::epoch(1)) {
        return started;  // there were no previous owners
    }
    return started + settings.unproven_renewal +
           with_drift(settings.vm_lease, settings.drift_percent);
}

platform::vm_time cell_context::lease_end(const vm_state& vm) const {
    return vm.vm_now + platform::vm_time(base::duration(settings.vm_lease).count());
}

int cell_context::max_attempts(const base::queue_name& queue) const {
    for (const auto& it : limits) {
        if (it.queue == queue) {
            return it.max_attempts;
        }
    }
    return default_max_attempts;
}

base::attempt_id cell_context::next_attempt_id() {
    return name_attempt(settings.cell, {settings.epoch, next_attempt++});
}

base::attempt_id name_attempt(const base::cell_id& cell, attempt_origin origin) {
    return base::attempt_id(cell.str() + origin_separator + std::to_string(origin.epoch.value()) +
                            origin_separator + std::to_string(origin.number));
}

std::optional<attempt_origin> origin_of(const base::attempt_id& attempt,
                                        const base::cell_id& cell) {
    const std::string_view text = attempt.str();
    const std::size_t last = text.rfind(origin_separator);
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind(origin_separator, last - 1);
    if (middle == std::string_view::npos || text.substr(0, middle) != cell.str()) {
        return std::nullopt;
    }
    std::int64_t epoch = 0;
    std::int64_t number = 0;
    if (!read_number(text.substr(middle + 1, last - middle - 1), epoch) ||
        !read_number(text.substr(last + 1), number)) {
        return std::nullopt;
    }
    return attempt_origin{base::epoch(epoch), number};
}

}  // namespace cranberrydock::cell
