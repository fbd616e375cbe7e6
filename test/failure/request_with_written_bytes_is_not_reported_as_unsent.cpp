// A call is reported as not sent only if no byte of its request was written to a socket and the
// server has read none. Covers servers that reset, close or answer at any moment, refused and late
// connections, a loop that is later than every timeout, reused connections, and a process without
// free descriptors.
#include <cranberrydock/net/http_client.hpp>

#include "standins/raw_http.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <sys/uio.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

// The paths of the requests of which the kernel has accepted bytes, as seen by writev() below.
std::set<std::string>& written_paths() {
    static std::set<std::string> out;
    return out;
}

}  // namespace

// Takes the place of the C library's function, which libevent calls on the test's thread.
extern "C" ssize_t writev(int fd, const iovec* parts, int count) {
    const ssize_t n = syscall(SYS_writev, fd, parts, count);
    const std::string method = "POST ";
    if (n > 0 && count > 0) {
        const std::string text(static_cast<const char*>(parts->iov_base), parts->iov_len);
        if (text.rfind(method, 0) == 0) {
            written_paths().insert(
                text.substr(method.size(), text.find(' ', method.size()) - method.size()));
        }
    }
    return n;
}

namespace {

using namespace cranberrydock;
using namespace cranberrydock::net;
using namespace cranberrydock::standins;

using random_bits = std::mt19937_64;

bool draw(random_bits& random, double probability) {
    return std::bernoulli_distribution(probability)(random);
}

int draw_up_to(random_bits& random, int limit) {
    return std::uniform_int_distribution<int>(0, limit)(random);
}

void sleep_for(base::milliseconds time) {
    std::this_thread::sleep_for(time);
}

// What the server does with a request; `keep` continues with the next one of the connection.
enum class server_action {
    keep,
    close_without_reading,
    reset_without_reading,
    close_after_part,
    reset_after_part,
    close_after_request,
    reset_after_request,
    answer_without_reading,
    answer_then_close,
    answer_then_reset,
    interim_then_answer,
    interim_then_reset,
    invalid_status,
    last = invalid_status,
};

// A listener whose connections do what is drawn for them. Each has a thread of its own.
class erratic_server {
public:
    erratic_server(std::uint64_t seed, int backlog, base::milliseconds accepts_after)
        : random_(seed), accepts_after_(accepts_after) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof address;
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), n), 0);
        EXPECT_EQ(listen(listener_, backlog), 0);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
        port_ = ntohs(address.sin_port);
        accept_thread_ = std::thread([this] { accept_connections(); });
    }
    erratic_server(const erratic_server&) = delete;
    erratic_server& operator=(const erratic_server&) = delete;
    ~erratic_server() { stop(); }

    // Call this after the client has closed its connections.
    void stop() {
        if (!accept_thread_.joinable()) {
            return;
        }
        stopping_ = true;
        shutdown(listener_, SHUT_RDWR);
        accept_thread_.join();
        for (auto& it : connection_threads_) {
            it.join();
        }
        close(listener_);
    }

    endpoint address() const { return {loopback, port_}; }
    const std::set<std::string>& received_paths() const { return received_paths_; }

