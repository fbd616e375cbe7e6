// Determines the team of the work from the key that was sent with it; an open queue also accepts
// work without a key. Work with a key is refused while this daemon can't prove that its
// configuration is the newest, because the key may have been withdrawn in a newer version.
#pragma once

#include <cranberrydock/entry/daemon_interfaces.hpp>

#include "stage.hpp"

namespace cranberrydock::entry {

class authenticate_stage final : public stage {
public:
    explicit authenticate_stage(const configuration_source& source) : source_(source) {}

    const char* name() const override { return "authenticate"; }
    tl::expected<void, stage_refusal> run(request_state& request) override;

private:
    const configuration_source& source_;
};

// Returns the bearer token of the Authorization header; empty when there is none.
std::string bearer_token(const net::http_request& request);

// Returns the key that was sent with the request, or a refusal. The key belongs to `current`.
tl::expected<const config::key*, stage_refusal> verify_key(const config::configuration& current,
                                                           const net::http_request& request);

}  // namespace cranberrydock::entry
