// The fake entry's handler and thread, and runs of cranberryctl.
#include "fake_entry.hpp"

#include "process.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <future>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace cranberrydock::standins {

class fake_entry::handler final : public net::http_handler {
public:
    explicit handler(script entry_script) : script_(std::move(entry_script)) {}

    void handle(net::http_request request, net::http_responder respond) override {
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
        }
        if (auto response = script_(request)) {
            respond(*std::move(response));
        } else {
            unanswered_.push_back(std::move(respond));
        }
    }

    std::vector<net::http_request> requests() const {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    script script_;
    std::vector<net::http_responder> unanswered_;
    mutable std::mutex mutex_;  // guards requests_
    std::vector<net::http_request> requests_;
};

fake_entry::fake_entry(script entry_script)
    : handler_(std::make_unique<handler>(std::move(entry_script))),
      server_(std::make_unique<net::http_server>(loop_, net::endpoint{"127.0.0.1", 0},
                                                 net::http_server_limits{}, *handler_)),
      thread_([this] { loop_.run(); }) {
    // Wait until the loop runs: a stop() before that would have no effect.
    std::promise<void> running;
    loop_.post([&] { running.set_value(); });
    running.get_future().wait();
}

fake_entry::~fake_entry() {
    loop_.stop();
    thread_.join();
}

std::string fake_entry::address() const {
    return server_->listen_endpoint().text();
}

std::vector<net::http_request> fake_entry::requests() const {
    return handler_->requests();
}

ctl_result run_ctl(const std::vector<std::string>& arguments) {
    const std::string errors = "/tmp/cranberryctl_errors_" + std::to_string(getpid());
    std::string line = program_folder() + "/cranberryctl";
    for (const auto& it : arguments) {
        line += " '" + it + "'";
    }
    line += " 2>" + errors;
    std::FILE* const pipe = popen(line.c_str(), "r");
    if (pipe == nullptr) {
        throw std::runtime_error("cannot start " + line);
    }
    ctl_result out;
    std::array<char, 4096> buf{};
    for (std::size_t n = 0; (n = std::fread(buf.data(), 1, buf.size(), pipe)) > 0;) {
        out.out.append(buf.data(), n);
    }
    const int status = pclose(pipe);
    out.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    std::ifstream in(errors);
    out.errors.assign(std::istreambuf_iterator<char>(in), {});
    std::remove(errors.c_str());
    return out;
}

net::http_response problem_response(int status, const std::string& reason, bool not_run,
                                    const std::string& more) {
    return {
        status,
        {{"Content-Type", "application/problem+json"}, {"Retry-After", "3"}},
        R"({"reason":")" + reason + R"(","not_run":)" + (not_run ? "true" : "false") + more + "}"};
}

}  // namespace cranberrydock::standins
