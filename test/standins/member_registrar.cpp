// Registers the VMs of this process in the stand-in platform's member list.
#include "member_registrar.hpp"

#include <cranberrydock/platform/store_codec.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr base::milliseconds request_timeout{2'000};
constexpr base::milliseconds retry_period{100};

// A change is sent once. If it was lost, the tests see that in the member list.
void warn_if_failed(bool was_accepted) {
    if (!was_accepted) {
        spdlog::warn("event=member_not_told");
    }
}

}  // namespace

member_registrar::member_registrar(net::event_loop& loop, const net::endpoint& platform)
    : loop_(loop), platform_(platform), client_(net::make_http_client(loop, {})) {}

void member_registrar::register_all(const std::vector<platform::member>& members,
                                    std::function<void()> done) {
    post(platform::encode(members), [this, members, done = std::move(done)](bool accepted) {
        if (accepted) {
            done();
            return;
        }
        retry_timer_ =
            loop_.after(retry_period, [this, members, done] { register_all(members, done); });
    });
}

void member_registrar::register_member(const platform::member& changed, base::milliseconds lag) {
    json body = json::parse(platform::encode(std::vector<platform::member>{changed}));
    body["lag_ms"] = lag.count();
    post(body.dump(), &warn_if_failed);
}

void member_registrar::remove_member(const base::vm_id& id, base::milliseconds lag) {
    post(json{{"gone", {id.str()}}, {"lag_ms", lag.count()}}.dump(), &warn_if_failed);
}

void member_registrar::post(const std::string& body, std::function<void(bool)> done) {
    if (platform_.port == 0) {
        loop_.post([done = std::move(done)] { done(true); });
        return;
    }
    client_->send(platform_, {net::http_method::post, "/control/members", "", {}, body},
                  request_timeout, [done = std::move(done)](const net::http_result& result) {
                      done(result && result->status == 200);
                  });
}

}  // namespace cranberrydock::standins
