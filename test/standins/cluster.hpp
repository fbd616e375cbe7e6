// What a test with real processes starts: the stand-in platform, the simulated VMs and the daemons.
// Each of them is ended by its process id when the cluster goes.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http_client.hpp>

#include "process.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

// Far longer than anything takes on a loaded machine: reaching it means that it never comes.
constexpr base::milliseconds generous{60'000};

// Sends one request and waits for its answer. Runs an event loop of its own.
net::http_result call(const net::endpoint& to, net::http_request request,
                      base::milliseconds timeout = generous);

// The answer of a JSON route. Throws std::runtime_error on any status but 200.
nlohmann::json get_json(const net::endpoint& from, const std::string& path);
nlohmann::json post_json(const net::endpoint& to, const std::string& path,
                         const nlohmann::json& body);

// Asks `condition` again and again until it holds; false when `timeout` passes first.
bool wait_until(const std::function<bool()>& condition, base::milliseconds timeout = generous);

// A folder for one test's files, removed with everything in it.
class scratch_folder {
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

struct fleet_shape {
    std::string zones = "northcoast/northcoast-a";  // as standin_vm's --zones
    int vms_per_zone = 2;
    int cores = 16;
    int memory_mib = 65536;
    int slots = 16;
};

class cluster {
public:
    // Starts the platform.
    cluster();
    virtual ~cluster() = default;
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    const net::endpoint& platform() const { return platform_address_; }
    const std::filesystem::path& folder() const { return folder_.path(); }

    // Starts the VMs, all in one process, and returns once the member list holds them.
    void start_vms(const fleet_shape& shape);
    // The control routes of the VMs' process.
    const net::endpoint& vms() const { return vms_address_; }

    // Writes the settings to a file of this cluster and starts a daemon with it; the caller keeps
    // it. Returns once it prints where it listens.
    struct daemon {
        std::unique_ptr<process> running;
        net::endpoint address;  // of its HTTP port
    };
    daemon start_daemon(const std::string& name, const std::string& settings);

    // Starts the relay, if it is not there yet, and adds a link to `target`.
    struct network_link {
        int number = 0;
        net::endpoint address;  // connect here instead of to the target
    };
    network_link add_link(const net::endpoint& target);
    // POST /control/link of the relay; see relay.hpp.
    void command_link(const network_link& link, const std::string& action,
                      nlohmann::json more = nlohmann::json::object()) const;
    // Shared by all links, each way.
    void set_bandwidth(base::byte_count per_second);

    // POST /control/faults of the platform, and its counters.
    void set_platform_faults(const nlohmann::json& faults) const;
    nlohmann::json platform_counters() const;

    // POST /control/vm: `more` holds the action's further fields.
    void command_vm(const std::string& vm, const std::string& action,
                    nlohmann::json more = nlohmann::json::object()) const;
    nlohmann::json list_vms() const;

    // The judge's verdict: {"total","starts","counts","evidence"}.
    nlohmann::json judge() const;

private:
    std::string log_file(const std::string& name) const;
    void start_relay();

    scratch_folder folder_;
    std::unique_ptr<process> platform_process_;
    net::endpoint platform_address_;
    std::unique_ptr<process> vm_process_;
    net::endpoint vms_address_;
    std::unique_ptr<process> relay_process_;  // null until a link is asked for
    net::endpoint relay_address_;
};

}  // namespace cranberrydock::standins
