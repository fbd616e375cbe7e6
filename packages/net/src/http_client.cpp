// The HTTP client, based on libevent's evhttp, with a small connection pool per endpoint.
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

// A timeout in whole seconds, as evhttp requires, that expires later than `timeout`.
int evhttp_timeout_s(base::milliseconds timeout) {
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
constexpr int highest_priority = 0;
// If a response is being received when the deadline passes, the request continues as long as more
// data arrives in each half of the timeout, up to three times the timeout in total.
constexpr int progress_checks_per_timeout = 2;
constexpr int final_deadline_in_timeouts = 3;

evbuffer* input_of(evhttp_connection* connection) {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
}

// Whether the connection is open and nothing has been received on it since the last response.
// Unread input would be taken for the response to the next request.
bool is_reusable(evhttp_connection* connection) {
    if (evbuffer_get_length(input_of(connection)) > 0) {
        return false;
    }
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    char next = 0;
    const auto n = recv(bufferevent_getfd(stream), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class pooled_client;

// A request in progress. It owns its connection until the request ends.
struct pending_call {
    pooled_client* client = nullptr;
    endpoint destination;
    evhttp_connection* connection = nullptr;
    bool reused = false;
    http_callback done;
    std::unique_ptr<timer> deadline;
    base::time_point sent{};
    base::time_point final_deadline{};  // applies even while a response is being received
    base::milliseconds progress_period{0};
    std::size_t received = 0;                // bytes on the connection
    std::size_t received_at_last_check = 0;  // `received` at the last deadline check
};

void count_received(evbuffer* /*input*/, const evbuffer_cb_info* info, void* self) {
    static_cast<pending_call*>(self)->received += info->n_added;
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
        for (pending_call* it : calls_) {
            evhttp_connection_free(it->connection);
            delete it;
        }
        for (auto& it : idle_) {
            evhttp_connection_free(it.second.connection);
        }
    }

    void send(const endpoint& destination, http_request request, base::milliseconds timeout,
              http_callback done) override {
        auto* call = new pending_call;
        call->client = this;
        call->destination = destination;
        call->done = std::move(done);
        call->connection = take_idle_connection(destination);
        call->reused = call->connection != nullptr;
        if (!call->reused) {
            call->connection = evhttp_connection_base_new(
                loop_.raw(), nullptr, destination.address.c_str(), destination.port);
        }
        calls_.insert(call);
        // evhttp's own timeout, 50 s by default, must not expire before the deadline.
        evhttp_connection_set_timeout(call->connection, evhttp_timeout_s(timeout));
        evbuffer_add_cb(input_of(call->connection), &count_received, call);
        call->sent = clock_.now();
        call->final_deadline = clock_.now() + timeout * final_deadline_in_timeouts;
        call->progress_period = timeout / progress_checks_per_timeout;
        call->deadline = loop_.after(timeout, [this, call] { deadline_passed(call); });
        write(call, request);
    }

private:
    // A response that is being received may continue: repeating the request would only increase the
    // load on the network.
    void deadline_passed(pending_call* call) {
        if (call->received > call->received_at_last_check && clock_.now() < call->final_deadline) {
            call->received_at_last_check = call->received;
            call->deadline =
                loop_.after(call->progress_period, [this, call] { deadline_passed(call); });
            return;
        }
        if (call->reused) {
            close_idle_connections(call->destination, call->sent);
        }
        finish(call, tl::unexpected(http_error{http_failure::answer_lost, "deadline passed"}),
               false);
    }

    void write(pending_call* call, const http_request& request) {
        evhttp_request* const raw = evhttp_request_new(&pooled_client::on_response, call);
        evkeyvalq* const headers = evhttp_request_get_output_headers(raw);
        if (request.header("Host").empty()) {
            evhttp_add_header(headers, "Host", call->destination.text().c_str());
        }
        if (request.method == http_method::patch) {
            // evhttp sets Content-Length for POST and PUT only; without it the server would not
            // read the body.
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
        if (evhttp_make_request(call->connection, raw, command_of(request.method),
                                target.c_str()) != 0) {
            // evhttp has freed the request. The callback must not run before send() returns.
            call->deadline = loop_.after(base::duration{0}, [this, call] {
                finish(call, tl::unexpected(http_error{http_failure::not_sent, "cannot connect"}),
                       false);
            });
        } else if (limits_.prioritize_reads) {
            // Connecting has reset the priority.
            bufferevent_priority_set(evhttp_connection_get_bufferevent(call->connection),
                                     highest_priority);
        }
    }

    static void on_response(evhttp_request* raw, void* arg) {
        auto* call = static_cast<pending_call*>(arg);
        pooled_client* const client = call->client;
        if (client->calls_.count(call) == 0) {
            return;
        }
        const int status = raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
        if (status >= first_final_status) {
            client->finish_later(call, read_response(raw), true);
            return;
        }
        if (status != 0) {
            // evhttp ends the request at an interim response. The final one is still to come on the
            // connection, which therefore can't be reused.
            client->finish_later(
                call, tl::unexpected(http_error{http_failure::answer_lost, "interim response"}),
                false);
            return;
        }
        // evhttp passes an empty request if the connection was never established, and null if it
        // broke later. On a reused connection the two can't be distinguished, so the request is
        // assumed to have been sent.
        const bool connect_failed = raw != nullptr && !call->reused;
        const http_error error = connect_failed
                                     ? http_error{http_failure::not_sent, "cannot connect"}
                                     : http_error{http_failure::answer_lost, "connection lost"};
        client->finish_later(call, tl::unexpected(error), false);
    }

    // evhttp still uses the connection during its callback, so finish() runs in the next iteration
    // of the loop.
    void finish_later(pending_call* call, http_result result, bool reusable) {
        call->deadline = loop_.after(base::duration{0},
                                     [this, call, result = std::move(result), reusable]() mutable {
                                         finish(call, std::move(result), reusable);
                                     });
    }

    void finish(pending_call* call, http_result result, bool reusable) {
        calls_.erase(call);
        const std::unique_ptr<pending_call> owned(call);
        evbuffer_remove_cb(input_of(call->connection), &count_received, call);
        if (reusable && idle_.count(call->destination) < limits_.max_idle_per_endpoint) {
            idle_.emplace(call->destination, idle_connection{call->connection, clock_.now()});
        } else {
            evhttp_connection_free(call->connection);
        }
        call->done(std::move(result));
    }

    // Takes an idle connection to `destination` that is still reusable, or returns null. Closes
    // the expired and unusable connections that it encounters.
    evhttp_connection* take_idle_connection(const endpoint& destination) {
        auto range = idle_.equal_range(destination);
        for (auto it = range.first; it != range.second;) {
            const idle_connection candidate = it->second;
            it = idle_.erase(it);
            if (clock_.now() - candidate.since < limits_.max_idle_time &&
                is_reusable(candidate.connection)) {
                return candidate.connection;
            }
            evhttp_connection_free(candidate.connection);
        }
        return nullptr;
    }

    // After one connection has become unresponsive, others to the same endpoint that have been idle
    // since before `unused_since` may be unresponsive too, so they are closed.
    void close_idle_connections(const endpoint& destination, base::time_point unused_since) {
        auto range = idle_.equal_range(destination);
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
    std::unordered_set<pending_call*> calls_;
    std::multimap<endpoint, idle_connection> idle_;
};

}  // namespace

std::unique_ptr<http_client> make_http_client(event_loop& loop, const http_client_limits& limits) {
    return std::make_unique<pooled_client>(loop, limits);
}

}  // namespace cranberrydock::net
