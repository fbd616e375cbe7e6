// SHA-256 by OpenSSL.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/platform/digest.hpp>

#include <openssl/evp.h>
#include <spdlog/fmt/fmt.h>

#include <array>

namespace cranberrydock::platform {

std::string sha256_hex(std::string_view content) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned n = 0;
    const int ok =
        EVP_Digest(content.data(), content.size(), digest.data(), &n, EVP_sha256(), nullptr);
    CRANBERRYDOCK_CHECK(ok == 1, "expected OpenSSL to offer SHA-256");
    std::string out;
    for (unsigned i = 0; i < n; ++i) {
        out += fmt::format("{:02x}", digest.at(i));
    }
    return out;
}

}  // namespace cranberrydock::platform
