// Base64 encoding and decoding, using OpenSSL.
#include <cranberrydock/base/base64.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace cranberrydock::base {
namespace {

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t digits_per_group = 4;
constexpr std::size_t max_padding = 2;

const unsigned char* raw(const std::string& text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* raw(std::string& text) {
    return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

std::string to_base64(const std::string& bytes) {
    const std::size_t groups = (bytes.size() + bytes_per_group - 1) / bytes_per_group;
    std::string out(groups * digits_per_group + 1, '\0');  // OpenSSL appends a null character
    const int n = EVP_EncodeBlock(raw(out), raw(bytes), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::optional<std::string> from_base64(const std::string& text) {
    if (text.size() % digits_per_group != 0) {
        return std::nullopt;
    }
    std::string out(text.size() / digits_per_group * bytes_per_group, '\0');
    const int n = EVP_DecodeBlock(raw(out), raw(text), static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    if (padding > max_padding || padding > static_cast<std::size_t>(n)) {
        return std::nullopt;
    }
    out.resize(static_cast<std::size_t>(n) - padding);
    return out;
}

}  // namespace cranberrydock::base
