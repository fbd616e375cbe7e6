// Keys: made, shown once as a bearer token "ID.SECRET", and kept only as a salted digest.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/config/configuration.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::config {

// Where unpredictable bytes come from.
class random_source {
public:
    virtual ~random_source() = default;
    // `n` bytes; throws base::internal_error when there are none to be had.
    virtual std::string bytes(std::size_t n) = 0;
};

// OpenSSL's generator.
class openssl_random final : public random_source {
public:
    std::string bytes(std::size_t n) override;
};

// What a new key may do.
struct key_grant {
    key_role role = key_role::submitter;
    base::team_id team;  // of a submitter's key; empty for an operator's
};

struct made_key {
    std::string bearer_token;  // to be shown to its holder once and kept nowhere
    key entry;                 // for the configuration
};

made_key make_key(const key_grant& grant, random_source& random);

// The key that a bearer token shows, or why it shows none: key_missing, key_unknown (also when the
// secret is wrong) or key_withdrawn. Takes equally long for every wrong secret. The key belongs to
// `current` and lives as long.
tl::expected<const key*, base::refusal_reason> verify(const configuration& current,
                                                      const std::string& bearer_token);

// The merge patch that puts the key into a configuration.
std::string patch_adding(const key& entry);

}  // namespace cranberrydock::config
