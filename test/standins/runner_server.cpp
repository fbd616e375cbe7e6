// Creates the runners and serves their control routes.
#include "runner_server.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace cranberrydock::standins {

using net::http_request;
using nlohmann::json;

runner_server::runner_server(net::event_loop& loop, const runner_server_settings& settings,
                             std::function<void()> ready)
    : settings_(settings), registrar_(loop, settings.platform) {
    std::vector<platform::member> members;
    for (int i = 1; i <= settings.count; ++i) {
        const base::vm_id id(settings.id_prefix + "-" + settings.zone.str() + "-" +
                             std::to_string(i));
        runners_[id] = std::make_unique<runner_host>(
            loop, clock_, checker_, runner_settings{id, settings.slots, settings.max_open},
            net::endpoint{settings.listen_address, 0});
        members.push_back(member_of(*runners_[id]));
    }
    add_routes();
    server_ = std::make_unique<net::http_server>(loop, net::endpoint{settings.listen_address, 0},
                                                 net::http_server_limits{}, routes_);
    registrar_.register_all(members, std::move(ready));
}

void runner_server::add_routes() {
    routes_.add(net::http_method::get, "/judge", [this](auto& /*request*/, auto respond) {
        respond(net::json_response(200, checker_.json()));
    });
    routes_.add(net::http_method::get, "/control/runners", [this](auto& /*request*/, auto respond) {
        respond(net::json_response(200, list_runners()));
    });
    routes_.add(net::http_method::post, "/control/runner", [this](auto& request, auto respond) {
        command_runner(request);
        respond(net::json_response(200, "{}"));
    });
}

void runner_server::command_runner(const http_request& request) {
    const auto in = json_body(request);
    const auto found = runners_.find(base::vm_id(in.value("runner", std::string())));
    if (found == runners_.end()) {
        throw bad_request("expected the id of a runner of this process in \"runner\"");
    }
    runner_host& runner = *found->second;
    const base::milliseconds lag{in.value("lag_ms", 0)};
    const auto action = in.value("action", std::string());
    if (action == "silence") {
        runner.set_unresponsive(true);
    } else if (action == "speak") {
        runner.set_unresponsive(false);
    } else if (action == "fail_everything") {
        runner.set_fails_everything(in.value("on", true));
    } else if (action == "kill") {
        runner.kill();
        registrar_.remove_member(runner.settings().id, lag);
    } else if (action == "replace") {
        runner.replace();
        registrar_.register_member(member_of(runner), lag);
    } else if (action == "leave") {
        runner.leave();
        registrar_.register_member(member_of(runner), lag);
    } else {
        throw bad_request(
            "expected \"action\" to be one of silence speak fail_everything kill replace leave");
    }
}

platform::member runner_server::member_of(const runner_host& runner) const {
    platform::member out;
    out.id = runner.settings().id;
    out.role = platform::member_role::runner;
    out.state = runner.leaving() ? platform::member_state::leaving : platform::member_state::live;
    out.address = runner.address();
    out.region = settings_.region;
    out.zone = settings_.zone;
    out.capacity.slots = runner.settings().slots;
    return out;
}

std::string runner_server::list_runners() const {
    json list = json::array();
    for (const auto& it : runners_) {
        const runner_host& runner = *it.second;
        list.push_back(
            {{"id", runner.settings().id.str()},
             {"address", runner.address().text()},
             {"alive", runner.alive()},
             {"running", runner.running()},
             {"last_request_after_leave_ms", runner.last_request_after_leave().count()}});
    }
    return json{{"runners", list}}.dump();
}

}  // namespace cranberrydock::standins
