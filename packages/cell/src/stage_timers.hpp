// The stage that handles timers: expired leases, ended pauses, ended waits for unresponsive VMs,
// and outcomes whose retention has ended. It also queues recovered work once no VM can still be
// running it.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"
#include "stage_queue.hpp"
#include "stage_retry.hpp"

namespace cranberrydock::cell {

class expire_stage {
public:
    expire_stage(cell_context& context, queue_stage& queue, finish_stage& finish,
                 retry_stage& retry)
        : context_(context), queue_(queue), finish_(finish), retry_(retry) {}

    void expire();

    // Holds recovered work whose tasks may still run on VMs without a report to this owner.
    void hold(const base::job_id& job) { held_.push_back(job); }

    // Queues the held work once every VM has reported, or every lease of previous owners has
    // expired.
    void release_held();

private:
    void on_timer(const lease_timer& timer);
    void on_timer(const retry_timer& timer);
    void on_timer(const unresolved_timer& timer);
    void on_timer(const retention_timer& timer);
    void on_timer(const outcome_write_timer& timer);

    cell_context& context_;
    queue_stage& queue_;
    finish_stage& finish_;
    retry_stage& retry_;
    std::vector<base::job_id> held_;
};

}  // namespace cranberrydock::cell
