// An answer goes to the request that it answers and to no other, and none is told as whole that is
// not: with callers that leave early, answers that come late or twice, and callees that send more
// or less than they announce. Every answer carries its request's path.
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "standins/cluster.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <future>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::net;
using standins::generous;

constexpr base::milliseconds short_wait{200};
constexpr base::milliseconds poll_pause{2};
const char* const loopback = "127.0.0.1";

std::string answer_text(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One end of a TCP connection, with blocking calls.
class raw_connection {
public:
    explicit raw_connection(int fd) : fd_(fd) {}
    explicit raw_connection(const endpoint& to)
        : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { close(fd_); }

    void put(const std::string& text) const { send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
    void ask(const std::string& path) const {
        put("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n");
    }
    void end_sending() const { shutdown(fd_, SHUT_WR); }
    void end() const { shutdown(fd_, SHUT_RDWR); }
    // Closing it resets it.
    void will_reset() const {
        const linger at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }

    // The head of the next message, or nothing when the other end closes or is silent.
    std::string read_head() { return read_until("\r\n\r\n"); }

    // The body of the next answer.
    std::string read_answer() {
        const std::string head = read_head();
        const std::string field = "Content-Length: ";
        const auto at = head.find(field);
        if (at == std::string::npos) {
            return head.empty() ? "nothing" : head;
        }
        const auto length = std::stoul(head.substr(at + field.size()));
        while (buf_.size() < length && read_more()) {
        }
        std::string out = buf_.substr(0, length);
        buf_.erase(0, length);
        return out;
    }

private:
    std::string read_until(const std::string& mark) {
        auto at = buf_.find(mark);
        while (at == std::string::npos) {
            if (!read_more()) {
                return {};
            }
            at = buf_.find(mark);
        }
        std::string out = buf_.substr(0, at + mark.size());
        buf_.erase(0, at + mark.size());
        return out;
    }

    bool read_more() {
        pollfd ready{fd_, POLLIN, 0};
        if (poll(&ready, 1, static_cast<int>(generous.count())) <= 0) {
            return false;
        }
        char bytes[4096];
        const ssize_t n = read(fd_, bytes, sizeof bytes);
        if (n > 0) {
            buf_.append(bytes, static_cast<std::size_t>(n));
        }
        return n > 0;
    }

    int fd_;
    std::string buf_;
};

// Holds every request until it is told to answer, except those whose path begins with /at-once.
class holding_handler final : public http_handler {
public:
    void handle(http_request request, http_responder respond) override {
        if (request.path.rfind("/at-once", 0) == 0) {
            respond({200, {}, request.path});
        } else {
            held[request.path] = std::move(respond);
        }
    }

    std::map<std::string, http_responder> held;
};

// The server runs in a thread of its own; the test is its callers.
class crossed_answers : public ::testing::Test {
protected:
    void TearDown() override {
        loop_.stop();
        thread_.join();
    }

    template <typename Action>
    auto on_loop(Action action) {
        std::promise<decltype(action())> out;
        loop_.post([&] { out.set_value(action()); });
        return out.get_future().get();
    }

    void wait_until_held(const std::string& path) {
        while (on_loop([&] { return handler_.held.count(path); }) == 0) {
            std::this_thread::sleep_for(poll_pause);
        }
    }

    std::unique_ptr<raw_connection> ask(const std::string& path) {
        auto out = std::make_unique<raw_connection>(server_.listening_on());
        out->ask(path);
        wait_until_held(path);
        return out;
    }

    // May be called again for the same request.
    void answer(const std::string& path) {
        on_loop([&] {
            handler_.held.at(path)({200, {}, path});
            return true;
        });
    }

    // Whatever was sent before is read by the server by then.
    void pass_through_server() {
        raw_connection other(server_.listening_on());
        other.ask("/at-once");
        EXPECT_EQ(other.read_answer(), "/at-once");
    }

    event_loop loop_;
    holding_handler handler_;
    http_server server_{loop_, {loopback, 0}, {}, handler_};
    std::thread thread_{[this] { loop_.run(); }};
};

TEST_F(crossed_answers, stay_away_when_callers_left_before_a_late_answer) {
    constexpr int rounds = 40;
    constexpr int others = 6;
    for (int i = 0; i < rounds; ++i) {
        const std::string round = "/" + std::to_string(i);
        auto closed = ask("/closed" + round);
        auto reset = ask("/reset" + round);
        const auto half_closed = ask("/half" + round);
        closed.reset();
        reset->will_reset();
        reset.reset();
        half_closed->end_sending();
        pass_through_server();
        std::vector<std::unique_ptr<raw_connection>> meanwhile;
        meanwhile.reserve(others);
        for (int j = 0; j < others; ++j) {
            meanwhile.push_back(ask("/other" + std::to_string(j) + round));
        }
        for (const char* it : {"/closed", "/reset", "/half"}) {
            answer(it + round);
        }
        EXPECT_EQ(half_closed->read_answer(), "/half" + round);
        for (int j = 0; j < others; ++j) {
            const std::string path = "/other" + std::to_string(j) + round;
            raw_connection& one = *meanwhile[static_cast<std::size_t>(j)];
            one.ask("/at-once" + path);
            answer(path);
            EXPECT_EQ(one.read_answer(), path);
            EXPECT_EQ(one.read_answer(), "/at-once" + path);
        }
    }
    EXPECT_EQ(on_loop([&] { return server_.open_requests(); }), 0U);
}

TEST_F(crossed_answers, stay_away_when_a_request_is_answered_twice) {
    constexpr int callers = 40;
    std::vector<std::unique_ptr<raw_connection>> asking;
    asking.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        const std::string number = std::to_string(i);
        asking.push_back(ask("/first" + number));
        answer("/first" + number);
        EXPECT_EQ(asking.back()->read_answer(), "/first" + number);
        asking.back()->ask("/next" + number);
        wait_until_held("/next" + number);
    }
    for (int i = 0; i < callers; ++i) {
        answer("/first" + std::to_string(i));
    }
    for (int i = 0; i < callers; ++i) {
        const std::string path = "/next" + std::to_string(i);
        answer(path);
        EXPECT_EQ(asking[static_cast<std::size_t>(i)]->read_answer(), path);
    }
}

// A callee whose every answer is scripted, one thread a connection.
class scripted_callee {
public:
    // Answers a request for `path`; false closes the connection.
    using script = std::function<bool(raw_connection&, const std::string& path)>;

    explicit scripted_callee(script script) : script_(std::move(script)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof address;
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), n), 0);
        listen(listener_, SOMAXCONN);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
        port_ = ntohs(address.sin_port);
        accepting_ = std::thread([this] { accept_all(); });
    }
    scripted_callee(const scripted_callee&) = delete;
    scripted_callee& operator=(const scripted_callee&) = delete;
    ~scripted_callee() {
        shutdown(listener_, SHUT_RDWR);
        accepting_.join();
        for (auto& it : callers_) {
            it.end();
        }
        for (auto& it : serving_) {
            it.join();
        }
        close(listener_);
    }

    endpoint address() const { return {loopback, port_}; }

