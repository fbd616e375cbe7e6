// The owners of a simulated cell, their commands to VMs and their journal.
#include "cell_simulation_detail.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::standins {

using namespace detail;

void cell_simulation::start_owner() {
    if (store_down_) {
        start_successor_after(max_takeover_delay);
        return;
    }
    const auto written = table_.commit({{}, {{guard_key, std::to_string(owners_.size())}}});
    const platform::row_condition guard{guard_key, written->versions.front()};
    const base::epoch epoch(static_cast<std::int64_t>(owners_.size()) + 1);
    owners_.push_back(std::make_unique<owner_state>(epoch, guard, metrics_));
    owner_state& owner = *owners_.back();
    owner.evidence_until = now_ + evidence_length;
    tick(owner);
    read_journal(owner);
}

void cell_simulation::read_journal(owner_state& owner) {
    after(random_delay(max_message_delay), [this, &owner] {
        run_or_defer(owner, [this, &owner] {
            if (store_down_) {
                read_journal(owner);
                return;
            }
            std::vector<cell::work_record> records;
            for (const auto& it : table_.scan(cell::journal_prefix(cell_name).str())) {
                const auto decoded = cell::decode_records(it.value);
                records.insert(records.end(), decoded->begin(), decoded->end());
            }
            owner.live = true;
            deliver(owner, rules());
            deliver(owner, cell::vms_listed{members()});
            deliver(owner, cell::ownership_evidence_extended{owner.evidence_until});
            deliver(owner, cell::journal_recovered{std::move(records)});
        });
    });
}

void cell_simulation::tick(owner_state& owner) {
    if (!owner.alive) {
        return;
    }
    after(tick_period, [this, &owner] { tick(owner); });
    if (owner.suspended_until) {
        return;
    }
    if (owner.rightful) {
        owner.evidence_until = now_ + evidence_length;
        deliver(owner, cell::ownership_evidence_extended{owner.evidence_until});
    }
    deliver(owner, rules());
    deliver(owner, cell::clock_tick{});
    write(owner, owner.writer.tick(now_));
}

void cell_simulation::deliver(owner_state& owner, const cell::cell_event& event) {
    run_or_defer(owner, [this, &owner, event] {
        if (owner.live) {
            apply(owner, owner.machine.handle(event, now_));
        }
    });
}

// Runs the action at once, or when the owner is resumed if it is suspended; drops it if the owner
// is dead.
void cell_simulation::run_or_defer(owner_state& owner, action run) {
    if (!owner.alive) {
        return;
    }
    if (owner.suspended_until) {
        owner.deferred.push_back(std::move(run));
        return;
    }
    run();
}

void cell_simulation::apply(owner_state& owner, const std::vector<cell::cell_effect>& effects) {
    for (const auto& it : effects) {
        std::visit([this, &owner](const auto& effect) { apply(owner, effect); }, it);
    }
}

void cell_simulation::apply(owner_state& owner, const cell::command_vm& effect) {
    const std::size_t vm =
        static_cast<std::size_t>(std::stoul(effect.vm.str().substr(std::string("vm-").size())));
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, &owner, id = effect.id,
                         answered](const platform::vm_result& result) {
        if (!std::exchange(*answered, true)) {
            deliver(owner, cell::vm_answered{id, result});
        }
    };
    after(effect.timeout, [answer] { answer(tl::unexpected(platform::vm_error::answer_lost)); });
    const bool lost = commands_lossy_ && chance(lost_command_permille);
    if (lost) {
        if (chance(500)) {
            after(random_delay(max_message_delay),
                  [answer] { answer(tl::unexpected(platform::vm_error::not_sent)); });
        }
        return;
    }
    const bool late = commands_lossy_ && chance(late_command_permille);
    after(random_delay(late ? max_late_delay : max_message_delay),
          [this, vm, command = effect.command, answer] {
              deliver_command(vm, [this, vm, command, answer] {
                  const auto* const start = std::get_if<platform::start_command>(&command.body);
                  const std::string task = start == nullptr ? "" : start->task.str();
                  const base::job_id job(task.substr(0, task.find('/')));
                  vms_[vm]->handle(
                      command, now_, [this, vm, job, answer](const platform::vm_reply& reply) {
                          if (!job.empty() && reply.verdict == platform::vm_verdict::done) {
                              started_jobs_.insert(job);
                          }
                          const bool swallowed = unresponsive_[vm] ||
                                                 (commands_lossy_ && chance(lost_command_permille));
                          if (!swallowed) {
                              after(random_delay(max_message_delay),
                                    [answer, reply] { answer(reply); });
                          }
                      });
              });
          });
}

