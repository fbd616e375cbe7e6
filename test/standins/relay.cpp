// The relay's control routes. See relay.hpp for their actions.
#include "relay.hpp"

#include <event2/bufferevent.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {
namespace {

using net::http_request;
using nlohmann::json;

net::endpoint target_of(const json& in) {
    auto out = net::parse_endpoint(in.value("target", std::string()));
    if (out.port == 0) {
        throw bad_request("expected \"target\" to be ADDRESS:PORT");
    }
    return out;
}

rate_limit_ptr make_limit(event_base* base, std::size_t bytes_per_second) {
    // Short ticks, and bursts of no more than one tick's bytes, keep the link's flow even.
    constexpr std::size_t ticks_per_second = 50;
    const timeval tick{0, 1'000'000 / static_cast<int>(ticks_per_second)};
    const std::size_t rate = std::max<std::size_t>(bytes_per_second / ticks_per_second, 1);
    ev_token_bucket_cfg* const cfg =
        ev_token_bucket_cfg_new(rate, rate, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
    rate_limit_ptr out(bufferevent_rate_limit_group_new(base, cfg));
    ev_token_bucket_cfg_free(cfg);
    return out;
}

}  // namespace

void rate_limit_deleter::operator()(bufferevent_rate_limit_group* it) const {
    bufferevent_rate_limit_group_free(it);
}

relay::relay(net::event_loop& loop, const std::string& listen_address)
    : loop_(loop), listen_address_(listen_address) {
    add_routes();
    server_ = std::make_unique<net::http_server>(loop, net::endpoint{listen_address, 0},
                                                 net::http_server_limits{}, routes_);
}

void relay::add_routes() {
    routes_.add(net::http_method::post, "/control/links", [this](auto& request, auto respond) {
        respond(net::json_response(200, add_link(request)));
    });
    routes_.add(net::http_method::get, "/control/links", [this](auto& /*request*/, auto respond) {
        respond(net::json_response(200, list_links()));
    });
    routes_.add(net::http_method::post, "/control/link", [this](auto& request, auto respond) {
        command_links(request);
        respond(net::json_response(200, "{}"));
    });
    routes_.add(net::http_method::post, "/control/bandwidth", [this](auto& request, auto respond) {
        set_bandwidth(request);
        respond(net::json_response(200, "{}"));
    });
}

std::string relay::add_link(const http_request& request) {
    links_.push_back(std::make_unique<relay_link>(loop_, clock_, net::endpoint{listen_address_, 0},
                                                  target_of(json_body(request))));
    links_.back()->set_bandwidth(bandwidth_);
    return json{{"link", links_.size() - 1}, {"listen", links_.back()->listen_endpoint().text()}}
        .dump();
}

std::string relay::list_links() const {
    json list = json::array();
    for (const auto& it : links_) {
        list.push_back({{"link", list.size()},
                        {"listen", it->listen_endpoint().text()},
                        {"target", it->target().text()},
                        {"connections", it->connections()}});
    }
    return json{{"links", list}}.dump();
}

void relay::command_links(const http_request& request) {
    const auto in = json_body(request);
    if (!in.contains("link")) {
        for (const auto& it : links_) {
            command_link(*it, request);
        }
        return;
    }
    const auto number = in.at("link").get<std::size_t>();
    if (number >= links_.size()) {
        throw bad_request("expected \"link\" to be less than " + std::to_string(links_.size()));
    }
    command_link(*links_[number], request);
}

void relay::command_link(relay_link& link, const http_request& request) {
    const auto in = json_body(request);
    const auto action = in.value("action", std::string());
    if (action == "target") {
        link.set_target(target_of(in));
    } else if (action == "cut") {
        link.cut();
    } else if (action == "silence") {
        link.swallow_open_connections();
    } else if (action == "black_hole") {
        link.swallow_all_connections();
    } else if (action == "one_way") {
        link.swallow_answers();
    } else if (action == "restore") {
        link.restore();
    } else if (action == "delay") {
        link.set_delay(base::milliseconds{in.value("ms", 0)});
    } else {
        throw bad_request(
            "expected \"action\" to be one of target cut silence black_hole one_way restore delay");
    }
}

void relay::set_bandwidth(const http_request& request) {
    const auto n = json_body(request).value("bytes_per_second", std::size_t{0});
    bandwidth_ = {};
    if (n > 0) {
        rate_limit_groups_.push_back(make_limit(loop_.raw(), n));
        bandwidth_.to_target = rate_limit_groups_.back().get();
        rate_limit_groups_.push_back(make_limit(loop_.raw(), n));
        bandwidth_.from_target = rate_limit_groups_.back().get();
    }
    for (const auto& it : links_) {
        it->set_bandwidth(bandwidth_);
    }
}

}  // namespace cranberrydock::standins