private:
    void accept_all() {
        for (;;) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            callers_.emplace_back(fd);
            serving_.emplace_back([this, &caller = callers_.back()] { serve(caller); });
        }
    }

    void serve(raw_connection& caller) const {
        for (;;) {
            const std::string head = caller.read_head();
            const auto begin = head.find(' ') + 1;
            if (head.empty() ||
                !script_(caller, head.substr(begin, head.find(' ', begin) - begin))) {
                caller.end();
                return;
            }
        }
    }

    script script_;
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::uint16_t port_ = 0;
    std::thread accepting_;
    std::list<raw_connection> callers_;  // whose addresses the threads know
    std::vector<std::thread> serving_;
};

std::string told(const http_result& result) {
    return result ? std::to_string(result->status) + " " + result->body : result.error().detail;
}

class crossed_calls : public ::testing::Test {
protected:
    http_result call(const endpoint& to, const std::string& path, base::milliseconds timeout) {
        std::optional<http_result> out;
        client_->send(to, {http_method::get, path, "", {}, ""}, timeout, [&](http_result result) {
            out = std::move(result);
            loop_.stop();
        });
        loop_.run();
        return std::move(*out);
    }

    // Calls again and again: at once, or after the loop has seen what else has come. An answer that
    // is told is the request's own, and whole; returns how many were told.
    int calls_answered(const scripted_callee::script& script,
                       base::milliseconds timeout = generous) {
        constexpr int calls = 8;
        int out = 0;
        const scripted_callee callee(script);
        client_ = make_http_client(loop_, {});
        for (int i = 0; i < calls; ++i) {
            const std::string path = "/" + std::to_string(i);
            const auto got = call(callee.address(), path, timeout);
            if (got) {
                ++out;
                EXPECT_EQ(got->status, 200) << path;
                EXPECT_EQ(got->body, path);
            }
            if (i % 2 == 1) {
                const auto pause = loop_.after(poll_pause, [this] { loop_.stop(); });
                loop_.run();
            }
        }
        client_.reset();
        return out;
    }

    event_loop loop_;
    std::unique_ptr<http_client> client_;
};

TEST_F(crossed_calls, take_nothing_that_follows_an_answer) {
    const std::vector<std::string> surplus{answer_text("surplus"), "x",
                                           "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"};
    for (const auto& it : surplus) {
        EXPECT_EQ(calls_answered([&](raw_connection& caller, const std::string& path) {
                      caller.put(answer_text(path) + it);
                      return true;
                  }),
                  8);
    }
}

