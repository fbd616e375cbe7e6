// SHA-256 digests and random identifiers, using OpenSSL.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/base/digest.hpp>

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace cranberrydock::base {
namespace {

std::string to_hex(const unsigned char* bytes, std::size_t n) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned low_nibble_mask = 0x0f;
    constexpr unsigned bits_per_nibble = 4;
    std::string out;
    out.reserve(2 * n);
    for (std::size_t i = 0; i < n; ++i) {
        out += digits[bytes[i] >> bits_per_nibble];
        out += digits[bytes[i] & low_nibble_mask];
    }
    return out;
}

}  // namespace

std::string sha256_hex(std::string_view content) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned n = 0;
    const int ok =
        EVP_Digest(content.data(), content.size(), digest.data(), &n, EVP_sha256(), nullptr);
    CRANBERRYDOCK_CHECK(ok == 1, "OpenSSL could not compute a SHA-256 digest");
    return to_hex(digest.data(), n);
}

std::string random_hex(std::size_t n) {
    std::vector<unsigned char> bytes(n);
    const int ok = RAND_bytes(bytes.data(), static_cast<int>(n));
    CRANBERRYDOCK_CHECK(ok == 1, "OpenSSL could not generate random bytes");
    return to_hex(bytes.data(), n);
}

}  // namespace cranberrydock::base
