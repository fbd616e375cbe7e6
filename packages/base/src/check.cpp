// Reports a failed internal check.
#include <cranberrydock/base/check.hpp>

namespace cranberrydock::base::detail {

void fail_check(const char* file, int line, const char* condition, const std::string& message) {
    throw internal_error(std::string(file) + ":" + std::to_string(line) + ": check '" + condition +
                         "' failed: " + message);
}

}  // namespace cranberrydock::base::detail
