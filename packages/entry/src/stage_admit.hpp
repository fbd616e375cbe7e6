// Whether the work is of a kind that its queue and its team may have at all. What depends on the
// state of a cell is judged there.
#pragma once

#include "stage.hpp"

namespace cranberrydock::entry {

class admit_stage final : public stage {
public:
    const char* name() const override { return "admit"; }
    tl::expected<void, stage_refusal> run(request_state& request) override;
};

}  // namespace cranberrydock::entry
