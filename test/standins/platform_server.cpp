// The routes of the stand-in for the users' platform.
#include "platform_server.hpp"

#include <cranberrydock/platform/store_codec.hpp>

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace cranberrydock::standins {
namespace {

using net::http_method;
using net::http_request;
using net::http_response;
using platform::store_error;

constexpr base::byte_count max_body{256 * 1024 * 1024};

http_response error_response(store_error error) {
    constexpr int status_conflict = 409;
    constexpr int status_answer_lost = 504;
    constexpr int status_unavailable = 503;
    const std::string body = nlohmann::json{{"detail", platform::to_string(error)}}.dump();
    switch (error) {
        case store_error::conflict:
            return net::json_response(status_conflict, body);
        case store_error::answer_lost:
            return net::json_response(status_answer_lost, body);
        case store_error::unavailable:
            break;
    }
    return net::json_response(status_unavailable, body);
}

template <typename Result>
http_response result_response(const Result& result, const char* type) {
    if (!result) {
        return error_response(result.error());
    }
    return {200, {{"Content-Type", type}}, platform::encode(*result)};
}

constexpr const char* cbor = "application/cbor";

platform::object_name object_of(const http_request& request) {
    const std::string name = request.parameter("name");
    if (name.empty()) {
        throw bad_request("expected an object's name, found none; pass it as ?name=NAME");
    }
    return platform::object_name(name);
}

}  // namespace

platform_server::platform_server(net::event_loop& loop, const net::endpoint& listen)
    : state_(std::make_shared<platform::memory_platform>(clock_)), delayed_calls_(loop) {
    add_table_routes();
    add_object_routes();
    add_control_routes();
    net::http_server_limits limits;
    limits.max_body = max_body;
    server_ = std::make_unique<net::http_server>(loop, listen, limits, routes_);
}

void platform_server::serve(net::http_responder respond, std::function<http_response()> work) {
    if (unresponsive_) {
        return;
    }
    delayed_calls_.after(state_->faults().apply_delay,
                         [this, respond = std::move(respond), work = std::move(work)] {
                             delayed_calls_.after(state_->faults().answer_delay,
                                                  [respond, answer = work()] { respond(answer); });
                         });
}

void platform_server::add_table_routes() {
    routes_.add(http_method::post, platform::table_read_path, [this](auto& request, auto respond) {
        serve(respond, [this, key = value_or_bad_request(platform::decode_row_key(request.body))] {
            return result_response(state_->read(key), cbor);
        });
    });
    routes_.add(http_method::post, platform::table_scan_path, [this](auto& request, auto respond) {
        serve(respond,
              [this, scan = value_or_bad_request(platform::decode_scan_request(request.body))] {
                  return result_response(state_->scan(scan.prefix, scan.after, scan.limit), cbor);
              });
    });
    routes_.add(
        http_method::post, platform::table_commit_path, [this](auto& request, auto respond) {
            serve(
                respond,
                [this, writes = value_or_bad_request(platform::decode_transaction(request.body))] {
                    return result_response(state_->commit(writes), cbor);
                });
        });
}

void platform_server::add_object_routes() {
    routes_.add(http_method::get, platform::objects_path, [this](auto& request, auto respond) {
        serve(respond, [this, name = object_of(request)] {
            constexpr int status_not_found = 404;
            const auto content = state_->get(name);
            if (!content) {
                return error_response(content.error());
            }
            return *content ? http_response{200, {}, **content}
                            : net::json_response(status_not_found, R"({"detail":"no object"})");
        });
    });
    routes_.add(http_method::put, platform::objects_path, [this](auto& request, auto respond) {
        serve(respond, [this, name = object_of(request), content = request.body] {
            const auto done = state_->put(name, content);
            return done ? net::json_response(200, "{}") : error_response(done.error());
        });
    });
    routes_.add(http_method::get, platform::members_path, [this](auto& /*request*/, auto respond) {
        serve(respond,
              [this] { return result_response(state_->read_members(), "application/json"); });
    });
}

void platform_server::add_control_routes() {
    routes_.add(http_method::post, "/control/faults", [this](auto& request, auto respond) {
        set_faults(request);
        respond(net::json_response(200, "{}"));
    });
    routes_.add(http_method::post, "/control/members", [this](auto& request, auto respond) {
        set_members(request);
        respond(net::json_response(200, "{}"));
    });
    routes_.add(http_method::get, "/control/counters", [this](auto& /*request*/, auto respond) {
        const auto calls_so_far = state_->counters();
        respond(
            net::json_response(200, nlohmann::json{{"reads", calls_so_far.reads},
                                                   {"scans", calls_so_far.scans},
                                                   {"commits", calls_so_far.commits},
                                                   {"conflicts", calls_so_far.conflicts},
                                                   {"object_gets", calls_so_far.object_gets},
                                                   {"object_puts", calls_so_far.object_puts},
                                                   {"member_reads", calls_so_far.member_reads},
                                                   {"bytes_written", calls_so_far.bytes_written}}
                                        .dump()));
    });
}

void platform_server::set_faults(const http_request& request) {
    const auto settings = json_body(request);
    platform::platform_faults faults;
    faults.unavailable = settings.value("down", false);
    faults.apply_delay = base::milliseconds{settings.value("slow_ms", 0)};
    faults.answer_delay = base::milliseconds{settings.value("slow_answer_ms", 0)};
    faults.lost_applied_commits = settings.value("lose_applied", std::int64_t{0});
    faults.lost_unapplied_commits = settings.value("lose_unapplied", std::int64_t{0});
    faults.lose_permille = settings.value("lose_permille", 0);
    faults.seed = settings.value("seed", faults.seed);
    unresponsive_ = settings.value("silent", false);
    state_->set_faults(faults);
}

void platform_server::set_members(const http_request& request) {
    const auto settings = json_body(request);
    const base::milliseconds lag{settings.value("lag_ms", 0)};
    if (settings.contains("members")) {
        const auto members = value_or_bad_request(platform::decode_members(request.body));
        if (settings.value("replace_all", false)) {
            state_->set_members(members, lag);
        } else {
            state_->put_members(members, lag);
        }
    }
    std::vector<base::vm_id> removed;
    for (const auto& it : settings.value("gone", std::vector<std::string>{})) {
        removed.emplace_back(it);
    }
    if (!removed.empty()) {
        state_->remove_members(removed, lag);
    }
}

}  // namespace cranberrydock::standins
