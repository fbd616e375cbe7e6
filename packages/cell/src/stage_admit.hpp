// The first stage. Work is identified by its team and idempotency key, so a retry through any entry
// joins the first attempt instead of starting another. New durable work is written to the journal
// before any other step.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"
#include "stage_queue.hpp"

namespace cranberrydock::cell {

class admit_stage {
public:
    admit_stage(cell_context& context, queue_stage& queue, finish_stage& finish)
        : context_(context), queue_(queue), finish_(finish) {}

    void admit(const submit& event);

    // The accepted record is in the journal: the caller may be informed, and the work may run.
    void accepted_durable(work_state& work);

    // Writing the accepted record failed.
    void accepted_failed(work_state& work, bool may_be_written);

private:
    void join(work_state& work, const submit& event);
    void attach_request(work_state& work, const base::work& spec);
    void start(work_state& work);

    cell_context& context_;
    queue_stage& queue_;
    finish_stage& finish_;
};

}  // namespace cranberrydock::cell
