// Real daemons of a fleet as separate processes on loopback, against the stand-in of the platform.
#pragma once

#include <cranberrydock/net/http.hpp>

#include "process.hpp"
#include "shared_site.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct fleet_reply {
    int status = 0;  // 0: no answer
    nlohmann::json body;
    std::string retry_after;
};

class fleet_crew {
public:
    fleet_crew(int daemons, const shared_site_plan& plan);
    ~fleet_crew();
    fleet_crew(const fleet_crew&) = delete;
    fleet_crew& operator=(const fleet_crew&) = delete;

    shared_site& site() { return *site_; }

    // A call of the customer's to one daemon.
    fleet_reply submit(int daemon, const std::string& job, int tasks, const std::string& key = "k",
                       const std::string& queue = "/urgent/");
    fleet_reply call(int daemon, const std::string& method, const std::string& path,
                     const std::string& body = "", const std::string& key = "k");
    fleet_reply peer_call(int daemon, const std::string& path, const std::string& body = "");
    bool ready(int daemon);

    void kill(int daemon);
    void start(int daemon);
    void terminate(int daemon);
    void signal(int daemon, int number);
    // Its exit status if it has ended by now.
    std::optional<int> ended(int daemon);
    const net::endpoint& callers_of(int daemon) const;
    const std::string& settings_file_of(int daemon) const;
    // Its exit status when it ends in time.
    std::optional<int> wait_until_ended(int daemon);
    // The daemon that owns the fleet; -1 when none does.
    int owner();
    // What the daemon has written to its standard output, all its runs together.
    std::string log(int daemon) const;

    static std::string configuration(int version, bool advice, const std::string& key = "k");

private:
    struct member;
    std::unique_ptr<shared_site> site_;
    std::vector<std::unique_ptr<member>> members_;
};

// An id of 16 hexadecimal digits.
std::string job_id_text(int number);

}  // namespace cranberrydock::standins