private:
    void accept_connections() {
        sleep_for(accepts_after_);
        while (!stopping_) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                connection_threads_.emplace_back([this, fd, seed = random_()] {
                    raw_connection caller(fd);
                    random_bits random(seed);
                    while (serve(caller, random)) {
                    }
                });
            }
        }
    }

    // Reads one request. Its body begins with its path and a blank.
    std::string read_request(raw_connection& caller) {
        const std::string body = caller.read_response_body();
        std::string path = body.substr(0, body.find(' '));
        if (path.rfind('/', 0) == 0) {
            const std::lock_guard<std::mutex> lock(mutex_);
            received_paths_.insert(path);
        }
        return path;
    }

    // Returns whether the connection stays open.
    bool serve(raw_connection& caller, random_bits& random) {
        const auto action = draw(random, 0.4) ? server_action::keep
                                              : static_cast<server_action>(draw_up_to(
                                                    random, static_cast<int>(server_action::last)));
        const base::milliseconds pause(draw(random, 0.5) ? 0 : draw_up_to(random, 6));
        const auto part = 1 + static_cast<std::size_t>(draw_up_to(random, 100'000));
        sleep_for(pause);
        switch (action) {
            case server_action::close_without_reading:
                return false;
            case server_action::reset_without_reading:
                caller.reset_on_close();
                return false;
            case server_action::close_after_part:
                caller.read_part(part);
                return false;
            case server_action::reset_after_part:
                caller.read_part(part);
                caller.reset_on_close();
                return false;
            case server_action::answer_without_reading:
                caller.send_text(response_text("early"));
                return false;
            default:
                break;
        }
        const std::string path = read_request(caller);
        if (path.rfind('/', 0) != 0) {
            return false;
        }
        sleep_for(pause);
        switch (action) {
            case server_action::close_after_request:
                return false;
            case server_action::reset_after_request:
                caller.reset_on_close();
                return false;
            case server_action::answer_then_close:
                caller.send_text(response_text(path));
                return false;
            case server_action::answer_then_reset:
                caller.send_text(response_text(path));
                caller.reset_on_close();
                return false;
            case server_action::interim_then_answer:
                caller.send_text(draw(random, 0.5) ? "HTTP/1.1 100 Continue\r\n\r\n"
                                                   : "HTTP/1.1 103 Early Hints\r\n\r\n");
                sleep_for(pause);
                break;
            case server_action::interim_then_reset:
                caller.send_text("HTTP/1.1 100 Continue\r\n\r\n");
                sleep_for(pause);
                caller.reset_on_close();
                return false;
            case server_action::invalid_status:
                caller.send_text(draw(random, 0.5) ? "HTTP/1.1 000 None\r\n\r\n"
                                                   : "HTTP/1.1 -1 None\r\n\r\n");
                return false;
            default:
                break;
        }
        caller.send_text(response_text(path));
        return true;
    }

    random_bits random_;
    base::milliseconds accepts_after_;
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread accept_thread_;
    std::vector<std::thread> connection_threads_;
    std::mutex mutex_;
    std::set<std::string> received_paths_;
};

// While it exists, this process can open no descriptor.
class no_free_descriptors {
public:
    no_free_descriptors() {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit none{1, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &none);
    }
    no_free_descriptors(const no_free_descriptors&) = delete;
    no_free_descriptors& operator=(const no_free_descriptors&) = delete;
    ~no_free_descriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

// A port on which no process listens, while this object exists.
class refusing_port {
public:
    refusing_port() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof address;
        EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), n), 0);
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
        address_ = {loopback, ntohs(address.sin_port)};
    }
    refusing_port(const refusing_port&) = delete;
    refusing_port& operator=(const refusing_port&) = delete;
    ~refusing_port() { close(fd_); }

    const endpoint& address() const { return address_; }

private:
    int fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    endpoint address_;
};

class client_calls : public testing::TestWithParam<bool> {
protected:
    client_calls() {
        static int next_path = 0;
        first_path_ = next_path;
        next_path += 1'000'000;
        http_client_limits limits;
        limits.prioritize_reads = GetParam();
        client_ = make_http_client(loop_, limits);
    }

    void send(const endpoint& to, std::size_t padding, base::milliseconds timeout) {
        const std::string path = "/" + std::to_string(first_path_ + sent_++);
        client_->send(to, {http_method::post, path, "", {}, path + " " + std::string(padding, 'x')},
                      timeout, [this, path](http_result result) {
                          results_.emplace(path, std::move(result));
                          if (results_.size() == expected_) {
                              loop_.stop();
                          }
                      });
    }

    void run_until_done(std::size_t calls) {
        expected_ = calls;
        loop_.run();
        client_.reset();
    }

    struct outcome_counts {
        int answered = 0;
        int lost = 0;
        int lost_unwritten = 0;
        int not_sent = 0;
    };

