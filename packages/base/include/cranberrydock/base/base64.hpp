// Base64 of arbitrary bytes, through OpenSSL.
#pragma once

#include <optional>
#include <string>

namespace cranberrydock::base {

std::string to_base64(const std::string& bytes);

// Nothing when the text is not base64.
std::optional<std::string> from_base64(const std::string& text);

}  // namespace cranberrydock::base
