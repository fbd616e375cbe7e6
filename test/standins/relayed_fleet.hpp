// An owner that reaches VMs through relays, all in one process: VMs that answer after a delay, and
// relays that can be paused, ended or restarted, or that lose their answers.
#pragma once

#include <cranberrydock/fleet_daemon/command_relay.hpp>
#include <cranberrydock/fleet_daemon/relayed_vm_control.hpp>

#include "unresponsive_peer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

// Answers each command after 5 ms and records it.
class recording_vms final : public fleet::vm_control {
public:
    explicit recording_vms(net::event_loop& loop) : loop_(loop) {}

    void start(const fleet::vm_info& vm, fleet::fencing_token owner,
               const fleet::start_command& order, fleet::start_callback done) override {
        received_starts.push_back({vm.id, owner, order});
        call_later([done = std::move(done)] { done(fleet::vm_time(1)); });
    }
    void stop(const fleet::vm_info& vm, fleet::fencing_token /*owner*/,
              const fleet::task_ref& /*task*/, fleet::run_number /*run*/,
              fleet::stop_callback done) override {
        stopped_vms.push_back(vm.id);
        call_later(
            [done = std::move(done)] { done(tl::unexpected(fleet::command_failure::superseded)); });
    }
    void watch(const fleet::vm_info& vm, fleet::fencing_token /*owner*/,
               const fleet::watch_command& order, fleet::watch_callback done) override {
        received_watches.push_back({vm.id, order});
        call_later([this, done = std::move(done)] { done(report); });
    }

    struct received_start {
        fleet::vm_id vm;
        fleet::fencing_token owner;
        fleet::start_command order;
    };
    struct received_watch {
        fleet::vm_id vm;
        fleet::watch_command order;
    };
    std::vector<received_start> received_starts;
    std::vector<fleet::vm_id> stopped_vms;
    std::vector<received_watch> received_watches;
    fleet::vm_report report;

private:
    void call_later(std::function<void()> action) {
        constexpr base::milliseconds answer_time{5};
        timers_.push_back(loop_.after(answer_time, std::move(action)));
    }

    net::event_loop& loop_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

// A peer that runs a relay in the same process.
class local_relay final : public unresponsive_peer {
public:
    local_relay(net::event_loop& loop, fleet::vm_control& vms) : loop_(loop), vms_(vms) {
        restart();
    }

    void exchange_commands(const fleet_daemon::command_batch& batch, base::milliseconds timeout,
                           std::function<void(fleet_daemon::exchange_result)> done) override {
        ++exchange_count;
        if (refuses) {
            after(base::milliseconds{1},
                  [done] { done(tl::unexpected(fleet_daemon::peer_liveness::refused)); });
            return;
        }
        const auto answered = std::make_shared<bool>(false);
        after(timeout, [done, answered] {
            if (!std::exchange(*answered, true)) {
                done(tl::unexpected(fleet_daemon::peer_liveness::unresponsive));
            }
        });
        after(pause_time, [this, batch, done, answered] {
            relay_->exchange(batch, [this, done, answered](const auto& outcomes) {
                const auto deliver = [this, done, answered, outcomes] {
                    if (!loses_answers && !std::exchange(*answered, true)) {
                        done(outcomes);
                    }
                };
                if (answer_transit_time.count() == 0) {
                    deliver();
                } else {
                    after(answer_transit_time, deliver);
                }
            });
        });
    }

    void restart() {
        relay_ = std::make_unique<fleet_daemon::command_relay>(loop_, vms_,
                                                               std::to_string(++restart_count_));
    }

    int exchange_count = 0;
    bool refuses = false;
    bool loses_answers = false;
    base::milliseconds pause_time{0};  // before it processes each batch that it receives
    base::milliseconds answer_transit_time{0};

private:
    void after(base::milliseconds delay, std::function<void()> action) {
        timers_.push_back(loop_.after(delay, std::move(action)));
    }

    net::event_loop& loop_;
    fleet::vm_control& vms_;
    int restart_count_ = 0;
    std::unique_ptr<fleet_daemon::command_relay> relay_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

// Allows commands until a test forbids them.
class switchable_permission final : public fleet_daemon::command_permission {
public:
    bool may_issue_commands() override { return allowed; }
    bool allowed = true;
};

// An owner and VMs in two zones: "near" has two relays, any other zone has none.
class relayed_fleet {
public:
    explicit relayed_fleet(std::size_t vm_count) : vm_count_(vm_count) {
        set_candidates();
        owner.set_vm_count(vm_count);
    }

    void set_candidates() {
        owner.set_candidates({{"a", {first_relay, fleet::zone_name("near"), 1.0}},
                              {"b", {second_relay, fleet::zone_name("near"), 0.5}}});
    }

    fleet::vm_info vm(std::size_t i, const std::string& zone = "near") const {
        fleet::vm_info out;
        out.id = fleet::vm_id("vm-" + std::to_string(i));
        out.address = "127.0.0.1:1";
        out.zone = fleet::zone_name(zone);
        return out;
    }

    // Starts one task on each VM of the zone; the results go to `answers`.
    void start_on_all_vms(const std::string& zone = "near") {
        for (std::size_t i = 0; i < vm_count_; ++i) {
            fleet::start_command order;
            order.task = {fleet::job_id("job"), 0, 0, static_cast<int>(i)};
            order.run = fleet::run_number(1);
            order.payload = "payload";
            owner.start(vm(i, zone), fleet::fencing_token(7), order,
                        [this](const auto& answer) { answers.push_back(answer); });
        }
    }

    void run_for(base::duration time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    std::size_t failure_count(fleet::command_failure failure) const {
        std::size_t out = 0;
        for (const auto& it : answers) {
            out += !it && it.error() == failure ? 1 : 0;
        }
        return out;
    }

    std::size_t success_count() const {
        std::size_t out = 0;
        for (const auto& it : answers) {
            out += it ? 1 : 0;
        }
        return out;
    }

    net::event_loop loop;
    base::metrics metrics;
    recording_vms relayed_vms_backend{loop};
    recording_vms direct_vms{loop};
    std::shared_ptr<local_relay> first_relay =
        std::make_shared<local_relay>(loop, relayed_vms_backend);
    std::shared_ptr<local_relay> second_relay =
        std::make_shared<local_relay>(loop, relayed_vms_backend);
    fleet_daemon::relay_settings settings;
    switchable_permission permission;
    fleet_daemon::relayed_vm_control owner{loop,     direct_vms, "owner/1",
                                           settings, permission, metrics};
    std::vector<tl::expected<fleet::vm_time, fleet::command_failure>> answers;

private:
    std::size_t vm_count_;
};

}  // namespace cranberrydock::standins
