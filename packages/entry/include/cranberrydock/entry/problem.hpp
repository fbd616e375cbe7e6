// Converts refusals to RFC 9457 problem documents.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/net/http.hpp>

namespace cranberrydock::entry {

// The HTTP status for a refusal reason.
int status_of(base::refusal_reason reason);

// Returns a response of type "application/problem+json" with the fields type, title, status,
// reason, not_run, detail and, if there are any, findings. If a retry may succeed, the header
// Retry-After gives the delay in seconds, rounded up.
net::http_response problem(const base::refusal& cause, const base::findings& findings = {});

}  // namespace cranberrydock::entry
