// The HTTP server on evhttp.
#include <cranberrydock/net/http_server.hpp>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>
#include <unordered_set>
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

}  // namespace

struct http_server::state {
    evhttp* http = nullptr;
    evhttp_bound_socket* socket = nullptr;
    endpoint listen;
    http_handler* handler = nullptr;
    // Requests whose connection still stands and that were not answered. A responder may outlive
    // the server, so it holds this set by a weak pointer.
    std::shared_ptr<std::unordered_set<evhttp_request*>> open =
        std::make_shared<std::unordered_set<evhttp_request*>>();

    static void on_request(evhttp_request* raw, void* self) {
        auto* server = static_cast<state*>(self);
        server->open->insert(raw);
        evhttp_request_set_on_complete_cb(raw, nullptr, nullptr);
        evhttp_connection_set_closecb(evhttp_request_get_connection(raw), &state::on_close, self);
        std::weak_ptr<std::unordered_set<evhttp_request*>> open = server->open;
        server->handler->handle(read_request(raw), [open, raw](const http_response& response) {
            const auto still_open = open.lock();
            if (still_open && still_open->erase(raw) > 0) {
                write_response(raw, response);
            }
        });
    }

    // The caller has gone: its request must not be answered any more, for evhttp frees it.
    static void on_close(evhttp_connection* connection, void* self) {
        auto& open = *static_cast<state*>(self)->open;
        for (auto it = open.begin(); it != open.end();) {
            it = evhttp_request_get_connection(*it) == connection ? open.erase(it) : std::next(it);
        }
    }
};

http_server::http_server(event_loop& loop, const endpoint& listen, const http_server_limits& limits,
                         http_handler& handler)
    : state_(std::make_unique<state>()) {
    state_->handler = &handler;
    state_->http = evhttp_new(loop.raw());
    evhttp_set_allowed_methods(state_->http, allowed_methods);
    // A body that is too large is read to its end, so that its sender gets the refusal.
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
    state_->open->clear();
    evhttp_free(state_->http);
}

endpoint http_server::listening_on() const {
    return state_->listen;
}

std::size_t http_server::open_requests() const {
    return state_->open->size();
}

void http_server::stop_accepting() {
    if (state_->socket != nullptr) {
        evhttp_del_accept_socket(state_->http, state_->socket);
        state_->socket = nullptr;
    }
}

}  // namespace cranberrydock::net
