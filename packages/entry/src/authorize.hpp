// Who asks, for routes other than the submission of work.
#pragma once

#include <cranberrydock/entry/gateways.hpp>

#include "stage.hpp"

namespace cranberrydock::entry {

// The team of the submitter's key that came with the request.
tl::expected<base::team_id, stage_refusal> team_of(const configuration_source& source,
                                                   const net::http_request& request);

// The id of the operator's key that came with the request. While no configuration version holds an
// operator's key yet, anyone may act as "bootstrap": somebody has to create the first key.
tl::expected<base::key_id, stage_refusal> operator_of(const configuration_source& source,
                                                      const net::http_request& request);

}  // namespace cranberrydock::entry
