// A stage of the request path: passes the request on, changed, or ends it with a refusal.
#pragma once

#include "request_state.hpp"

#include <tl/expected.hpp>

namespace cranberrydock::entry {

class stage {
public:
    virtual ~stage() = default;
    virtual const char* name() const = 0;
    virtual tl::expected<void, stage_refusal> run(request_state& request) = 0;
};

// A refusal of work that no stage has passed on yet: it did not run.
inline tl::unexpected<stage_refusal> refuse(base::refusal_reason reason, std::string detail,
                                            base::milliseconds retry_after = {}) {
    return tl::unexpected(stage_refusal{{reason, true, retry_after, std::move(detail)}, {}});
}

}  // namespace cranberrydock::entry
