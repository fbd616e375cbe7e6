// SHA-256 digests, through OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace cranberrydock::base {

// The SHA-256 of `content` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view content);

// `n` random bytes of the system's generator as 2n hexadecimal digits.
std::string random_hex(std::size_t n);

}  // namespace cranberrydock::base