void cell_simulation::deliver_command(std::size_t vm, action command) {
    if (suspended_[vm]) {
        deferred_commands_[vm].push_back(std::move(command));
        return;
    }
    command();
}

void cell_simulation::apply(owner_state& owner, const cell::append_record& effect) {
    write(owner, owner.writer.append(effect.id, effect.record, now_));
}

void cell_simulation::write(owner_state& owner, const std::vector<cell::journal_effect>& effects) {
    for (const auto& it : effects) {
        if (const auto* const wanted = std::get_if<cell::journal_commit>(&it)) {
            commit(owner, wanted->transaction);
        } else if (const auto* const read = std::get_if<cell::journal_read>(&it)) {
            after(random_delay(max_message_delay), [this, &owner, key = read->key] {
                tl::expected<std::optional<platform::row>, platform::store_error> result;
                if (store_down_) {
                    result = tl::unexpected(platform::store_error::unavailable);
                } else if (const auto* const found = table_.find(key)) {
                    result = std::optional(*found);
                }
                run_or_defer(owner, [this, &owner, result] {
                    write(owner, owner.writer.read_back(result, now_));
                });
            });
        } else if (const auto* const durable = std::get_if<cell::records_durable>(&it)) {
            for (const auto& id : durable->records) {
                deliver(owner, cell::record_durable{id});
            }
        } else if (const auto* const failed = std::get_if<cell::records_failed>(&it)) {
            for (const auto& id : failed->records) {
                deliver(owner, cell::record_failed{id, failed->may_be_written});
            }
        }
    }
}

void cell_simulation::commit(owner_state& owner, const platform::transaction& writes) {
    const bool lost = store_lossy_ && chance(lost_answer_permille);
    const bool applied = !lost || chance(500);
    after(random_delay(max_message_delay), [this, &owner, writes, lost, applied] {
        tl::expected<platform::commit_result, platform::store_error> result =
            tl::unexpected(platform::store_error::unavailable);
        if (!store_down_ && applied) {
            result = table_.commit(writes);
        }
        if (lost) {
            result = tl::unexpected(platform::store_error::answer_lost);
        }
        after(random_delay(max_message_delay), [this, &owner, result] {
            run_or_defer(owner, [this, &owner, result] {
                write(owner, owner.writer.committed(result, now_));
            });
        });
    });
}

void cell_simulation::apply(owner_state& /*owner*/, const cell::reply& effect) {
    caller_state& recipient = *callers_.at(static_cast<std::size_t>(effect.to.value()));
    after(random_delay(max_message_delay),
          [this, &recipient, outcome = effect.outcome] { take_outcome(recipient, outcome); });
}

void cell_simulation::apply(owner_state& owner, const cell::superseded& effect) {
    if (owner.rightful && effect.seen >= owner.epoch) {
        add_violation("the rightful owner of epoch " + std::to_string(owner.epoch.value()) +
                      " was refused for epoch " + std::to_string(effect.seen.value()));
    }
}

void cell_simulation::apply(owner_state& owner, const cell::drained& /*effect*/) {
    owner.alive = false;
    start_successor_after(max_message_delay);
}

void cell_simulation::end_ownership(owner_state& owner) {
    owner.rightful = false;
    const base::duration proven = std::max(owner.evidence_until - now_, base::duration{0});
    start_successor_after(proven + random_delay(max_takeover_delay));
}

void cell_simulation::start_successor_after(base::duration delay) {
    after(delay, [this] { start_owner(); });
}

cell::rules_changed cell_simulation::rules() const {
    cell::rules_changed out;
    out.queues = {{queue_name, policy::queue_kind::must_finish, 1'000}};
    out.limits = {{queue_name, 20}};
    policy::team_settings team;
    team.team = team_name;
    team.allowance = base::slot_count(limit_);
    out.teams = {team};
    return out;
}

std::vector<platform::member> cell_simulation::members() const {
    std::vector<platform::member> out;
    for (const auto& it : vms_) {
        platform::member listed;
        listed.id = it->settings().id;
        listed.capacity = it->settings().capacity;
        out.push_back(listed);
    }
    return out;
}

}  // namespace cranberrydock::standins
