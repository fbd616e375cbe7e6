// Implements the websocket protocol with websocketpp and its iostream transport, which does not
// handle sockets.
#include "websocket.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <exception>
#include <system_error>
#include <utility>
#include <vector>

namespace cranberrydock::mesh::detail {
namespace {

// The opening handshake consists of a few short headers without a body.
constexpr std::size_t max_handshake_body = 1024;

// A protocol error closes the connection at once. The library's closing handshake would wait for
// the other end, and the iostream transport has no timers that could bound the wait.
template <typename Base>
struct mesh_config : Base {
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    static const bool drop_on_protocol_error = true;
    static const std::size_t max_http_body_size = max_handshake_body;
};

using client = websocketpp::client<mesh_config<websocketpp::config::core_client>>;
using server = websocketpp::server<mesh_config<websocketpp::config::core>>;
using websocketpp::connection_hdl;

template <typename Endpoint>
class endpoint_websocket final : public websocket {
public:
    using connection = typename Endpoint::connection_ptr;

    endpoint_websocket(connection handle, websocket_events& events)
        : connection_(std::move(handle)), events_(&events) {
        connection_->set_open_handler([this](const connection_hdl&) { report_open(); });
        connection_->set_fail_handler([this](const connection_hdl&) { report_library_close(); });
        connection_->set_close_handler([this](const connection_hdl&) { report_library_close(); });
        connection_->set_message_handler(
            [this](const connection_hdl&, const typename Endpoint::message_ptr& message) {
                if (events_ != nullptr) {
                    events_->on_websocket_frame(message->get_payload());
                }
            });
        connection_->set_write_handler([this](const connection_hdl&, const char* data,
                                              std::size_t n) { return write(data, n); });
        connection_->set_vector_write_handler(
            [this](const connection_hdl&,
                   const std::vector<websocketpp::transport::buffer>& buffers) {
                for (const auto& it : buffers) {
                    write(it.buf, it.len);
                }
                return std::error_code();
            });
    }
    endpoint_websocket(const endpoint_websocket&) = delete;
    endpoint_websocket& operator=(const endpoint_websocket&) = delete;

    // The transport's pending read holds a reference to the connection; eof() completes the read
    // and releases it.
    ~endpoint_websocket() override {
        events_ = nullptr;
        connection_->eof();
    }

    void start() override { connection_->start(); }

    void receive(const char* data, std::size_t n) override {
        try {
            connection_->read_all(data, n);
        } catch (const std::exception& ex) {
            // The library's parsers throw exceptions on some malformed input.
            report_closed(std::string("malformed input: ") + ex.what());
        }
    }

    bool send(const std::string& frame) override {
        return !connection_->send(frame, websocketpp::frame::opcode::binary);
    }

private:
    void report_open() {
        if (events_ != nullptr) {
            events_->on_websocket_open();
        }
    }

    void report_library_close() { report_closed(connection_->get_ec().message()); }

    void report_closed(const std::string& cause) {
        if (events_ != nullptr) {
            std::exchange(events_, nullptr)->on_websocket_closed(cause);
        }
    }

    std::error_code write(const char* data, std::size_t n) {
        if (events_ != nullptr) {
            events_->write_bytes(data, n);
        }
        return {};
    }

    connection connection_;
    websocket_events* events_;  // null after the end was reported
};

class websocketpp_factory final : public websocket_factory {
public:
    explicit websocketpp_factory(base::byte_count max_frame) {
        client_.set_max_message_size(static_cast<std::size_t>(max_frame.value()));
        server_.set_max_message_size(static_cast<std::size_t>(max_frame.value()));
    }

    std::unique_ptr<websocket> make_client(const std::string& host,
                                           websocket_events& events) override {
        websocketpp::lib::error_code ec;
        auto new_connection = client_.get_connection("ws://" + host + "/mesh", ec);
        if (ec) {
            return nullptr;
        }
        return std::make_unique<endpoint_websocket<client>>(std::move(new_connection), events);
    }

    std::unique_ptr<websocket> make_server(websocket_events& events) override {
        return std::make_unique<endpoint_websocket<server>>(server_.get_connection(), events);
    }

private:
    client client_;
    server server_;
};

}  // namespace

std::unique_ptr<websocket_factory> make_websocket_factory(base::byte_count max_frame) {
    return std::make_unique<websocketpp_factory>(max_frame);
}

}  // namespace cranberrydock::mesh::detail
