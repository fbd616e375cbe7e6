// Starts the processes of a test and calls their control routes.
#include "cluster.hpp"

#include <cranberrydock/base/clock.hpp>

#include <cstdlib>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <thread>

namespace cranberrydock::standins {
namespace {

constexpr base::milliseconds poll_period{10};

nlohmann::json parse_response(const net::http_result& result, const std::string& description) {
    if (!result) {
        throw std::runtime_error(description + ": " + result.error().detail);
    }
    if (result->status != 200) {
        throw std::runtime_error(description + ": status " + std::to_string(result->status) + ": " +
                                 result->body);
    }
    return nlohmann::json::parse(result->body);
}

std::string format_flag(const std::string& name, const std::string& value) {
    return "--" + name + "=" + value;
}

}  // namespace

net::http_result call(const net::endpoint& to, net::http_request request,
                      base::milliseconds timeout) {
    net::event_loop loop;
    const auto client = net::make_http_client(loop, {});
    std::optional<net::http_result> out;
    client->send(to, std::move(request), timeout, [&](net::http_result result) {
        out = std::move(result);
        loop.stop();
    });
    loop.run();
    return std::move(*out);
}

nlohmann::json get_json(const net::endpoint& from, const std::string& path) {
    return parse_response(call(from, {net::http_method::get, path, "", {}, ""}), path);
}

nlohmann::json post_json(const net::endpoint& to, const std::string& path,
                         const nlohmann::json& body) {
    return parse_response(call(to, {net::http_method::post, path, "", {}, body.dump()}), path);
}

bool wait_until(const std::function<bool()>& condition, base::milliseconds timeout) {
    const base::monotonic_clock clock;
    const auto deadline = clock.now() + timeout;
    while (!condition()) {
        if (clock.now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

scratch_folder::scratch_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "cranberrydock-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder like " + name);
    }
    path_ = name;
}

scratch_folder::~scratch_folder() {
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
}

cluster::cluster() {
    platform_process_ = std::make_unique<process>(
        program{"standin_platform", {format_flag("listen", "127.0.0.1:0")}, log_file("platform")});
    platform_address_ = platform_process_->wait_until_listening(generous_timeout);
}

void cluster::start_vms(const vm_fleet_options& shape) {
    vm_process_ = std::make_unique<process>(program{
        "standin_vm",
        {format_flag("platform", platform_address_.text()), format_flag("zones", shape.zones),
         format_flag("count", std::to_string(shape.vms_per_zone)),
         format_flag("cores", std::to_string(shape.cores)),
         format_flag("memory_mib", std::to_string(shape.memory_mib)),
         format_flag("slots", std::to_string(shape.slots))},
        log_file("vms")});
    vms_address_ = vm_process_->wait_until_listening(generous_timeout);
}

cluster::daemon cluster::start_daemon(const std::string& name, const std::string& settings) {
    const std::string file = (folder() / (name + ".toml")).string();
    std::ofstream(file) << settings;
    daemon out;
    out.process_handle = std::make_unique<process>(
        program{"cranberrydock", {format_flag("settings", file)}, log_file(name)});
    out.address = out.process_handle->wait_until_listening(generous_timeout);
    return out;
}

void cluster::start_relay() {
    if (!relay_process_) {
        relay_process_ = std::make_unique<process>(program{"standin_relay", {}, log_file("relay")});
        relay_address_ = relay_process_->wait_until_listening(generous_timeout);
    }
}

cluster::network_link cluster::add_link(const net::endpoint& target) {
    start_relay();
    const auto made = post_json(relay_address_, "/control/links", {{"target", target.text()}});
    return {made.at("link"), net::parse_endpoint(made.at("listen"))};
}

void cluster::command_link(const network_link& link, const std::string& action,
                           nlohmann::json more) const {
    more["link"] = link.number;
    more["action"] = action;
    post_json(relay_address_, "/control/link", more);
}

void cluster::set_bandwidth(base::byte_count per_second) {
    start_relay();
    post_json(relay_address_, "/control/bandwidth", {{"bytes_per_second", per_second.value()}});
}

void cluster::set_platform_faults(const nlohmann::json& faults) const {
    post_json(platform_address_, "/control/faults", faults);
}

nlohmann::json cluster::platform_counters() const {
    return get_json(platform_address_, "/control/counters");
}

void cluster::command_vm(const std::string& vm, const std::string& action,
                         nlohmann::json more) const {
    more["vm"] = vm;
    more["action"] = action;
    post_json(vms_address_, "/control/vm", more);
}

nlohmann::json cluster::list_vms() const {
    return get_json(vms_address_, "/control/vms");
}

nlohmann::json cluster::checker_report() const {
    return get_json(vms_address_, "/judge");
}

std::string cluster::log_file(const std::string& name) const {
    return (folder() / (name + ".log")).string();
}

}  // namespace cranberrydock::standins
