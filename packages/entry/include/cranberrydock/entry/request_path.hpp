// Processes a caller's request in the entry: parse -> authenticate -> admit -> identify -> route ->
// reply. The owner of the home cell continues with the routed work (cell_machine).
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/entry/daemon_interfaces.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <memory>

namespace cranberrydock::entry {

class request_path {
public:
    // All references must outlive the object.
    request_path(const configuration_source& configuration, work_router& router,
                 base::metrics& metrics, const base::clock& clock);
    ~request_path();
    request_path(const request_path&) = delete;
    request_path& operator=(const request_path&) = delete;

    // `job` is true for POST /v1/jobs, which is answered once the work is stored durably; a request
    // is answered when its work has ended.
    void run(net::http_request request, bool job, net::http_responder respond);

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::entry
