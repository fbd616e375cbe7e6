// Base64 encoding and decoding of arbitrary bytes, using OpenSSL.
#pragma once

#include <optional>
#include <string>

namespace cranberrydock::base {

std::string to_base64(const std::string& bytes);

// Nothing if `text` is not valid base64 with padding.
std::optional<std::string> from_base64(const std::string& text);

}  // namespace cranberrydock::base
