// Identifies the caller by its key, for all routes except the submission of work.
#pragma once

#include <cranberrydock/entry/daemon_interfaces.hpp>

#include "stage.hpp"

namespace cranberrydock::entry {

// Returns the team of the submitter's key that was sent with the request. Refuses the request if
// the key is not valid or if the configuration is not fresh.
tl::expected<base::team_id, stage_refusal> team_of(const configuration_source& source,
                                                   const net::http_request& request);

// Returns the id of the operator's key that was sent with the request, or a refusal as above. While
// the configuration in force contains no operator's key that is not withdrawn, every caller is
// accepted as "bootstrap", so that the first key can be created.
tl::expected<base::key_id, stage_refusal> operator_of(const configuration_source& source,
                                                      const net::http_request& request);

}  // namespace cranberrydock::entry
