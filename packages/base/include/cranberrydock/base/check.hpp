// Internal asserts: a broken invariant of our own code, as opposed to a user's error, which is a
// finding or a refusal. The message says what was expected, what was found and where.
#pragma once

#include <stdexcept>
#include <string>

namespace cranberrydock::base {

// Thrown when an invariant of our own does not hold. Not caught below main: the process stops and
// another takes its place, which is safer than going on from a state that should not exist.
class internal_error : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

namespace detail {
[[noreturn]] void fail_check(const char* file, int line, const char* condition,
                             const std::string& message);
}  // namespace detail

}  // namespace cranberrydock::base

// Checks `condition`; `message` says what was expected, what was found and what to do.
#define CRANBERRYDOCK_CHECK(condition, message)                                                 \
    do {                                                                                        \
        if (!(condition)) {                                                                     \
            ::cranberrydock::base::detail::fail_check(__FILE__, __LINE__, #condition, message); \
        }                                                                                       \
    } while (false)
