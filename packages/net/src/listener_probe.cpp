// Asks by a connection of its own, for HTTP clients don't tell why none was made.
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
            return listener_state::nothing_listens;
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
        for (attempt* it : attempts_) {
            destroy(it);
        }
    }

    void ask(const endpoint& to, base::milliseconds timeout,
             std::function<void(listener_state)> done) override {
        auto* const one = new attempt;
        one->probe = this;
        one->done = std::move(done);
        attempts_.insert(one);
        const int error = connect_to(*one, to);
        if (error != EINPROGRESS) {
            finish_later(one, state_of(error));
            return;
        }
        one->writable =
            event_new(loop_.raw(), one->fd, EV_WRITE, &connecting_probe::connected, one);
        event_add(one->writable, nullptr);
        one->deadline = loop_.after(timeout, [this, one] { finish(one, listener_state::unknown); });
    }

private:
    struct attempt {
        connecting_probe* probe = nullptr;
        int fd = -1;
        event* writable = nullptr;
        std::unique_ptr<net::timer> deadline;
        std::function<void(listener_state)> done;
    };

    // 0 when the connection stands at once, EINPROGRESS when that has to be waited for.
    static int connect_to(attempt& one, const endpoint& to) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        if (inet_pton(AF_INET, to.address.c_str(), &address.sin_addr) != 1) {
            return EINVAL;
        }
        one.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (one.fd < 0) {
            return errno;
        }
        return connect(one.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 ? 0
                                                                                           : errno;
    }

    static void connected(evutil_socket_t fd, short /*what*/, void* self) {
        auto* const one = static_cast<attempt*>(self);
        int error = 0;
        socklen_t n = sizeof error;
        if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0) {
            error = errno;
        }
        one->probe->finish(one, state_of(error));
    }

    void finish_later(attempt* one, listener_state state) {
        one->deadline = loop_.after(base::duration{0}, [this, one, state] { finish(one, state); });
    }

    void finish(attempt* one, listener_state state) {
        attempts_.erase(one);
        const auto done = std::move(one->done);
        destroy(one);
        done(state);
    }

    static void destroy(attempt* one) {
        if (one->writable != nullptr) {
            event_free(one->writable);
        }
        if (one->fd >= 0) {
            close(one->fd);
        }
        delete one;
    }

    event_loop& loop_;
    std::unordered_set<attempt*> attempts_;
};

}  // namespace

std::unique_ptr<listener_probe> make_listener_probe(event_loop& loop) {
    return std::make_unique<connecting_probe>(loop);
}

}  // namespace cranberrydock::net
