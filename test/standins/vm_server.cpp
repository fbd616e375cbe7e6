// Creates the VMs and serves their control routes.
#include "vm_server.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace cranberrydock::standins {
namespace {

using net::http_request;
using nlohmann::json;

platform::member member_of(const vm_host& vm) {
    return {vm.id(),
            platform::member_role::worker,
            vm.leaving() ? platform::member_state::leaving : platform::member_state::live,
            vm.address(),
            vm.location().region,
            vm.location().zone,
            vm.location().rack,
            vm.agent().settings().capacity};
}

base::milliseconds milliseconds_of(const json& in, const char* name) {
    return base::milliseconds{in.value(name, 0)};
}

}  // namespace

vm_server::vm_server(net::event_loop& loop, const vm_server_settings& settings,
                     std::function<void()> ready)
    : loop_(loop), registrar_(loop, settings.platform) {
    make_vms(settings);
    add_actions();
    add_routes();
    server_ = std::make_unique<net::http_server>(loop, net::endpoint{settings.listen_address, 0},
                                                 net::http_server_limits{}, routes_);
    register_all(std::move(ready));
}

void vm_server::make_vms(const vm_server_settings& settings) {
    for (const auto& zone : settings.zones) {
        for (int i = 0; i < settings.vms_per_zone; ++i) {
            const base::vm_id id(settings.id_prefix + "-" + zone.zone.str() + "-" +
                                 std::to_string(i + 1));
            const base::rack_name rack(zone.zone.str() + "-rack-" +
                                       std::to_string(i / settings.vms_per_rack + 1));
            vms_[id] = std::make_unique<vm_host>(
                loop_, clock_, checker_, vm_settings{id, settings.capacity, settings.usage_lag},
                vm_location{zone.region, zone.zone, rack},
                net::endpoint{settings.listen_address, 0});
        }
    }
}

void vm_server::add_routes() {
    routes_.add(net::http_method::get, "/judge", [this](auto& /*request*/, auto respond) {
        respond(net::json_response(200, checker_.json()));
    });
    routes_.add(net::http_method::get, "/control/vms", [this](auto& /*request*/, auto respond) {
        respond(net::json_response(200, list_vms()));
    });
    routes_.add(net::http_method::post, "/control/vm", [this](auto& request, auto respond) {
        command_vm(request);
        respond(net::json_response(200, "{}"));
    });
}

void vm_server::add_actions() {
    const auto add_simple_action = [this](const char* name, auto act) {
        actions_[name] = [act](vm_host& vm, const http_request& /*request*/) { act(vm); };
    };
    add_simple_action("freeze", [](vm_host& vm) { vm.suspend(); });
    add_simple_action("unfreeze", [](vm_host& vm) { vm.resume(); });
    add_simple_action("silence",
                      [](vm_host& vm) { vm.set_responsiveness(vm_responsiveness::unresponsive); });
    add_simple_action("lose_answers",
                      [](vm_host& vm) { vm.set_responsiveness(vm_responsiveness::loses_answers); });
    add_simple_action("speak",
                      [](vm_host& vm) { vm.set_responsiveness(vm_responsiveness::responsive); });
    actions_["delay"] = [](vm_host& vm, const http_request& request) {
        const auto in = json_body(request);
        vm.set_delay(milliseconds_of(in, "command_ms"), milliseconds_of(in, "answer_ms"));
    };
    actions_["fail_everything"] = [](vm_host& vm, const http_request& request) {
        vm.set_fails_everything(json_body(request).value("on", true));
    };
    actions_["start_rogue"] = [](vm_host& vm, const http_request& request) {
        const auto in = json_body(request);
        base::resources uses;
        uses.memory = base::mebibytes(in.value("uses_memory_mib", 1));
        vm.start_rogue(base::task_id(in.value("task", std::string("rogue"))), uses);
    };
    actions_["kill"] = [this](vm_host& vm, const http_request& request) {
        vm.kill();
        update_member_list(vm, request);
    };
    actions_["replace"] = [this](vm_host& vm, const http_request& request) {
        vm.replace();
        update_member_list(vm, request);
    };
    actions_["leave"] = [this](vm_host& vm, const http_request& request) {
        vm.leave();
        update_member_list(vm, request);
    };
}

void vm_server::command_vm(const http_request& request) {
    const auto in = json_body(request);
    const auto vm = vms_.find(base::vm_id(in.value("vm", std::string())));
    if (vm == vms_.end()) {
        throw bad_request("expected the id of a VM of this process in \"vm\", found " +
                          in.value("vm", std::string("nothing")));
    }
    const auto found = actions_.find(in.value("action", std::string()));
    if (found == actions_.end()) {
        std::string known;
        for (const auto& it : actions_) {
            known += " " + it.first;
        }
        throw bad_request("expected \"action\" to be one of" + known);
    }
    found->second(*vm->second, request);
}

void vm_server::update_member_list(const vm_host& vm, const http_request& request) {
    const auto in = json_body(request);
    if (!in.value("tell_platform", true)) {
        return;
    }
    if (vm.alive()) {
        registrar_.register_member(member_of(vm), milliseconds_of(in, "lag_ms"));
    } else {
        registrar_.remove_member(vm.id(), milliseconds_of(in, "lag_ms"));
    }
}

void vm_server::register_all(std::function<void()> ready) {
    std::vector<platform::member> members;
    for (const auto& it : vms_) {
        members.push_back(member_of(*it.second));
    }
    registrar_.register_all(members, std::move(ready));
}

std::string vm_server::list_vms() const {
    json list = json::array();
    for (const auto& it : vms_) {
        const vm_host& vm = *it.second;
        list.push_back({{"id", vm.id().str()},
                        {"address", vm.address().text()},
                        {"region", vm.location().region.str()},
                        {"zone", vm.location().zone.str()},
                        {"incarnation", vm.agent().incarnation().str()},
                        {"alive", vm.alive()},
                        {"running", vm.agent().running()},
                        {"unacknowledged", vm.agent().unacknowledged()},
                        {"last_start_after_leave_ms", vm.last_start_after_leave().count()}});
    }
    return json{{"vms", list}}.dump();
}

}  // namespace cranberrydock::standins
