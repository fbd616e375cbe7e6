// The owners of a simulated cell, with their commands to VMs and their journal.
#include "cell_world_parts.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::standins {

using namespace detail;

void cell_world::begin_owner() {
    if (store_down_) {
        succeed_later(takeover_delay);
        return;
    }
    const auto written = table_.commit({{}, {{guard_key, std::to_string(owners_.size())}}});
    const platform::row_condition guard{guard_key, written->versions.front()};
    const base::epoch epoch(static_cast<std::int64_t>(owners_.size()) + 1);
    owners_.push_back(std::make_unique<owner>(epoch, guard, metrics_));
    owner& one = *owners_.back();
    one.evidence_until = now_ + evidence_length;
    tick(one);
    read_journal(one);
}

void cell_world::read_journal(owner& one) {
    after(draw(message_delay), [this, &one] {
        when_awake(one, [this, &one] {
            if (store_down_) {
                read_journal(one);
                return;
            }
            std::vector<cell::work_record> records;
            for (const auto& it : table_.scan(cell::journal_prefix(cell_name).str())) {
                const auto some = cell::decode_records(it.value);
                records.insert(records.end(), some->begin(), some->end());
            }
            one.live = true;
            deliver(one, rules());
            deliver(one, cell::vms_listed{members()});
            deliver(one, cell::evidence_extended{one.evidence_until});
            deliver(one, cell::recovered{std::move(records)});
        });
    });
}

void cell_world::tick(owner& one) {
    if (!one.alive) {
        return;
    }
    after(tick_period, [this, &one] { tick(one); });
    if (one.frozen_until) {
        return;
    }
    if (one.rightful) {
        one.evidence_until = now_ + evidence_length;
        deliver(one, cell::evidence_extended{one.evidence_until});
    }
    deliver(one, rules());
    deliver(one, cell::clock_tick{});
    write(one, one.writer.tick(now_));
}

void cell_world::deliver(owner& one, const cell::cell_event& event) {
    when_awake(one, [this, &one, event] {
        if (one.live) {
            carry_out(one, one.machine.handle(event, now_));
        }
    });
}

// A process that stands still deals later with what came meanwhile; a dead one never.
void cell_world::when_awake(owner& one, action what) {
    if (!one.alive) {
        return;
    }
    if (one.frozen_until) {
        one.asleep.push_back(std::move(what));
        return;
    }
    what();
}

void cell_world::carry_out(owner& one, const std::vector<cell::cell_effect>& effects) {
    for (const auto& it : effects) {
        std::visit([this, &one](const auto& effect) { carry_out(one, effect); }, it);
    }
}

void cell_world::carry_out(owner& one, const cell::command_vm& effect) {
    const std::size_t vm =
        static_cast<std::size_t>(std::stoul(effect.vm.str().substr(std::string("vm-").size())));
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, &one, id = effect.id, answered](const platform::vm_result& result) {
        if (!std::exchange(*answered, true)) {
            deliver(one, cell::vm_answered{id, result});
        }
    };
    after(effect.timeout, [answer] { answer(tl::unexpected(platform::vm_error::answer_lost)); });
    const bool lost = commands_lossy_ && chance(lossy_permille);
    if (lost) {
        if (chance(500)) {
            after(draw(message_delay),
                  [answer] { answer(tl::unexpected(platform::vm_error::not_sent)); });
        }
        return;
    }
    const bool late = commands_lossy_ && chance(late_permille);
    after(draw(late ? very_late : message_delay), [this, vm, command = effect.command, answer] {
        arrive(vm, [this, vm, command, answer] {
            const auto* const start = std::get_if<platform::start_command>(&command.body);
            const std::string task = start == nullptr ? "" : start->task.str();
            const base::job_id job(task.substr(0, task.find('/')));
            vms_[vm]->handle(command, now_,
                             [this, vm, job, answer](const platform::vm_reply& reply) {
                                 if (!job.empty() && reply.verdict == platform::vm_verdict::done) {
                                     started_jobs_.insert(job);
                                 }
                                 const bool swallowed =
                                     silent_[vm] || (commands_lossy_ && chance(lossy_permille));
                                 if (!swallowed) {
                                     after(draw(message_delay), [answer, reply] { answer(reply); });
                                 }
                             });
        });
    });
}

