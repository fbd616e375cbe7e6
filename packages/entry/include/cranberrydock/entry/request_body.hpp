// Parses the JSON bodies of callers' requests.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/work.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::entry {

// Parses the body of POST /v1/requests and /v1/jobs (docs/API.md). Team, key and ids are not part
// of the body and stay empty. On failure returns all faults of the body.
tl::expected<base::work, base::findings> parse_request_body(const std::string& body);

// The highest values that a request may contain. A larger number is treated as a mistake of the
// caller.
constexpr std::int64_t max_tasks_per_job = 10'000;
constexpr std::int64_t max_millicores = 1'000'000;
constexpr std::int64_t max_memory_mebibytes = 16 * 1024 * 1024;
constexpr std::int64_t max_accelerators = 1'024;
constexpr std::int64_t max_slots = 1'024;
constexpr std::int64_t max_milliseconds = 30LL * 24 * 3600 * 1000;

}  // namespace cranberrydock::entry
