// The HTTP client on evhttp: a small pool of connections an endpoint.
#include <cranberrydock/net/http_client.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <cerrno>
#include <map>
#include <unordered_set>
#include <utility>

namespace cranberrydock::net {
namespace {

evhttp_cmd_type command_of(http_method method) {
    switch (method) {
        case http_method::get:
            return EVHTTP_REQ_GET;
        case http_method::post:
            return EVHTTP_REQ_POST;
        case http_method::put:
            return EVHTTP_REQ_PUT;
        case http_method::patch:
            return EVHTTP_REQ_PATCH;
        case http_method::del:
            return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

// evhttp counts timeouts in whole seconds.
int whole_seconds_beyond(base::milliseconds timeout) {
    return static_cast<int>(std::chrono::duration_cast<base::seconds>(timeout).count()) + 2;
}

http_response read_response(evhttp_request* raw) {
    http_response out;
    out.status = evhttp_request_get_response_code(raw);
    const evkeyvalq* const headers = evhttp_request_get_input_headers(raw);
    for (const evkeyval* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        out.headers.push_back({it->key, it->value});
    }
    evbuffer* const buf = evhttp_request_get_input_buffer(raw);
    out.body.resize(evbuffer_get_length(buf));
    evbuffer_copyout(buf, out.body.data(), out.body.size());
    return out;
}

constexpr int first_final_status = 200;
constexpr int first_priority = 0;
// An answer that is coming in when the deadline passes is waited for as long as more of it comes
// within each such part of the timeout, up to so many times the timeout.
constexpr int progress_checks_a_timeout = 2;
constexpr int longest_answer_in_timeouts = 3;

evbuffer* input_of(evhttp_connection* connection) {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
}

// Whether the connection stands and nothing has come on it since the last answer. What has come
// would be taken for the answer to the next request.
bool is_quiet(evhttp_connection* connection) {
    if (evbuffer_get_length(input_of(connection)) > 0) {
        return false;
    }
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    char next = 0;
    const auto n = recv(bufferevent_getfd(stream), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class pooled_client;

// One request under way. It owns its connection until the answer is there.
struct call {
    pooled_client* client = nullptr;
    endpoint to;
    evhttp_connection* connection = nullptr;
    bool reused = false;
    http_callback done;
    std::unique_ptr<timer> deadline;
    base::time_point sent{};
    base::time_point last_moment{};  // also for an answer that is coming in
    base::milliseconds progress_period{0};
    std::size_t received = 0;         // bytes on the connection
    std::size_t received_before = 0;  // when the deadline was looked at last
};

void count_received(evbuffer* /*input*/, const evbuffer_cb_info* info, void* self) {
    static_cast<call*>(self)->received += info->n_added;
}

struct idle_connection {
    evhttp_connection* connection = nullptr;
    base::time_point since;
};

class pooled_client final : public http_client {
public:
    pooled_client(event_loop& loop, const http_client_limits& limits)
        : loop_(loop), limits_(limits) {}
    pooled_client(const pooled_client&) = delete;
    pooled_client& operator=(const pooled_client&) = delete;

    ~pooled_client() override {
        for (call* it : calls_) {
            evhttp_connection_free(it->connection);
            delete it;
        }
        for (auto& it : idle_) {
            evhttp_connection_free(it.second.connection);
        }
    }

    void send(const endpoint& to, http_request request, base::milliseconds timeout,
              http_callback done) override {
        auto* one = new call;
        one->client = this;
        one->to = to;
        one->done = std::move(done);
        one->connection = take_idle(to);
        one->reused = one->connection != nullptr;
        if (!one->reused) {
            one->connection =
                evhttp_connection_base_new(loop_.raw(), nullptr, to.address.c_str(), to.port);
        }
        calls_.insert(one);
        // evhttp's own timeout, 50 s when nothing is said, must not come before the deadline.
        evhttp_connection_set_timeout(one->connection, whole_seconds_beyond(timeout));
        evbuffer_add_cb(input_of(one->connection), &count_received, one);
        one->sent = clock_.now();
        one->last_moment = clock_.now() + timeout * longest_answer_in_timeouts;
        one->progress_period = timeout / progress_checks_a_timeout;
        one->deadline = loop_.after(timeout, [this, one] { deadline_passed(one); });
        write(one, request);
    }

private:
    // Asking anew for an answer that is coming in would only load the network more.
    void deadline_passed(call* one) {
        if (one->received > one->received_before && clock_.now() < one->last_moment) {
            one->received_before = one->received;
            one->deadline =
                loop_.after(one->progress_period, [this, one] { deadline_passed(one); });
            return;
        }
        if (one->reused) {
            drop_idle(one->to, one->sent);
        }
        finish(one, tl::unexpected(http_error{http_failure::answer_lost, "deadline passed"}),
               false);
    }

    void write(call* one, const http_request& request) {
        evhttp_request* const raw = evhttp_request_new(&pooled_client::on_answer, one);
        evkeyvalq* const headers = evhttp_request_get_output_headers(raw);
        if (request.header("Host").empty()) {
            evhttp_add_header(headers, "Host", one->to.text().c_str());
        }
        if (request.method == http_method::patch) {
            // evhttp states the length of POST and PUT only; without it the body would not be read.
            evhttp_add_header(headers, "Content-Length",
                              std::to_string(request.body.size()).c_str());
        }
        for (const auto& it : request.headers) {
            evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(),
                     request.body.size());
        const std::string target =
            request.query.empty() ? request.path : request.path + "?" + request.query;
        if (evhttp_make_request(one->connection, raw, command_of(request.method), target.c_str()) !=
            0) {
            // evhttp has freed the request. The callback must not run inside send().
            one->deadline = loop_.after(base::duration{0}, [this, one] {
                finish(one, tl::unexpected(http_error{http_failure::not_sent, "cannot connect"}),
                       false);
            });
        } else if (limits_.read_first) {
            // Connecting has reset it.
            bufferevent_priority_set(evhttp_connection_get_bufferevent(one->connection),
                                     first_priority);
        }
    }

    static void on_answer(evhttp_request* raw, void* arg) {
        auto* one = static_cast<call*>(arg);
        pooled_client* const client = one->client;
        if (client->calls_.count(one) == 0) {
            return;
        }
        const int status = raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
        if (status >= first_final_status) {
            client->finish_later(one, read_response(raw), true);
            return;
        }
        if (status != 0) {
            // evhttp ends the request here; its answer is still to come on the connection.
            client->finish_later(
                one, tl::unexpected(http_error{http_failure::answer_lost, "interim answer"}),
                false);
            return;
        }
        // evhttp hands over an empty request when the connection never stood, and none at all when
        // it broke later. On a reused connection it can't be told, so the worse is assumed.
        const bool never_stood = raw != nullptr && !one->reused;
        const http_error error = never_stood
                                     ? http_error{http_failure::not_sent, "cannot connect"}
                                     : http_error{http_failure::answer_lost, "connection lost"};
        client->finish_later(one, tl::unexpected(error), false);
    }

    // evhttp is still using the connection inside its callback, so the end is put off by one turn.
    void finish_later(call* one, http_result result, bool reusable) {
        one->deadline = loop_.after(base::duration{0},
                                    [this, one, result = std::move(result), reusable]() mutable {
                                        finish(one, std::move(result), reusable);
                                    });
    }

    void finish(call* one, http_result result, bool reusable) {
        calls_.erase(one);
        const std::unique_ptr<call> owned(one);
        evbuffer_remove_cb(input_of(one->connection), &count_received, one);
        if (reusable && idle_.count(one->to) < limits_.max_idle_per_endpoint) {
            idle_.emplace(one->to, idle_connection{one->connection, clock_.now()});
        } else {
            evhttp_connection_free(one->connection);
        }
        one->done(std::move(result));
    }

    // A young idle connection to that endpoint, or null. Drops the others that it meets.
    evhttp_connection* take_idle(const endpoint& to) {
        auto range = idle_.equal_range(to);
        for (auto it = range.first; it != range.second;) {
            const idle_connection found = it->second;
            it = idle_.erase(it);
            if (clock_.now() - found.since < limits_.max_idle_time && is_quiet(found.connection)) {
                return found.connection;
            }
            evhttp_connection_free(found.connection);
        }
        return nullptr;
    }

    // Where one connection has fallen silent, others that nothing has come on since may have, too.
    void drop_idle(const endpoint& to, base::time_point unused_since) {
        auto range = idle_.equal_range(to);
        for (auto it = range.first; it != range.second;) {
            if (it->second.since < unused_since) {
                evhttp_connection_free(it->second.connection);
                it = idle_.erase(it);
            } else {
                ++it;
            }
        }
    }

    event_loop& loop_;
    http_client_limits limits_;
    base::monotonic_clock clock_;
    std::unordered_set<call*> calls_;
    std::multimap<endpoint, idle_connection> idle_;
};

}  // namespace

std::unique_ptr<http_client> make_http_client(event_loop& loop, const http_client_limits& limits) {
    return std::make_unique<pooled_client>(loop, limits);
}

}  // namespace cranberrydock::net
