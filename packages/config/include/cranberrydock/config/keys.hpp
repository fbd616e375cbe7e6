// Creation and verification of keys. The creator of a key gets it once, as a bearer token
// "ID.SECRET"; the configuration stores only a salted digest of the secret.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/config/configuration.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::config {

// A source of cryptographically secure random bytes.
class random_source {
public:
    virtual ~random_source() = default;
    // Returns `n` random bytes. Throws base::internal_error if the source fails.
    virtual std::string bytes(std::size_t n) = 0;
};

// The random generator of OpenSSL.
class openssl_random final : public random_source {
public:
    std::string bytes(std::size_t n) override;
};

// The permissions of a new key.
struct key_grant {
    key_role role = key_role::submitter;
    base::team_id team;  // empty for an operator's key
};

struct generated_key {
    std::string bearer_token;  // contains the secret: show it to the key's holder, never store it
    key entry;                 // the key's entry in the configuration
};

generated_key generate_key(const key_grant& grant, random_source& random);

// Returns the key that a bearer token proves, or a refusal reason: key_missing for an empty token,
// key_unknown for an unknown id or a wrong secret, key_withdrawn for a withdrawn key. Secrets are
// compared in constant time. The returned key belongs to `current` and is valid as long as it.
tl::expected<const key*, base::refusal_reason> verify(const configuration& current,
                                                      const std::string& bearer_token);

// Returns the merge patch that adds the key to a configuration.
std::string patch_to_add_key(const key& entry);

}  // namespace cranberrydock::config
