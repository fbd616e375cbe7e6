// The HTTP server, based on libevent's evhttp.
#include <cranberrydock/net/http_server.hpp>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cstdint>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace cranberrydock::net {
namespace {

constexpr int allowed_methods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH | EVHTTP_REQ_DELETE;

http_method method_of(evhttp_cmd_type command) {
    switch (command) {
        case EVHTTP_REQ_POST:
            return http_method::post;
        case EVHTTP_REQ_PUT:
            return http_method::put;
        case EVHTTP_REQ_PATCH:
            return http_method::patch;
        case EVHTTP_REQ_DELETE:
            return http_method::del;
        default:
            return http_method::get;
    }
}

std::string body_of(evbuffer* buf) {
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_copyout(buf, out.data(), out.size());
    return out;
}

http_request read_request(evhttp_request* raw) {
    http_request out;
    out.method = method_of(evhttp_request_get_command(raw));
    const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(raw);
    const char* const path = evhttp_uri_get_path(uri);
    const char* const query = evhttp_uri_get_query(uri);
    out.path = path == nullptr ? "/" : path;
    out.query = query == nullptr ? "" : query;
    const evkeyvalq* const headers = evhttp_request_get_input_headers(raw);
    for (const evkeyval* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        out.headers.push_back({it->key, it->value});
    }
    out.body = body_of(evhttp_request_get_input_buffer(raw));
    return out;
}

void write_response(evhttp_request* raw, const http_response& response) {
    evkeyvalq* const headers = evhttp_request_get_output_headers(raw);
    for (const auto& it : response.headers) {
        evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    }
    evbuffer* const buf = evbuffer_new();
    evbuffer_add(buf, response.body.data(), response.body.size());
    evhttp_send_reply(raw, response.status, nullptr, buf);
    evbuffer_free(buf);
}

constexpr int status_internal_error = 500;

enum class request_number : std::uint64_t {};

// The requests that have no response yet. evhttp keeps a request until it is answered, even if the
// client has disconnected, and may reuse its address for a later request. Requests are therefore
// identified by numbers, which are never reused.
class pending_requests {
public:
    request_number add(evhttp_request* raw) {
        const auto number = static_cast<request_number>(++last_number_);
        by_number_.emplace(number, raw);
        return number;
    }

    // Removes the request. Null if it has already been answered.
    evhttp_request* take(request_number number) {
        const auto it = by_number_.find(number);
        if (it == by_number_.end()) {
            return nullptr;
        }
        evhttp_request* const out = it->second;
        by_number_.erase(it);
        return out;
    }

    void clear() { by_number_.clear(); }
    std::size_t size() const { return by_number_.size(); }

private:
    std::uint64_t last_number_ = 0;
    std::unordered_map<request_number, evhttp_request*> by_number_;
};

}  // namespace

struct http_server::state {
    evhttp* http = nullptr;
    evhttp_bound_socket* socket = nullptr;
    endpoint listen;
    http_handler* handler = nullptr;
    // Responders may outlive the server, so they hold a weak pointer to this object.
    std::shared_ptr<pending_requests> pending = std::make_shared<pending_requests>();

    static void on_request(evhttp_request* raw, void* self) {
        auto* server = static_cast<state*>(self);
        const request_number number = server->pending->add(raw);
        const std::weak_ptr<pending_requests> pending = server->pending;
        const http_responder respond = [pending, number](const http_response& response) {
            const auto requests = pending.lock();
            evhttp_request* const raw = requests ? requests->take(number) : nullptr;
            if (raw != nullptr) {
                write_response(raw, response);
            }
        };
        try {
            server->handler->handle(read_request(raw), respond);
        } catch (const std::exception& error) {
            // One request must not end the process, nor the other requests with it.
            spdlog::error("event=request_failed error=\"{}\"", error.what());
            respond({status_internal_error, {}, ""});
        }
    }
};

http_server::http_server(event_loop& loop, const endpoint& listen, const http_server_limits& limits,
                         http_handler& handler)
    : state_(std::make_unique<state>()) {
    state_->handler = &handler;
    state_->http = evhttp_new(loop.raw());
    evhttp_set_allowed_methods(state_->http, allowed_methods);
    // Reads an oversized body to its end, so that the client receives the error response.
    evhttp_set_flags(state_->http, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_max_body_size(state_->http, limits.max_body.value());
    evhttp_set_max_headers_size(state_->http, limits.max_headers.value());
    evhttp_set_timeout(state_->http, static_cast<int>(limits.idle_timeout.count()));
    evhttp_set_gencb(state_->http, &state::on_request, state_.get());
    state_->socket =
        evhttp_bind_socket_with_handle(state_->http, listen.address.c_str(), listen.port);
    if (state_->socket == nullptr) {
        evhttp_free(state_->http);
        throw std::runtime_error("cannot listen on " + listen.text() +
                                 ": expected a free port on an address of this machine");
    }
    sockaddr_in bound{};
    socklen_t n = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(state_->socket), reinterpret_cast<sockaddr*>(&bound),
                &n);
    state_->listen = {listen.address, ntohs(bound.sin_port)};
}

http_server::~http_server() {
    state_->pending->clear();
    evhttp_free(state_->http);
}

endpoint http_server::listen_endpoint() const {
    return state_->listen;
}

std::size_t http_server::open_requests() const {
    return state_->pending->size();
}

void http_server::stop_accepting() {
    if (state_->socket != nullptr) {
        evhttp_del_accept_socket(state_->http, state_->socket);
        state_->socket = nullptr;
    }
}

}  // namespace cranberrydock::net
