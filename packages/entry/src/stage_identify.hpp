// Assigns the ids of the request. The job id is derived from team and idempotency key, so every
// retry, through any entry, has the same job id and is routed to the same home cell as the first
// attempt.
#pragma once

#include "stage.hpp"

namespace cranberrydock::entry {

class identify_stage final : public stage {
public:
    const char* name() const override { return "identify"; }
    tl::expected<void, stage_refusal> run(request_state& request) override;
};

}  // namespace cranberrydock::entry
