// Several daemons with one stand-in platform and one fleet of simulated VMs, with a configuration
// in force. Used by the failure tests.
#pragma once

#include "cluster.hpp"

#include <nlohmann/json.hpp>

#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct daemon_spec {
    std::string vm;  // the VM that the daemon runs on
    std::string region;
    std::string zone;
    bool relayed = false;  // connects to the platform through a link of its own
};

struct cell_cluster_options {
    std::vector<daemon_spec> daemons = {{"entry-1", "northcoast", "northcoast-a"},
                                        {"entry-2", "northcoast", "northcoast-b"},
                                        {"entry-3", "southvale", "southvale-a"}};
    vm_fleet_options vm_fleet = {
        "northcoast/northcoast-a,northcoast/northcoast-b,southvale/southvale-a"};
    // The patch against version 0; null: default_configuration().
    nlohmann::json configuration;
    std::string extra_settings;  // TOML tables that are appended to each daemon's settings
};

// One team "survey" with home region northcoast and 48 slots, a queue of each policy ("previews",
// "mosaics", "batches", "gangs") in which anyone may submit work of this team, and a cell for each
// availability zone.
nlohmann::json default_configuration();

// A request for work as a caller sends it.
struct work_request {
    std::string queue = "mosaics";
    std::string key;  // the header Idempotency-Key; empty: not sent
    bool repeatable = true;
    bool job = false;      // POST /v1/jobs instead of /v1/requests
    int task_time_ms = 5;  // run time of the task on its VM, milliseconds
    std::string answer = "done";
    nlohmann::json extra_fields = nlohmann::json::object();  // added to the body
    std::string bearer_token;  // the caller's key, sent as bearer token; empty: not sent
};

struct work_response {
    int status = 0;  // 0: no response received
    nlohmann::json body;

    std::string reason() const { return body.is_object() ? body.value("reason", "") : ""; }
    bool not_run() const { return body.is_object() && body.value("not_run", false); }
    // The first task's answer; empty when there is none.
    std::string answer() const;
};

class cell_cluster : public cluster {
public:
    // Returns once each daemon has the configuration in force and has on record an owner and an
    // epoch for each cell. Throws std::runtime_error if one of these waits times out.
    explicit cell_cluster(cell_cluster_options shape = {});

    std::size_t size() const { return daemons_.size(); }
    // entry(), ready() and submit() may also be called on other threads than the one that restarts
    // daemons.
    net::endpoint entry(std::size_t i) const;
    const process& daemon_process(std::size_t i) const { return *daemons_.at(i).process_handle; }

    // Starts the daemon again, as a new incarnation on the same VM.
    void restart(std::size_t i);
    // Kills the daemon and waits for its end.
    void kill(std::size_t i);
    // Sends SIGTERM and returns the exit status; nullopt if the daemon does not end within
    // `generous`.
    std::optional<int> stop(std::size_t i);
    // Whether GET /readyz is answered with 200, so that a balancer would send new requests there.
    bool ready(std::size_t i) const;

    // The link between a relayed member and the platform.
    const network_link& platform_link(std::size_t i) const { return links_.at(i).value(); }

    work_response submit(std::size_t entry, const work_request& work) const;
    // Submits on a thread of its own.
    std::future<work_response> submit_async(std::size_t entry, const work_request& work) const;
    work_response get_job(std::size_t entry, const std::string& job,
                          const std::string& bearer) const;

    // Patches the newest version that the entry has, and tries again on a conflict. Returns the new
    // version. Throws std::runtime_error if the patch is refused or not accepted in time.
    std::int64_t patch_configuration(std::size_t entry, const nlohmann::json& change,
                                     const std::string& bearer = "") const;

    // The daemon that reports itself as the cell's owner; nullopt if none does.
    std::optional<std::size_t> owner_of(const std::string& cell) const;
    bool wait_until_owned(const std::string& cell) const;

    // The cell's epoch as the entry has it on record.
    std::int64_t epoch_of(std::size_t entry, const std::string& cell) const;

    std::string metrics(std::size_t entry) const;

    // The report of the VMs' checker as text; empty if it found no violation.
    std::string violations() const;

private:
    void start(std::size_t i);

    cell_cluster_options shape_;
    std::vector<daemon> daemons_;
    std::vector<std::optional<network_link>> links_;  // by member; nullopt unless it is relayed
    mutable std::mutex addresses_mutex_;
    std::vector<net::endpoint> addresses_;
};

}  // namespace cranberrydock::standins
