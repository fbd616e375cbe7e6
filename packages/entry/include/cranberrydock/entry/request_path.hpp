// The way of a caller's request through the entry: parse -> authenticate -> admit -> identify ->
// route -> reply. The owner of the home cell goes on from there (cell_machine).
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/entry/gateways.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <memory>

namespace cranberrydock::entry {

class request_path {
public:
    request_path(const configuration_source& configuration, work_router& router,
                 base::metrics& metrics, const base::clock& clock);
    ~request_path();
    request_path(const request_path&) = delete;
    request_path& operator=(const request_path&) = delete;

    // `job`: POST /v1/jobs, answered once the work is written down; otherwise when it is done.
    void run(net::http_request request, bool job, net::http_responder respond);

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::entry
