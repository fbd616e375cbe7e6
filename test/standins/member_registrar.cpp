// Tells the stand-in platform's member list about the VMs of this process.
#include "member_registrar.hpp"

#include <cranberrydock/platform/store_codec.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr base::milliseconds timeout{2'000};
constexpr base::milliseconds retry_period{100};

// A change is told once: the tests see in the list when it was lost.
void warn_unless(bool done) {
    if (!done) {
        spdlog::warn("event=member_not_told");
    }
}

}  // namespace

member_registrar::member_registrar(net::event_loop& loop, const net::endpoint& platform)
    : loop_(loop), platform_(platform), client_(net::make_http_client(loop, {})) {}

void member_registrar::put_all(const std::vector<platform::member>& members,
                               std::function<void()> done) {
    post(platform::encode(members), [this, members, done = std::move(done)](bool taken) {
        if (taken) {
            done();
            return;
        }
        again_ = loop_.after(retry_period, [this, members, done] { put_all(members, done); });
    });
}

void member_registrar::put(const platform::member& one, base::milliseconds lag) {
    json body = json::parse(platform::encode(std::vector<platform::member>{one}));
    body["lag_ms"] = lag.count();
    post(body.dump(), &warn_unless);
}

void member_registrar::remove(const base::vm_id& id, base::milliseconds lag) {
    post(json{{"gone", {id.str()}}, {"lag_ms", lag.count()}}.dump(), &warn_unless);
}

void member_registrar::post(const std::string& body, std::function<void(bool)> done) {
    if (platform_.port == 0) {
        loop_.post([done = std::move(done)] { done(true); });
        return;
    }
    client_->send(platform_, {net::http_method::post, "/control/members", "", {}, body}, timeout,
                  [done = std::move(done)](const net::http_result& result) {
                      done(result && result->status == 200);
                  });
}

}  // namespace cranberrydock::standins
