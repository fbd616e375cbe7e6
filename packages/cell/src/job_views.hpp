// The view of a job that callers and operators receive.
#pragma once

#include <cranberrydock/base/work.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include "work_table.hpp"

namespace cranberrydock::cell {

base::job_view view_of(const work_state& work, const policy::scheduler& scheduler);

}  // namespace cranberrydock::cell
