// A client of the HTTP API: makes one call at a time, to the first entry that can serve it, and
// prints the waiting time on standard error during long calls.
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
    // Whether the request may be sent again without taking effect twice, as reads and work with an
    // idempotency key may.
    bool repeatable = true;
};

// The error of a call that no entry has answered.
struct call_failure {
    exit_code code = exit_code::unreachable;
    std::string text;  // one line for each entry that gave no answer
};

using api_result = tl::expected<net::http_response, call_failure>;

class api_client {
public:
    explicit api_client(connection_options connection);

    // Calls the entries in turn until one of them answers. After a lost answer, only repeatable
    // requests are sent to the next entry. A refusal by a daemon that can't serve at present is
    // returned only when no other entry gives another answer.
    api_result call(const api_request& request);

    // Blocks for the time between two polls.
    void pause(base::milliseconds time);

private:
    net::http_result call_entry(const net::endpoint& entry, const api_request& request);

    connection_options connection_;
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_;
};

// Percent-encodes a name for use in a path segment or a query.
std::string url_encode(const std::string& name);

}  // namespace cranberrydock::ctl