void cell_world::arrive(std::size_t vm, action command) {
    if (frozen_[vm]) {
        arrived_[vm].push_back(std::move(command));
        return;
    }
    command();
}

void cell_world::carry_out(owner& one, const cell::append_record& effect) {
    write(one, one.writer.append(effect.id, effect.record, now_));
}

void cell_world::write(owner& one, const std::vector<cell::journal_effect>& effects) {
    for (const auto& it : effects) {
        if (const auto* const wanted = std::get_if<cell::journal_commit>(&it)) {
            commit(one, wanted->what);
        } else if (const auto* const read = std::get_if<cell::journal_read>(&it)) {
            after(draw(message_delay), [this, &one, key = read->key] {
                tl::expected<std::optional<platform::row>, platform::store_error> result;
                if (store_down_) {
                    result = tl::unexpected(platform::store_error::unavailable);
                } else if (const auto* const found = table_.find(key)) {
                    result = std::optional(*found);
                }
                when_awake(
                    one, [this, &one, result] { write(one, one.writer.read_back(result, now_)); });
            });
        } else if (const auto* const durable = std::get_if<cell::records_durable>(&it)) {
            for (const auto& id : durable->records) {
                deliver(one, cell::record_durable{id});
            }
        } else if (const auto* const failed = std::get_if<cell::records_failed>(&it)) {
            for (const auto& id : failed->records) {
                deliver(one, cell::record_failed{id, failed->may_be_written});
            }
        }
    }
}

void cell_world::commit(owner& one, const platform::transaction& what) {
    const bool lost = store_lossy_ && chance(store_loss_permille);
    const bool applied = !lost || chance(500);
    after(draw(message_delay), [this, &one, what, lost, applied] {
        tl::expected<platform::commit_result, platform::store_error> result =
            tl::unexpected(platform::store_error::unavailable);
        if (!store_down_ && applied) {
            result = table_.commit(what);
        }
        if (lost) {
            result = tl::unexpected(platform::store_error::answer_lost);
        }
        after(draw(message_delay), [this, &one, result] {
            when_awake(one,
                       [this, &one, result] { write(one, one.writer.committed(result, now_)); });
        });
    });
}

void cell_world::carry_out(owner& /*one*/, const cell::reply& effect) {
    caller& to = *callers_.at(static_cast<std::size_t>(effect.to.value()));
    after(draw(message_delay),
          [this, &to, outcome = effect.outcome] { take_outcome(to, outcome); });
}

void cell_world::carry_out(owner& one, const cell::superseded& effect) {
    if (one.rightful && effect.seen >= one.epoch) {
        breach("the rightful owner of epoch " + std::to_string(one.epoch.value()) +
               " was refused for epoch " + std::to_string(effect.seen.value()));
    }
}

void cell_world::carry_out(owner& one, const cell::drained& /*effect*/) {
    one.alive = false;
    succeed_later(message_delay);
}

void cell_world::end_owner(owner& one) {
    one.rightful = false;
    const base::duration proven = std::max(one.evidence_until - now_, base::duration{0});
    succeed_later(proven + draw(takeover_delay));
}

void cell_world::succeed_later(base::duration delay) {
    after(delay, [this] { begin_owner(); });
}

cell::rules_changed cell_world::rules() const {
    cell::rules_changed out;
    out.queues = {{queue_name, policy::queue_kind::must_finish, 1'000}};
    out.limits = {{queue_name, 20}};
    policy::team_rules team;
    team.team = team_name;
    team.allowance = base::slot_count(limit_);
    out.teams = {team};
    return out;
}

std::vector<platform::member> cell_world::members() const {
    std::vector<platform::member> out;
    for (const auto& it : vms_) {
        platform::member one;
        one.id = it->settings().id;
        one.capacity = it->settings().capacity;
        out.push_back(one);
    }
    return out;
}

}  // namespace cranberrydock::standins
