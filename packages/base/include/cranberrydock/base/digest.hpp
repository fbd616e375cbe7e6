// SHA-256 digests and random identifiers, using OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace cranberrydock::base {

// The SHA-256 digest of `content` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view content);

// `n` random bytes from OpenSSL's generator as 2n lower-case hexadecimal digits.
std::string random_hex(std::size_t n);

}  // namespace cranberrydock::base
