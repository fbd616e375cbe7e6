// HTTP callers and servers that send exactly the bytes that a test gives them, and a test fixture
// that calls such a server.
#pragma once

#include <cranberrydock/net/http_client.hpp>

#include "cluster.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

constexpr base::milliseconds short_wait{200};
constexpr base::milliseconds poll_pause{2};
inline const char* const loopback = "127.0.0.1";

// A complete response with status 200.
inline std::string response_text(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One end of a TCP connection, with blocking calls. Owns the socket.
class raw_connection {
public:
    explicit raw_connection(int fd) : fd_(fd) {}
    explicit raw_connection(const net::endpoint& to)
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

    void send_text(const std::string& text) const {
        send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    void send_get(const std::string& path) const {
        send_text("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n");
    }
    void end_sending() const { shutdown(fd_, SHUT_WR); }
    void shut_down() const { shutdown(fd_, SHUT_RDWR); }
    // From now on, closing the socket resets the connection.
    void reset_on_close() const {
        const linger zero_timeout{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &zero_timeout, sizeof zero_timeout);
    }

    // Reads the head of the next message. Returns "" if the other end closes the connection or
    // sends nothing for `generous`.
    std::string read_message_head() { return read_until("\r\n\r\n"); }

    // Waits for bytes and returns at most `limit` of those that have arrived; "" if the other end
    // closes the connection.
    std::string read_part(std::size_t limit) const {
        std::string out(limit, '\0');
        const ssize_t n = recv(fd_, out.data(), limit, 0);
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }

    // Reads the next response and returns its body; without a Content-Length its head, and
    // "nothing" if no response comes.
    std::string read_response_body() {
        const std::string head = read_message_head();
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
    std::string read_until(const std::string& terminator) {
        auto at = buf_.find(terminator);
        while (at == std::string::npos) {
            if (!read_more()) {
                return {};
            }
            at = buf_.find(terminator);
        }
        std::string out = buf_.substr(0, at + terminator.size());
        buf_.erase(0, at + terminator.size());
        return out;
    }

    bool read_more() {
        pollfd ready{fd_, POLLIN, 0};
        if (poll(&ready, 1, static_cast<int>(generous_timeout.count())) <= 0) {
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

// A server whose responses are scripted. Each connection has a thread of its own, which runs the
// script.
class scripted_server {
public:
    // Responds to a request for `path`. Returning false closes the connection.
    using script = std::function<bool(raw_connection&, const std::string& path)>;

    explicit scripted_server(script script) : script_(std::move(script)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof address;
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), n), 0);
        listen(listener_, SOMAXCONN);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
        port_ = ntohs(address.sin_port);
        accept_thread_ = std::thread([this] { accept_connections(); });
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server() {
        shutdown(listener_, SHUT_RDWR);
        accept_thread_.join();
        for (auto& it : connections_) {
            it.shut_down();
        }
        for (auto& it : connection_threads_) {
            it.join();
        }
        close(listener_);
    }

    net::endpoint address() const { return {loopback, port_}; }

private:
    void accept_connections() {
        for (;;) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            connections_.emplace_back(fd);
            connection_threads_.emplace_back(
                [this, &caller = connections_.back()] { serve(caller); });
        }
    }

    void serve(raw_connection& caller) const {
        for (;;) {
            const std::string head = caller.read_message_head();
            const auto begin = head.find(' ') + 1;
            if (head.empty() ||
                !script_(caller, head.substr(begin, head.find(' ', begin) - begin))) {
                caller.shut_down();
                return;
            }
        }
    }

    script script_;
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::uint16_t port_ = 0;
    std::thread accept_thread_;
    std::list<raw_connection> connections_;  // a list: the threads keep references
    std::vector<std::thread> connection_threads_;
};

class scripted_server_test : public ::testing::Test {
protected:
    net::http_result call(const net::endpoint& to, const std::string& path,
                          base::milliseconds timeout) {
        std::optional<net::http_result> out;
        client_->send(to, {net::http_method::get, path, "", {}, ""}, timeout,
                      [&](net::http_result result) {
                          out = std::move(result);
                          loop_.stop();
                      });
        loop_.run();
        return std::move(*out);
    }

    // Makes 8 calls to a scripted server and returns the number of responses that the client
    // reported. Each of them must be complete and belong to its request. After every second call
    // the loop runs for 2 ms, so that it handles bytes or a close that came after the response.
    int count_answered_calls(const scripted_server::script& script,
                             base::milliseconds timeout = generous_timeout) {
        constexpr int calls = 8;
        int response_count = 0;
        const scripted_server callee(script);
        client_ = net::make_http_client(loop_, {});
        for (int i = 0; i < calls; ++i) {
            const std::string path = "/" + std::to_string(i);
            const auto response = call(callee.address(), path, timeout);
            if (response) {
                ++response_count;
                EXPECT_EQ(response->status, 200) << path;
                EXPECT_EQ(response->body, path);
            }
            if (i % 2 == 1) {
                const auto pause = loop_.after(poll_pause, [this] { loop_.stop(); });
                loop_.run();
            }
        }
        client_.reset();
        return response_count;
    }

    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_;
};

}  // namespace cranberrydock::standins
