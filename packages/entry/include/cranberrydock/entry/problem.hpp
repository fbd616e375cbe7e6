// Refusals as RFC 9457 problem documents.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/net/http.hpp>

namespace cranberrydock::entry {

// The HTTP status that goes with a reason.
int status_of(base::refusal_reason reason);

// "application/problem+json" with type, title, status, reason, not_run, detail and findings; with
// Retry-After in whole seconds when trying again may help.
net::http_response problem(const base::refusal& why, const base::findings& findings = {});

}  // namespace cranberrydock::entry