TEST_F(crossed_calls, take_nothing_that_came_before_they_were_sent) {
    std::promise<void> first_answered;
    std::promise<void> surplus_sent;
    const scripted_callee callee([&](raw_connection& caller, const std::string& path) {
        caller.put(answer_text(path));
        if (path == "/first") {
            first_answered.get_future().wait();
            caller.put(answer_text("surplus"));
            surplus_sent.set_value();
        }
        return true;
    });
    client_ = make_http_client(loop_, {});
    EXPECT_EQ(told(call(callee.address(), "/first", generous)), "200 /first");
    first_answered.set_value();
    surplus_sent.get_future().wait();
    EXPECT_EQ(told(call(callee.address(), "/next", generous)), "200 /next");
    client_.reset();
}

TEST_F(crossed_calls, take_no_body_of_an_answer_without_one) {
    const scripted_callee callee([](raw_connection& caller, const std::string& path) {
        caller.put(path == "/empty" ? "HTTP/1.1 204 Empty\r\n\r\n" + answer_text("surplus")
                                    : answer_text(path));
        return true;
    });
    client_ = make_http_client(loop_, {});
    EXPECT_EQ(told(call(callee.address(), "/empty", generous)), "204 ");
    EXPECT_EQ(told(call(callee.address(), "/next", generous)), "200 /next");
    client_.reset();
}

TEST_F(crossed_calls, take_no_interim_answer_for_the_whole) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    EXPECT_EQ(calls_answered([&](raw_connection& caller, const std::string& path) {
                  caller.put(interim + answer_text(path));
                  return true;
              }),
              0);
    // The answer comes once the connection's next request is there.
    std::map<const raw_connection*, std::string> unanswered;
    EXPECT_EQ(calls_answered([&](raw_connection& caller, const std::string& path) {
                  std::string& last = unanswered[&caller];
                  caller.put(last.empty() ? interim : answer_text(last));
                  last = path;
                  return true;
              }),
              0);
}

TEST_F(crossed_calls, take_no_answer_that_is_cut_short) {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> cut{"",
                                       "HTTP/1.1 200 OK\r\nContent-Len",
                                       "HTTP/1.1 200 OK\r\nContent-Length: 1",
                                       "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n/",
                                       "HTTP/1.1 100 Continue\r\n\r\n",
                                       chunked + "c\r\n/",
                                       chunked + "1\r\n/\r\n",
                                       chunked + "1\r\n/\r\n0\r\n"};
    for (const auto& it : cut) {
        EXPECT_EQ(calls_answered([&](raw_connection& caller, const std::string& /*path*/) {
                      caller.put(it);
                      return false;
                  }),
                  0)
            << it;
    }
}

TEST_F(crossed_calls, take_no_answer_to_a_call_that_gave_up) {
    EXPECT_EQ(calls_answered(
                  [](raw_connection& caller, const std::string& path) {
                      if (path == "/3" || path == "/4") {
                          std::this_thread::sleep_for(2 * short_wait);
                      }
                      caller.put(answer_text(path));
                      return true;
                  },
                  short_wait),
              6);
}

// A large answer over a slow link comes in long after the deadline; to ask anew would only load the
// link more.
TEST_F(crossed_calls, wait_for_an_answer_that_is_coming_in) {
    EXPECT_EQ(calls_answered(
                  [](raw_connection& caller, const std::string& path) {
                      for (const char it : answer_text(path)) {
                          caller.put(std::string(1, it));
                          std::this_thread::sleep_for(2 * poll_pause);
                          if (it == '\n') {
                              std::this_thread::sleep_for(short_wait / 4);
                          }
                      }
                      return true;
                  },
                  short_wait),
              8);
}

TEST_F(crossed_calls, give_up_an_answer_that_has_stopped_coming_in) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(calls_answered(
                  [](raw_connection& caller, const std::string& path) {
                      caller.put(answer_text(path).substr(0, answer_text(path).size() - 1));
                      std::this_thread::sleep_for(8 * short_wait);
                      return false;
                  },
                  short_wait),
              0);
    const auto each = (std::chrono::steady_clock::now() - begin) / 8;
    EXPECT_LT(each, 4 * short_wait);
}

// All connections of a caller fall silent at once while new ones work: one call pays for that.
TEST_F(crossed_calls, leave_connections_that_fell_silent_together) {
    std::mutex mutex;
    std::map<const raw_connection*, int> answered;
    const scripted_callee callee([&](raw_connection& caller, const std::string& path) {
        bool silent = false;
        {
            const std::lock_guard lock(mutex);
            silent = answered[&caller]++ > 0;
        }
        std::this_thread::sleep_for(silent ? 8 * short_wait : short_wait / 4);
        caller.put(answer_text(path));
        return !silent;
    });
    client_ = make_http_client(loop_, {});
    int open = 3;
    for (int i = 0; i < 3; ++i) {
        client_->send(callee.address(), {http_method::get, "/first", "", {}, ""}, generous,
                      [&](const http_result& result) {
                          EXPECT_TRUE(result.has_value());
                          if (--open == 0) {
                              loop_.stop();
                          }
                      });
    }
    loop_.run();
    EXPECT_FALSE(call(callee.address(), "/silent", short_wait).has_value());
    EXPECT_TRUE(call(callee.address(), "/next", short_wait).has_value());
    client_.reset();
}

}  // namespace
