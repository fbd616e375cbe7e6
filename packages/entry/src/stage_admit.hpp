// Checks whether the queue and the limits of the team permit the work at all, and applies the
// queue's defaults. Checks that depend on the state of a cell are made by the cell's owner.
#pragma once

#include "stage.hpp"

namespace cranberrydock::entry {

class admit_stage final : public stage {
public:
    const char* name() const override { return "admit"; }
    tl::expected<void, stage_refusal> run(request_state& request) override;
};

}  // namespace cranberrydock::entry
