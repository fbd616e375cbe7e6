// Sends commands to the VMs of a large fleet through other daemons. An owner that calls each VM
// itself spends its core on these calls: some 4,000 per second for 1,100 VMs. The commands for the
// VMs of an availability zone are therefore sent to relays in that zone, many in one call, and the
// outcomes are returned in the same calls. Commands for the VMs of a small fleet, or of a zone
// without a daemon, are sent directly.
//
// The only assumption about a relay is that the outcomes it reports are correct. A relay that does
// not answer, restarts or is slow is not used for a while. A command that it received and has not
// reported on may or may not be carried out, like a command whose answer was lost.
//
// A relay is given its time to answer in time in which this process was listening
// (listening_clock.hpp). A command that expired because this process was late is sent again over
// the same relay.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/log_rate_limiter.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet_daemon/command_permission.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/listening_clock.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>
#include <cranberrydock/fleet_daemon/relayed_commands.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::fleet_daemon {

// A daemon that may serve as a relay.
struct relay_candidate {
    std::shared_ptr<peer> connection;  // connection to the daemon
    fleet::zone_name zone;
    double cores = 0;  // number of cores that it may use
};

struct relay_settings {
    std::size_t min_vm_count = 400;   // smaller fleets are reached directly
    std::size_t vms_per_relay = 100;  // approximate
    // Multiplied by the number of relays, this gives the interval (in microseconds) between two
    // exchanges with one relay: the owner's load is that of the exchanges with all relays together.
    base::duration exchange_interval_per_relay{1'500};
    // A relay passes a command on within this time after it was sent, or not at all.
    base::milliseconds command_lifetime{600};
    // A relay that has failed gets no commands for this long.
    base::milliseconds avoid_after_failure{2'000};
};

class relayed_vm_control final : public fleet::vm_control {
public:
    // `name` identifies this process and must be unique among all owner processes. Queued commands
    // are sent only while `permission` allows it.
    relayed_vm_control(net::event_loop& loop, fleet::vm_control& direct, std::string name,
                       const relay_settings& settings, command_permission& permission,
                       base::metrics& metrics);
    ~relayed_vm_control() override;
    relayed_vm_control(const relayed_vm_control&) = delete;
    relayed_vm_control& operator=(const relayed_vm_control&) = delete;

    // The other daemons, by VM name.
    void set_candidates(const std::map<std::string, relay_candidate>& candidates);
    // The number of VMs in the fleet.
    void set_vm_count(std::size_t count);
    // Drops all commands without calling their callbacks, and sends none that is still queued.
    // Called when this daemon is not the owner any more.
    void drop_queued_commands();

    void start(const fleet::vm_info& vm, fleet::fencing_token owner,
               const fleet::start_command& command, fleet::start_callback done) override;
    void stop(const fleet::vm_info& vm, fleet::fencing_token owner, const fleet::task_ref& task,
              fleet::run_number run, fleet::stop_callback done) override;
    void watch(const fleet::vm_info& vm, fleet::fencing_token owner,
               const fleet::watch_command& command, fleet::watch_callback done) override;

private:
    struct open_command;
    struct channel;
    using exchange_number = base::strong_number<struct exchange_number_tag>;

    void send(open_command open);
    void send_directly(const open_command& open);
    // The channel to the VM's relay; null if the VM is called directly.
    channel* find_channel(const fleet::vm_info& vm);
    void choose_relays();
    void drop_idle_channels();
    void flush_later(channel& destination, base::duration min_delay);
    void exchange(channel& relay);
    void send_exchange(channel& relay, bool with_commands);
    // Removes the queued starts and stops that must not be sent any more, and returns them. Watches
    // are reduced to a poll instead. `all` treats each command as outdated.
    std::vector<open_command> take_outdated(channel& queue, bool all);
    bool is_outdated(const open_command& open) const;
    void detect_pause();
    void on_exchange_done(channel& relay, const std::vector<command_number>& sent,
                          const outcome_batch& received);
    void on_exchange_failed(channel& relay, const std::vector<command_number>& sent, bool not_sent);
    void record_clock(channel& updated, const outcome_batch& received);
    relay_time clock_lower_bound(const channel& relay) const;
    void apply_outcomes(channel& relay, const outcome_batch& received);
    void apply_outcome(channel& source, const relayed_outcome& outcome);
    // Sends commands that have expired again, over the same relay unless that was late.
    void on_expired(channel& relay, const std::vector<command_number>& expired);
    void requeue(channel& source, const std::vector<command_number>& numbers);
    void avoid(channel& avoided, const char* reason);
    void sweep();
    // Why the relay is to be avoided; null if it has no command or exchange that is overdue.
    const char* find_fault(const channel& relay) const;
    base::duration exchange_interval() const;

    net::event_loop& loop_;
    fleet::vm_control& direct_;
    std::string name_;
    relay_settings settings_;
    command_permission& permission_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    listening_clock listening_;
    // Commands that were issued earlier were queued during a pause of this process.
    base::time_point issued_before_pause_{};
    std::map<std::string, relay_candidate> candidates_;
    std::size_t vm_count_ = 0;
    command_number last_command_number_;
    exchange_number last_exchange_number_;
    std::map<std::string, std::unique_ptr<channel>> channels_;  // by relay name
    // The relays of a zone in order of preference, and how many of them are used at a time.
    struct zone_relays {
        std::vector<channel*> relays;
        std::size_t used = 0;
    };
    std::map<fleet::zone_name, zone_relays> zones_;
    std::size_t used_relays_ = 0;
    std::unique_ptr<net::timer> sweep_timer_;
    base::log_rate_limiter resent_log_limiter_{"commands_resent", resent_lines_per_second};
    static constexpr std::int64_t resent_lines_per_second = 20;
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
