// The stage that rebuilds this owner's work from the journal of previous owners. Which tasks run
// now is learned from the VMs.
#pragma once

#include "cell_context.hpp"
#include "stage_timers.hpp"

namespace cranberrydock::cell {

class recover_stage {
public:
    recover_stage(cell_context& context, expire_stage& expire)
        : context_(context), expire_(expire) {}

    void recover(const std::vector<work_record>& records);

private:
    void replay(const accepted_record& record);
    void replay(const intent_record& record);
    void replay(const not_run_record& record);
    void replay(const outcome_record& record);
    void reopen(const base::job_id& job);
    void settle(work_state& work);

    cell_context& context_;
    expire_stage& expire_;
};

}  // namespace cranberrydock::cell
