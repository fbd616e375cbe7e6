// Names of the store failures in logs and metrics.
#include <cranberrydock/fleet/row_store.hpp>

namespace cranberrydock::fleet {

const char* to_string(store_failure failure) {
    switch (failure) {
        case store_failure::refused:
            return "refused";
        case store_failure::conflict:
            return "conflict";
        case store_failure::answer_lost:
            return "answer_lost";
        case store_failure::history_truncated:
            return "history_gone";
        case store_failure::stale_peer:
            return "behind";
        case store_failure::rejected:
            return "rejected";
    }
    return "unknown";
}

}  // namespace cranberrydock::fleet
