// The HTTP statuses that the adapters of this package distinguish.
#pragma once

namespace cranberrydock::platform::detail {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_unavailable = 503;

// Returns true when the status means that the call was refused before it was processed.
inline bool refused_unprocessed(int status) {
    switch (status) {
        case 400:
        case 404:
        case 405:
        case 411:
        case 413:
        case 415:
            return true;
        default:
            return false;
    }
}

}  // namespace cranberrydock::platform::detail
