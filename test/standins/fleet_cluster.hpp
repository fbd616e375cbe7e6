// A cluster of real fleet daemons, each a separate process on loopback, that uses the stand-in of
// the platform.
#pragma once

#include <cranberrydock/net/http.hpp>

#include "cluster.hpp"
#include "platform_site.hpp"
#include "process.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct http_reply {
    int status = 0;  // 0: no answer was received
    nlohmann::json body;
    std::string retry_after;
};

class fleet_cluster {
public:
    // Starts the daemons; does not wait until they are ready.
    fleet_cluster(int daemons, const platform_site_options& plan);
    ~fleet_cluster();
    fleet_cluster(const fleet_cluster&) = delete;
    fleet_cluster& operator=(const fleet_cluster&) = delete;

    platform_site& site() { return *site_; }

    // A customer's call to one daemon. Blocks for 5 s at most.
    http_reply submit(int daemon, const std::string& job, int tasks, const std::string& key = "k",
                      const std::string& queue = "/urgent/");
    http_reply call(int daemon, const std::string& method, const std::string& path,
                    const std::string& body = "", const std::string& key = "k");
    http_reply peer_call(int daemon, const std::string& path, const std::string& body = "");
    bool ready(int daemon);
    // Wait until the daemon, or each daemon in turn, is ready. Return false if one is not ready
    // within `timeout`, after its log was printed to the standard error.
    bool wait_until_ready(int daemon, base::milliseconds timeout = generous_timeout);
    bool wait_until_ready(base::milliseconds timeout = generous_timeout);

    // Sends SIGKILL and waits for the end of the process.
    void kill(int daemon);
    void start(int daemon);
    // Sends SIGTERM and does not wait.
    void terminate(int daemon);
    void signal(int daemon, int number);
    // The exit status of the daemon's process, if it has ended; does not wait.
    std::optional<int> exit_status_if_ended(int daemon);
    const net::endpoint& caller_address(int daemon) const;
    const std::string& settings_file(int daemon) const;
    // Waits up to 10 s for the end of the process; empty if it has not ended by then.
    std::optional<int> wait_until_ended(int daemon);
    // Index of the daemon that owns the fleet; -1 if there is no owner.
    int owner_index();
    // Everything that the daemon has written to its standard output, over all its runs.
    std::string log_text(int daemon) const;

    // The operator's configuration: the queues "urgent" and "batch" and the customer "crew".
    static std::string configuration(int version, bool advice, const std::string& key = "k");

private:
    struct daemon_process;
    std::unique_ptr<platform_site> site_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

// The id with this number, 16 hexadecimal digits with leading zeros.
std::string job_id_text(int number);

}  // namespace cranberrydock::standins
