// Starts the processes of a test: the stand-in platform, the simulated VMs, the daemons and the
// relay of their network. Each process is ended by its process id when the object that holds it is
// destroyed.
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

// Far longer than any step of a test takes on a loaded machine: when it has passed, the awaited
// event is assumed never to come.
constexpr base::milliseconds generous_timeout{60'000};

// Sends one request and waits for its response, on an event loop of its own.
net::http_result call(const net::endpoint& to, net::http_request request,
                      base::milliseconds timeout = generous_timeout);

// Call a JSON route and return the response body. Throw std::runtime_error if no response comes or
// its status is not 200.
nlohmann::json get_json(const net::endpoint& from, const std::string& path);
nlohmann::json post_json(const net::endpoint& to, const std::string& path,
                         const nlohmann::json& body);

// Polls `condition` until it holds. Returns false if `timeout` passes first.
bool wait_until(const std::function<bool()>& condition,
                base::milliseconds timeout = generous_timeout);

// A folder for one test's files. The destructor removes it with its content.
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

struct vm_fleet_options {
    std::string zones = "northcoast/northcoast-a";  // in the format of standin_vm's --zones
    int vms_per_zone = 2;
    int cores = 16;
    int memory_mib = 65536;
    int slots = 16;
};

class cluster {
public:
    // Starts the stand-in platform.
    cluster();
    virtual ~cluster() = default;
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    const net::endpoint& platform_address() const { return platform_address_; }
    const std::filesystem::path& folder() const { return folder_.path(); }

    // Starts all VMs in one process, and returns once the member list holds them.
    void start_vms(const vm_fleet_options& shape);
    // The address of the control routes of the VMs' process.
    const net::endpoint& vm_control_address() const { return vms_address_; }

    // Writes the settings to a file in folder() and starts a daemon with it. Returns once the
    // daemon has printed its address. The caller owns the process.
    struct daemon {
        std::unique_ptr<process> process_handle;
        net::endpoint address;  // of its HTTP listener
    };
    daemon start_daemon(const std::string& name, const std::string& settings);

    // Starts the relay unless it runs already, and adds a link to `target`.
    struct network_link {
        int number = 0;
        net::endpoint address;  // connect to this address instead of the target's
    };
    network_link add_link(const net::endpoint& target);
    // Sends POST /control/link to the relay, see relay.hpp; `more` holds the action's further
    // fields.
    void command_link(const network_link& link, const std::string& action,
                      nlohmann::json more = nlohmann::json::object()) const;
    // The limit is shared by all links, for each direction.
    void set_bandwidth(base::byte_count per_second);

    // Sends POST /control/faults to the platform.
    void set_platform_faults(const nlohmann::json& faults) const;
    // The response of the platform's GET /control/counters.
    nlohmann::json platform_counters() const;

    // Sends POST /control/vm to the VMs' process; `more` holds the action's further fields.
    void command_vm(const std::string& vm, const std::string& action,
                    nlohmann::json more = nlohmann::json::object()) const;
    // The response of the VMs' GET /control/vms.
    nlohmann::json list_vms() const;

    // The report of the VMs' checker: {"total","starts","counts","evidence","marks"}.
    nlohmann::json checker_report() const;

private:
    std::string log_file(const std::string& name) const;
    void start_relay();

    scratch_folder folder_;
    std::unique_ptr<process> platform_process_;
    net::endpoint platform_address_;
    std::unique_ptr<process> vm_process_;
    net::endpoint vms_address_;
    std::unique_ptr<process> relay_process_;  // null until the first link is added
    net::endpoint relay_address_;
};

}  // namespace cranberrydock::standins
