// Internal assertions. They guard invariants of this project's own code; user errors are reported
// as findings or refusals instead. The message states what was expected, what was found and where.
#pragma once

#include <stdexcept>
#include <string>

namespace cranberrydock::base {

// Thrown when an internal invariant does not hold. Not caught below main: the process exits and
// another one takes over, which is safer than continuing from an invalid state.
class internal_error : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

namespace detail {
[[noreturn]] void fail_check(const char* file, int line, const char* condition,
                             const std::string& message);
}  // namespace detail

}  // namespace cranberrydock::base

// Throws internal_error if `condition` is false. `message` states what was expected, what was found
// and what to do.
#define CRANBERRYDOCK_CHECK(condition, message)                                                 \
    do {                                                                                        \
        if (!(condition)) {                                                                     \
            ::cranberrydock::base::detail::fail_check(__FILE__, __LINE__, #condition, message); \
        }                                                                                       \
    } while (false)
