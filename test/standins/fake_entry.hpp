// An entry that answers as a test tells it to, on a thread of its own, and keeps what it was asked;
// and a run of cranberryctl against it.
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
    // Nothing: the request stays unanswered. Called on the entry's thread.
    using script = std::function<std::optional<net::http_response>(const net::http_request&)>;

    explicit fake_entry(script answers);
    ~fake_entry();
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    // As --entry takes it.
    std::string address() const;
    std::vector<net::http_request> requests() const;

private:
    class handler;

    net::event_loop loop_;
    std::unique_ptr<handler> handler_;
    std::unique_ptr<net::http_server> server_;
    std::thread thread_;
};

struct ctl_result {
    int exit_code = -1;
    std::string out;
    std::string errors;
};

// Runs the built cranberryctl. The arguments must not hold single quotation marks.
ctl_result run_ctl(const std::vector<std::string>& arguments);

// A problem document of that reason.
net::http_response problem_response(int status, const std::string& reason, bool not_run,
                                    const std::string& more = "");

}  // namespace cranberrydock::standins
