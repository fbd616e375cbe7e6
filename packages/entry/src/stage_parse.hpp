// Parses the body and the headers that describe the work.
#pragma once

#include "stage.hpp"

namespace cranberrydock::entry {

class parse_stage final : public stage {
public:
    const char* name() const override { return "parse"; }
    tl::expected<void, stage_refusal> run(request_state& request) override;
};

}  // namespace cranberrydock::entry