    outcome_counts check_results(const std::set<std::string>& received_paths) {
        outcome_counts out;
        for (const auto& it : received_paths) {
            EXPECT_EQ(written_paths().count(it), 1U) << it << ": writev() is not observed";
        }
        for (const auto& it : results_) {
            const bool written = written_paths().count(it.first) > 0;
            if (it.second) {
                ++out.answered;
            } else if (it.second.error().failure == http_failure::not_sent) {
                ++out.not_sent;
                EXPECT_FALSE(written) << it.first << " was written";
            } else {
                ++(written ? out.lost : out.lost_unwritten);
            }
        }
        RecordProperty("answered", out.answered);
        RecordProperty("lost", out.lost);
        RecordProperty("lost_unwritten", out.lost_unwritten);
        RecordProperty("not_sent", out.not_sent);
        return out;
    }

    event_loop loop_;
    std::unique_ptr<http_client> client_;
    std::map<std::string, http_result> results_;
    std::size_t expected_ = 0;
    int first_path_ = 0;
    int sent_ = 0;
};

TEST_P(client_calls, written_requests_are_not_unsent_when_server_is_erratic) {
    constexpr std::size_t calls = 2'000;
    constexpr std::uint64_t seed = 41;
    constexpr int max_padding = 3'000'000;  // more than the socket's buffers hold
    random_bits random(seed);
    erratic_server server(seed, SOMAXCONN, base::milliseconds{0});
    const refusing_port refusing;
    const endpoint unroutable{"255.255.255.255", 1};  // connect() fails at once
    const auto sending = loop_.every(base::milliseconds{1}, [&] {
        for (int i = draw_up_to(random, 4); i > 0 && static_cast<std::size_t>(sent_) < calls; --i) {
            const int padding = draw(random, 0.2) ? draw_up_to(random, max_padding) : 0;
            const base::milliseconds timeout(1 + draw_up_to(random, draw(random, 0.5) ? 10 : 60));
            const double destination = std::uniform_real_distribution<>(0, 1)(random);
            const endpoint& to = destination < 0.05   ? refusing.address()
                                 : destination < 0.08 ? unroutable
                                                      : server.address();
            std::optional<no_free_descriptors> limit;
            if (draw(random, 0.05)) {
                limit.emplace();
            }
            send(to, static_cast<std::size_t>(padding), timeout);
        }
        if (draw(random, 0.1)) {
            sleep_for(base::milliseconds(draw_up_to(random, draw(random, 0.1) ? 80 : 8)));
        }
    });
    run_until_done(calls);
    server.stop();
    const auto counts = check_results(server.received_paths());
    EXPECT_GT(counts.answered, 0);
    EXPECT_GT(counts.lost, 0);
    EXPECT_GT(counts.not_sent, 0);
}

// The kernel completes connections beyond the listen queue only after it has sent their first
// packet again, 1 s or more later.
TEST_P(client_calls, written_requests_are_not_unsent_when_connections_complete_late) {
    constexpr std::size_t calls = 24;
    constexpr base::milliseconds accepts_after{1'200};
    erratic_server server(1, 1, accepts_after);
    for (std::size_t i = 0; i < calls; ++i) {
        send(server.address(), 0, base::milliseconds(400 * (1 + i % 6)));
    }
    run_until_done(calls);
    server.stop();
    check_results(server.received_paths());
    EXPECT_FALSE(server.received_paths().empty());
}

// libevent's own timeout, which is at least 2 s, expires in the same turn of the loop.
TEST_P(client_calls, written_requests_are_not_unsent_when_loop_is_later_than_all_timeouts) {
    constexpr std::size_t calls = 24;
    constexpr base::milliseconds pause{2'300};
    erratic_server server(2, SOMAXCONN, base::milliseconds{0});
    erratic_server slow_server(3, 1, base::milliseconds{1'100});
    for (std::size_t i = 0; i < calls; ++i) {
        send(i % 2 == 0 ? server.address() : slow_server.address(), i % 3 == 0 ? 3'000'000 : 0,
             base::milliseconds(100));
    }
    const auto early_pause = loop_.after(base::milliseconds{0}, [&] { sleep_for(pause); });
    run_until_done(calls);
    server.stop();
    slow_server.stop();
    check_results(server.received_paths());
    check_results(slow_server.received_paths());
}

INSTANTIATE_TEST_SUITE_P(reads_first, client_calls, testing::Bool());

}  // namespace
