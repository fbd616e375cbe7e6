// One request on its way through the stages.
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
    bool job = false;  // POST /v1/jobs: answered once the work is written down
    // The version that this request is judged by, the same in all stages.
    config::configuration_ptr configuration;
    const config::key* key = nullptr;  // null in a queue that is open to all
    base::work what;
    std::vector<base::trace_step> trace;
};

// Why a request ended in a stage.
struct stage_refusal {
    base::refusal why;
    base::findings findings;
};

}  // namespace cranberrydock::entry
