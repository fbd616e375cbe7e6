// An entry whose responses a test scripts and that records the requests. It runs on a thread of its
// own. Also runs cranberryctl against such an entry.
#pragma once

#include <cranberrydock/net/http_server.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cranberrydock::standins {

class fake_entry {
public:
    // Called on the entry's thread. With nullopt the request stays unanswered.
    using script = std::function<std::optional<net::http_response>(const net::http_request&)>;

    explicit fake_entry(script entry_script);
    ~fake_entry();
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    // In the format of --entry.
    std::string address() const;
    // All requests received so far.
    std::vector<net::http_request> requests() const;

private:
    class handler;

    net::event_loop loop_;
    std::unique_ptr<handler> handler_;
    std::unique_ptr<net::http_server> server_;
    std::thread thread_;
};

struct ctl_result {
    int exit_code = -1;  // -1 if it did not exit by itself
    std::string out;     // its standard output
    std::string errors;  // its standard error
};

// Runs the built cranberryctl until it exits. The arguments must not hold single quotation marks.
ctl_result run_ctl(const std::vector<std::string>& arguments);

// A response with a problem document of that reason; `more` holds further JSON members, each with a
// comma before it.
net::http_response problem_response(int status, const std::string& reason, bool not_run,
                                    const std::string& more = "");

}  // namespace cranberrydock::standins
