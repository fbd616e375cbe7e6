// The platform's interfaces over HTTP.
#include <cranberrydock/platform/http_platform.hpp>
#include <cranberrydock/platform/store_codec.hpp>
#include <cranberrydock/platform/vm_codec.hpp>

#include "http_status.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::platform {
namespace {

using detail::refused_unprocessed;
using detail::status_conflict;
using detail::status_not_found;
using detail::status_ok;
using detail::status_unavailable;

constexpr const char* cbor_type = "application/cbor";

store_error store_error_of(const net::http_result& result) {
    if (!result) {
        return result.error().failure == net::http_failure::not_sent ? store_error::unavailable
                                                                     : store_error::answer_lost;
    }
    if (result->status == status_conflict) {
        return store_error::conflict;
    }
    if (refused_unprocessed(result->status)) {
        spdlog::warn("event=store_call_refused status={} detail=\"{}\"", result->status,
                     result->body);
        return store_error::unavailable;
    }
    return result->status == status_unavailable ? store_error::unavailable
                                                : store_error::answer_lost;
}

// Returns an HTTP callback that decodes a successful answer with `decode` and passes the result, or
// the error, to `done`.
template <typename Value, typename Decode>
net::http_callback make_decoding_callback(
    Decode decode, std::function<void(tl::expected<Value, store_error>)> done) {
    return [decode, done = std::move(done)](const net::http_result& result) {
        if (!result || result->status != status_ok) {
            done(tl::unexpected(store_error_of(result)));
            return;
        }
        auto value = decode(result->body);
        if (!value) {
            spdlog::warn("event=store_answer_malformed detail=\"{}\"", value.error().text());
            done(tl::unexpected(store_error::answer_lost));
            return;
        }
        done(std::move(*value));
    };
}

net::http_request cbor_post(const char* path, std::string body) {
    return {net::http_method::post, path, "", {{"Content-Type", cbor_type}}, std::move(body)};
}

class http_table_service final : public table_service {
public:
    http_table_service(net::http_client& client, net::endpoint service, base::milliseconds timeout)
        : client_(client), service_(std::move(service)), timeout_(timeout) {}

    void read(const row_key& key, read_callback done) override {
        client_.send(service_, cbor_post(table_read_path, encode(key)), timeout_,
                     make_decoding_callback<std::optional<row>>(&decode_row, std::move(done)));
    }

    void scan(const row_key& prefix, const row_key& after, std::size_t limit,
              scan_callback done) override {
        client_.send(
            service_, cbor_post(table_scan_path, encode(scan_request{prefix, after, limit})),
            timeout_, make_decoding_callback<std::vector<row>>(&decode_rows, std::move(done)));
    }

    void commit(transaction changes, commit_callback done) override {
        client_.send(service_, cbor_post(table_commit_path, encode(changes)), timeout_,
                     make_decoding_callback<commit_result>(&decode_commit_result, std::move(done)));
    }

private:
    net::http_client& client_;
    net::endpoint service_;
    base::milliseconds timeout_;
};

class http_object_store final : public object_store {
public:
    http_object_store(net::http_client& client, net::endpoint service, base::milliseconds timeout)
        : client_(client), service_(std::move(service)), timeout_(timeout) {}

    void get(const object_name& name, get_callback done) override {
        client_.send(service_, {net::http_method::get, objects_path, object_query(name), {}, ""},
                     timeout_, [done = std::move(done)](const net::http_result& result) {
                         if (result && result->status == status_ok) {
                             done(result->body);
                         } else if (result && result->status == status_not_found) {
                             done(std::nullopt);
                         } else {
                             done(tl::unexpected(store_error_of(result)));
                         }
                     });
    }

    void put(const object_name& name, std::string content, put_callback done) override {
        client_.send(
            service_,
            {net::http_method::put, objects_path, object_query(name), {}, std::move(content)},
            timeout_, [done = std::move(done)](const net::http_result& result) {
                if (result && result->status == status_ok) {
                    done({});
                } else {
                    done(tl::unexpected(store_error_of(result)));
                }
            });
    }

private:
    net::http_client& client_;
    net::endpoint service_;
    base::milliseconds timeout_;
};

class http_member_list final : public member_list {
public:
    http_member_list(net::http_client& client, net::endpoint service, base::milliseconds timeout)
        : client_(client), service_(std::move(service)), timeout_(timeout) {}

    void read(members_callback done) override {
        client_.send(service_, {net::http_method::get, members_path, "", {}, ""}, timeout_,
                     make_decoding_callback<std::vector<member>>(&decode_members, std::move(done)));
    }

private:
    net::http_client& client_;
    net::endpoint service_;
    base::milliseconds timeout_;
};

vm_result vm_result_of(const net::http_result& result) {
    if (!result) {
        return tl::unexpected(result.error().failure == net::http_failure::not_sent
                                  ? vm_error::not_sent
                                  : vm_error::answer_lost);
    }
    if (refused_unprocessed(result->status)) {
        spdlog::warn("event=vm_command_refused status={} detail=\"{}\"", result->status,
                     result->body);
        return tl::unexpected(vm_error::not_sent);
    }
    if (result->status != status_ok) {
        return tl::unexpected(vm_error::answer_lost);
    }
    auto reply = decode_vm_reply(result->body);
    if (!reply) {
        spdlog::warn("event=vm_reply_malformed detail=\"{}\"", reply.error().text());
        return tl::unexpected(vm_error::answer_lost);
    }
    return std::move(*reply);
}

class http_vm_client final : public vm_client {
public:
    explicit http_vm_client(net::http_client& client) : client_(client) {}

    void send(const net::endpoint& vm, vm_command command, base::milliseconds timeout,
              vm_callback done) override {
        client_.send(vm, cbor_post(vm_command_path, encode(command)), timeout,
                     [done = std::move(done)](const net::http_result& result) {
                         done(vm_result_of(result));
                     });
    }

private:
    net::http_client& client_;
};

}  // namespace

std::unique_ptr<table_service> make_http_table_service(net::http_client& client,
                                                       const net::endpoint& service,
                                                       base::milliseconds timeout) {
    return std::make_unique<http_table_service>(client, service, timeout);
}

std::unique_ptr<object_store> make_http_object_store(net::http_client& client,
                                                     const net::endpoint& service,
                                                     base::milliseconds timeout) {
    return std::make_unique<http_object_store>(client, service, timeout);
}

std::unique_ptr<member_list> make_http_member_list(net::http_client& client,
                                                   const net::endpoint& service,
                                                   base::milliseconds timeout) {
    return std::make_unique<http_member_list>(client, service, timeout);
}

std::unique_ptr<vm_client> make_http_vm_client(net::http_client& client) {
    return std::make_unique<http_vm_client>(client);
}

}  // namespace cranberrydock::platform
