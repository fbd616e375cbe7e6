// A stage of the request path: it updates the state of a request, or refuses the request.
#pragma once

#include "request_state.hpp"

#include <tl/expected.hpp>

namespace cranberrydock::entry {

class stage {
public:
    virtual ~stage() = default;
    virtual const char* name() const = 0;  // for logs and traces
    virtual tl::expected<void, stage_refusal> run(request_state& request) = 0;
};

// Creates a refusal with `not_run` set: work that is refused in a stage has not run.
inline tl::unexpected<stage_refusal> refuse(base::refusal_reason reason, std::string detail,
                                            base::milliseconds retry_after = {}) {
    return tl::unexpected(stage_refusal{{reason, true, retry_after, std::move(detail)}, {}});
}

}  // namespace cranberrydock::entry
