// Calls to the cluster: one at a time, to the first entry that can be asked, with progress on
// standard error while it takes long.
#pragma once

#include <cranberrydock/ctl/run.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>
#include <cranberrydock/net/http_client.hpp>

#include "options.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::ctl {

struct api_request {
    net::http_method method = net::http_method::get;
    std::string path;
    std::string query;
    std::string body;
    std::vector<net::http_header> headers;
    // Sending it again does not take effect again: reading, or work with an idempotency key.
    bool repeatable = true;
};

// No entry gave an answer.
struct call_failure {
    exit_code code = exit_code::unreachable;
    std::string text;  // what happened at each entry
};

using api_result = tl::expected<net::http_response, call_failure>;

class api_client {
public:
    explicit api_client(connection_options connection);

    // Asks the entries in turn until one answers. An answer that was lost is asked for again only
    // of repeatable requests; a refusal by a daemon that can't serve now counts only when no other
    // entry does better.
    api_result call(const api_request& request);

    // Lets time pass between two polls.
    void pause(base::milliseconds time);

private:
    net::http_result call_one(const net::endpoint& entry, const api_request& request);

    connection_options connection_;
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_;
};

// A name as a part of a path.
std::string path_part(const std::string& name);

}  // namespace cranberrydock::ctl
