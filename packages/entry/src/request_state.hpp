// The state of one request while it passes through the stages.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/net/http.hpp>

#include <vector>

namespace cranberrydock::entry {

struct request_state {
    net::http_request http;
    base::time_point arrived{};
    bool job = false;  // POST /v1/jobs: answered once the work is stored durably
    // All stages use this one version.
    config::configuration_ptr configuration;
    const config::key* key = nullptr;  // part of `configuration`; null for work without a key
    base::work spec;
    std::vector<base::trace_step> trace;
};

// The reason why a stage refused a request.
struct stage_refusal {
    base::refusal cause;
    base::findings findings;
};

}  // namespace cranberrydock::entry
