// Several daemons over one stand-in platform and fleet, with a configuration in force, as the tests
// of failures use them.
#pragma once

#include "cluster.hpp"

#include <nlohmann/json.hpp>

#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct crew_member {
    std::string vm;  // that the daemon runs on
    std::string region;
    std::string zone;
    bool relayed = false;  // reaches the platform through a link of its own
};

struct crew_shape {
    std::vector<crew_member> members = {{"entry-1", "northcoast", "northcoast-a"},
                                        {"entry-2", "northcoast", "northcoast-b"},
                                        {"entry-3", "southvale", "southvale-a"}};
    fleet_shape fleet = {"northcoast/northcoast-a,northcoast/northcoast-b,southvale/southvale-a"};
    // The patch against version 0. Empty: default_configuration().
    nlohmann::json configuration;
    std::string more_settings;  // TOML tables to add to each daemon's settings
};

// One team "survey" of northcoast with 48 slots, a queue of each policy that is open to all for it
// ("previews", "mosaics", "batches", "gangs"), and a cell for each availability zone.
nlohmann::json default_configuration();

// What a caller sends and gets.
struct call_work {
    std::string queue = "mosaics";
    std::string key;  // Idempotency-Key; empty: none
    bool repeatable = true;
    bool job = false;
    int for_ms = 5;  // how long the task takes on its VM
    std::string answer = "done";
    nlohmann::json more = nlohmann::json::object();  // further fields of the body
    std::string bearer;                              // key to show; empty: none
};

struct call_result {
    int status = 0;  // 0: no answer came
    nlohmann::json body;

    std::string reason() const { return body.is_object() ? body.value("reason", "") : ""; }
    bool not_run() const { return body.is_object() && body.value("not_run", false); }
    // The first task's answer; empty when there is none.
    std::string answer() const;
};

class crew : public cluster {
public:
    // Returns once the configuration is in force everywhere and every cell has an owner that every
    // daemon knows.
    explicit crew(crew_shape shape = {});

    std::size_t size() const { return daemons_.size(); }
    // Also from other threads than the one that restarts daemons, as are ready() and submit().
    net::endpoint entry(std::size_t i) const;
    const process& running(std::size_t i) const { return *daemons_.at(i).running; }

    // Starts the daemon again, as a new incarnation on the same VM.
    void restart(std::size_t i);
    // Kills the daemon and waits for its end.
    void kill(std::size_t i);
    // SIGTERM: the exit status, nothing when it does not end.
    std::optional<int> stop(std::size_t i);
    // Whether a balancer would send something new there.
    bool ready(std::size_t i) const;

    // Between a relayed member and the platform.
    const network_link& platform_link(std::size_t i) const { return links_.at(i).value(); }

    call_result submit(std::size_t entry, const call_work& what) const;
    std::future<call_result> submit_later(std::size_t entry, const call_work& what) const;
    call_result get_job(std::size_t entry, const std::string& job, const std::string& bearer) const;

    // The patch against the newest version that the entry knows; tries again on a conflict.
    std::int64_t patch(std::size_t entry, const nlohmann::json& change,
                       const std::string& bearer = "") const;

    // Which daemon owns the cell, as that daemon itself says; nothing while none does.
    std::optional<std::size_t> owner_of(const std::string& cell) const;
    bool wait_until_owned(const std::string& cell) const;

    // The epoch under which the cell is owned, as the entry knows it.
    std::int64_t epoch_of(std::size_t entry, const std::string& cell) const;

    std::string metrics(std::size_t entry) const;

    // The text of the judge's evidence; empty when no promise was broken.
    std::string breaches() const;

private:
    void start(std::size_t i);

    crew_shape shape_;
    std::vector<daemon> daemons_;
    std::vector<std::optional<network_link>> links_;  // one a member
    mutable std::mutex guards_addresses_;
    std::vector<net::endpoint> addresses_;
};

}  // namespace cranberrydock::standins
