// The stage for what falls due: leases that have lapsed, pauses that are over, waits for silent VMs
// that have been long enough, outcomes kept long enough, and recovered work that nothing can still
// be running.
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

    // Recovered work whose tasks may still run on VMs that were not heard from.
    void hold(const base::job_id& job) { held_.push_back(job); }

    // Queues the held work once every VM was heard, or every earlier owner's lease has lapsed.
    void release_held();

private:
    void due(const lease_due& what);
    void due(const retry_due& what);
    void due(const unresolved_due& what);
    void due(const forget_due& what);
    void due(const outcome_due& what);

    cell_context& context_;
    queue_stage& queue_;
    finish_stage& finish_;
    retry_stage& retry_;
    std::vector<base::job_id> held_;
};

}  // namespace cranberrydock::cell
