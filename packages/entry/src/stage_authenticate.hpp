// Whose work it is: the team of the key that came with it, except in queues open to all. Work is
// refused while this daemon can't show that its configuration is the newest, because a key may have
// been withdrawn since.
#pragma once

#include <cranberrydock/entry/gateways.hpp>

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

// The bearer token of an Authorization header; empty when there is none.
std::string bearer_token(const net::http_request& request);

// The key that came with a request, or the refusal.
tl::expected<const config::key*, stage_refusal> verify_key(const config::configuration& current,
                                                           const net::http_request& request);

}  // namespace cranberrydock::entry
