// The names of the enumerators of this package.
#include <cranberrydock/platform/table_service.hpp>
#include <cranberrydock/platform/vm_client.hpp>

namespace cranberrydock::platform {

std::string to_string(store_error error) {
    switch (error) {
        case store_error::conflict:
            return "conflict";
        case store_error::unavailable:
            return "unavailable";
        case store_error::answer_lost:
            return "answer_lost";
    }
    return "answer_lost";
}

std::string to_string(task_completion end) {
    switch (end) {
        case task_completion::completed:
            return "completed";
        case task_completion::failed:
            return "failed";
        case task_completion::stopped:
            return "stopped";
        case task_completion::lease_expired:
            return "lease_lapsed";
        case task_completion::not_started:
            return "not_started";
        case task_completion::unknown:
            return "unknown";
    }
    return "failed";
}

std::string to_string(vm_verdict verdict) {
    switch (verdict) {
        case vm_verdict::done:
            return "done";
        case vm_verdict::lower_epoch:
            return "lower_epoch";
        case vm_verdict::other_incarnation:
            return "other_incarnation";
        case vm_verdict::lease_passed:
            return "lease_passed";
        case vm_verdict::does_not_fit:
            return "does_not_fit";
        case vm_verdict::leaving:
            return "leaving";
    }
    return "lower_epoch";
}

}  // namespace cranberrydock::platform
