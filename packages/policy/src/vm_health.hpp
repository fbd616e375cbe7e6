// Detects VMs that fail the tasks placed on them. A VM's failure rate is compared with that of its
// peers. Each VM counts once, so that one VM that fails fast and often does not make failures look
// normal. A VM that is found faulty is quarantined and gets single probe tasks until enough of them
// succeed. A job that fails on several VMs and succeeds on none is at fault itself, and its
// failures are no longer counted against these VMs.
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

    // Records how a task of the job ended on the VM.
    void record_completion(vm_index i, const base::job_id& job, completion_kind end,
                           base::time_point now);
    // Clears the record of the VM, since its index may be reused for a new VM.
    void forget(vm_index i);
    // Sets the number of VMs in the cell, which limits the number in quarantine.
    void set_known_vms(std::size_t n);

    bool quarantined(vm_index i) const;
    // Returns the quarantined VMs that may get a probe task now.
    std::vector<vm_index> vms_to_probe(base::time_point now) const;
    void probe_started(vm_index i);

    // Returns the VMs whose quarantine has begun or ended since the last call.
    std::vector<vm_index> take_changes();

    std::size_t max_quarantined() const;

private:
    struct record {
        double completions = 0;  // tasks that ended, with exponential decay
        double failures = 0;     // failed tasks among them
        bool in_quarantine = false;
        bool probing = false;
        int probes_succeeded = 0;
        base::duration probe_after{0};
        base::time_point next_probe{};

        double rate() const { return completions > 0 ? failures / completions : 0; }
    };
    struct failing_job {
        std::vector<vm_index> failed_on;  // distinct VMs
        bool succeeded = false;

        bool at_fault() const;
    };

    record& at(vm_index i);
    bool counts_against_vm(vm_index i, const base::job_id& job, completion_kind end);
    void count_completion(vm_index i, bool failed);
    void undo_failure(vm_index i);
    bool suspect(const record& vm_record) const;
    void record_probe_result(vm_index i, bool failed, base::time_point now);
    void begin_quarantine(vm_index i, base::time_point now);
    void end_quarantine(vm_index i);
    void enforce_quarantine_limit();

    scheduler_settings settings_;
    std::vector<record> records_;  // by vm_index
    std::vector<vm_index> in_quarantine_;
    std::vector<vm_index> changed_;
    double rate_sum_ = 0;        // sum of `rate()` over VMs with completions
    std::size_t rated_vms_ = 0;  // VMs with completions
    std::size_t known_vms_ = 0;
    std::unordered_map<base::job_id, failing_job> failing_jobs_;
    // Keys of `failing_jobs_`, oldest first; used to limit its size.
    std::deque<base::job_id> failing_job_order_;
};

}  // namespace cranberrydock::policy
