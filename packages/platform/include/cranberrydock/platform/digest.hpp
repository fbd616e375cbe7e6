// The digest that travels with an answer from the task that made it to the caller.
#pragma once

#include <string>
#include <string_view>

namespace cranberrydock::platform {

// SHA-256 of `content` in lower-case hexadecimal.
std::string sha256_hex(std::string_view content);

}  // namespace cranberrydock::platform
