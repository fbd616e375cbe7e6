// Gives the request its ids. Team and idempotency key name the work, so every retry, through
// whatever entry, gets the same job id and meets the first attempt at the same home.
#pragma once

#include "stage.hpp"

namespace cranberrydock::entry {

class identify_stage final : public stage {
public:
    const char* name() const override { return "identify"; }
    tl::expected<void, stage_refusal> run(request_state& request) override;
};

}  // namespace cranberrydock::entry
