// Creates and verifies keys with OpenSSL: SHA-256, the random generator and the constant-time
// comparison.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/config/json_reader.hpp>
#include <cranberrydock/config/keys.hpp>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace cranberrydock::config {
namespace {

constexpr std::size_t id_bytes = 6;
constexpr std::size_t salt_bytes = salt_digits / 2;
constexpr std::size_t secret_bytes = 24;
constexpr std::size_t max_token_length = 256;

std::string hexadecimal(const std::string& bytes) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const unsigned char c : bytes) {
        out += digits[c >> 4U];
        out += digits[c & 0xfU];
    }
    return out;
}

std::string digest_of(const std::string& salt, const std::string& secret) {
    const std::string text = salt + secret;
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           reinterpret_cast<unsigned char*>(out.data()));
    return hexadecimal(out);
}

bool equal_in_constant_time(const std::string& a, const std::string& b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string openssl_random::bytes(std::size_t n) {
    std::string out(n, '\0');
    const int status =
        RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(n));
    CRANBERRYDOCK_CHECK(status == 1,
                        "expected random bytes from OpenSSL, found none; its generator can't be "
                        "seeded on this machine");
    return out;
}

generated_key generate_key(const key_grant& grant, random_source& random) {
    generated_key out;
    const std::string secret = hexadecimal(random.bytes(secret_bytes));
    out.entry.id = base::key_id("k" + hexadecimal(random.bytes(id_bytes)));
    out.entry.team = grant.team;
    out.entry.role = grant.role;
    out.entry.salt = hexadecimal(random.bytes(salt_bytes));
    out.entry.digest = digest_of(out.entry.salt, secret);
    out.bearer_token = out.entry.id.str() + "." + secret;
    return out;
}

tl::expected<const key*, base::refusal_reason> verify(const configuration& current,
                                                      const std::string& bearer_token) {
    if (bearer_token.empty()) {
        return tl::unexpected(base::refusal_reason::key_missing);
    }
    const auto dot = bearer_token.rfind('.');
    if (dot == std::string::npos || bearer_token.size() > max_token_length) {
        return tl::unexpected(base::refusal_reason::key_unknown);
    }
    const key* const entry = current.find_key(base::key_id(bearer_token.substr(0, dot)));
    if (entry == nullptr) {
        return tl::unexpected(base::refusal_reason::key_unknown);
    }
    // Compare the secret before checking whether the key is withdrawn, so that a caller without the
    // secret learns nothing about the state of the key.
    if (!equal_in_constant_time(digest_of(entry->salt, bearer_token.substr(dot + 1)),
                                entry->digest)) {
        return tl::unexpected(base::refusal_reason::key_unknown);
    }
    if (entry->withdrawn) {
        return tl::unexpected(base::refusal_reason::key_withdrawn);
    }
    return entry;
}

std::string patch_to_add_key(const key& entry) {
    detail::json fields = {{"salt", entry.salt}, {"digest", entry.digest}};
    if (entry.role == key_role::operations) {
        fields["role"] = "operator";
    } else {
        fields["team"] = entry.team.str();
    }
    if (entry.withdrawn) {
        fields["withdrawn"] = true;
    }
    return detail::json{{"keys", {{entry.id.str(), std::move(fields)}}}}.dump();
}

}  // namespace cranberrydock::config
