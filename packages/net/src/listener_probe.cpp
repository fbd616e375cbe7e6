// Opens a TCP connection of its own, because evhttp does not report why a connection failed.
#include <cranberrydock/net/listener_probe.hpp>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <unordered_set>
#include <utility>

namespace cranberrydock::net {
namespace {

listener_state state_of(int error) {
    switch (error) {
        case 0:
            return listener_state::listens;
        case ECONNREFUSED:
            return listener_state::connection_refused;
        default:
            return listener_state::unknown;
    }
}

class connecting_probe final : public listener_probe {
public:
    explicit connecting_probe(event_loop& loop) : loop_(loop) {}
    connecting_probe(const connecting_probe&) = delete;
    connecting_probe& operator=(const connecting_probe&) = delete;
    ~connecting_probe() override {
        for (connect_attempt* it : attempts_) {
            destroy(it);
        }
    }

    void probe(const endpoint& destination, base::milliseconds timeout,
               std::function<void(listener_state)> done) override {
        auto* const attempt = new connect_attempt;
        attempt->probe = this;
        attempt->done = std::move(done);
        attempts_.insert(attempt);
        const int error = connect_to(*attempt, destination);
        if (error != EINPROGRESS) {
            finish_later(attempt, state_of(error));
            return;
        }
        attempt->writable =
            event_new(loop_.raw(), attempt->fd, EV_WRITE, &connecting_probe::connected, attempt);
        event_add(attempt->writable, nullptr);
        attempt->deadline =
            loop_.after(timeout, [this, attempt] { finish(attempt, listener_state::unknown); });
    }

private:
    struct connect_attempt {
        connecting_probe* probe = nullptr;
        int fd = -1;
        event* writable = nullptr;
        std::unique_ptr<net::timer> deadline;
        std::function<void(listener_state)> done;
    };

    // Starts the connection. Returns 0 if it is established at once, EINPROGRESS if it is pending,
    // or the errno of the failure.
    static int connect_to(connect_attempt& attempt, const endpoint& destination) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(destination.port);
        if (inet_pton(AF_INET, destination.address.c_str(), &address.sin_addr) != 1) {
            return EINVAL;
        }
        attempt.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (attempt.fd < 0) {
            return errno;
        }
        return connect(attempt.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
                   ? 0
                   : errno;
    }

    static void connected(evutil_socket_t fd, short /*events*/, void* self) {
        auto* const attempt = static_cast<connect_attempt*>(self);
        int error = 0;
        socklen_t n = sizeof error;
        if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0) {
            error = errno;
        }
        attempt->probe->finish(attempt, state_of(error));
    }

    void finish_later(connect_attempt* attempt, listener_state state) {
        attempt->deadline =
            loop_.after(base::duration{0}, [this, attempt, state] { finish(attempt, state); });
    }

    void finish(connect_attempt* attempt, listener_state state) {
        attempts_.erase(attempt);
        const auto done = std::move(attempt->done);
        destroy(attempt);
        done(state);
    }

    static void destroy(connect_attempt* attempt) {
        if (attempt->writable != nullptr) {
            event_free(attempt->writable);
        }
        if (attempt->fd >= 0) {
            close(attempt->fd);
        }
        delete attempt;
    }

    event_loop& loop_;
    std::unordered_set<connect_attempt*> attempts_;
};

}  // namespace

std::unique_ptr<listener_probe> make_listener_probe(event_loop& loop) {
    return std::make_unique<connecting_probe>(loop);
}

}  // namespace cranberrydock::net
