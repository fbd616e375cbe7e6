// Which VMs fail everything they start. A VM is compared with its peers, each VM counting once, so
// that one that fails fast and often does not make failing look usual. A VM that is found bad goes
// into quarantine and gets single probes until they succeed. A job that fails on several VMs and
// succeeds on none is bad itself, and what it had counted against those VMs is taken back.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/policy/scheduler.hpp>
#include <cranberrydock/policy/scheduler_settings.hpp>

#include "vm_table.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

class vm_health {
public:
    explicit vm_health(const scheduler_settings& settings) : settings_(settings) {}

    // A task of the job has ended on the VM.
    void ended(vm_index i, const base::job_id& job, end_kind end, base::time_point now);
    // A VM that may use the index of an earlier one starts with a clean record.
    void forget(vm_index i);
    // How many VMs the cell has: bounds the quarantine.
    void set_known_vms(std::size_t n);

    bool quarantined(vm_index i) const;
    // Quarantined VMs that may get one task now.
    std::vector<vm_index> due_probes(base::time_point now) const;
    void probe_started(vm_index i);

    // VMs whose quarantine began or ended since the last call.
    std::vector<vm_index> take_changes();

    std::size_t most_quarantined() const;

private:
    struct record {
        double ends = 0;      // tasks that ended, older ones counting less
        double failures = 0;  // those among them that failed
        bool in_quarantine = false;
        bool probing = false;
        int probes_succeeded = 0;
        base::duration probe_after{0};
        base::time_point next_probe{};

        double rate() const { return ends > 0 ? failures / ends : 0; }
    };
    struct failing_job {
        std::vector<vm_index> failed_on;  // distinct VMs
        bool succeeded = false;

        bool bad() const;
    };

    record& at(vm_index i);
    bool counts_against_vm(vm_index i, const base::job_id& job, end_kind end);
    void count(vm_index i, bool failed);
    void take_back(vm_index i);
    bool suspect(const record& one) const;
    void probe_ended(vm_index i, bool failed, base::time_point now);
    void begin_quarantine(vm_index i, base::time_point now);
    void end_quarantine(vm_index i);
    void keep_below_most();

    scheduler_settings settings_;
    std::vector<record> records_;  // by index
    std::vector<vm_index> in_quarantine_;
    std::vector<vm_index> changed_;
    double rates_ = 0;           // sum of `rate()` over VMs with ends
    std::size_t rated_vms_ = 0;  // VMs with ends
    std::size_t known_vms_ = 0;
    std::unordered_map<base::job_id, failing_job> failing_;
    std::deque<base::job_id> failing_order_;  // oldest first, to bound `failing_`
};

}  // namespace cranberrydock::policy
