// The JSON of callers' requests, read with every fault found at once.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/work.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::entry {

// Reads the body of POST /v1/requests and /v1/jobs (docs/API.md). Team, key and ids are not in it.
tl::expected<base::work, base::findings> parse_request_body(const std::string& body);

// What a request may ask for at the most; beyond it a number is a mistake.
constexpr std::int64_t max_tasks_per_job = 10'000;
constexpr std::int64_t max_millicores = 1'000'000;
constexpr std::int64_t max_memory_mebibytes = 16 * 1024 * 1024;
constexpr std::int64_t max_accelerators = 1'024;
constexpr std::int64_t max_slots = 1'024;
constexpr std::int64_t max_milliseconds = 30LL * 24 * 3600 * 1000;

}  // namespace cranberrydock::entry
