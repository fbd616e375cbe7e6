// Conversion between job states and their names.
#include <cranberrydock/base/work.hpp>

namespace cranberrydock::base {

std::string to_string(job_state state) {
    switch (state) {
        case job_state::queued:
            return "queued";
        case job_state::running:
            return "running";
        case job_state::done:
            return "done";
        case job_state::refused:
            return "refused";
        case job_state::outcome_unknown:
            return "outcome_unknown";
    }
    return "queued";
}

job_state parse_job_state(std::string_view name) {
    for (const auto state : {job_state::queued, job_state::running, job_state::done,
                             job_state::refused, job_state::outcome_unknown}) {
        if (to_string(state) == name) {
            return state;
        }
    }
    return job_state::queued;
}

}  // namespace cranberrydock::base
