// Starts the daemons, calls them and reads their logs.
#include "fleet_cluster.hpp"

#include "cluster.hpp"
#include "loopback_addresses.hpp"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr base::milliseconds call_timeout{5'000};
constexpr base::milliseconds exit_timeout{10'000};

net::http_method method_of(const std::string& method_name) {
    if (method_name == "POST") {
        return net::http_method::post;
    }
    return method_name == "DELETE" ? net::http_method::del : net::http_method::get;
}

http_reply reply_of(const net::http_result& result) {
    http_reply out;
    if (result) {
        out.status = result->status;
        out.body = json::parse(result->body, nullptr, false);
        out.retry_after = result->header("Retry-After");
    }
    return out;
}

}  // namespace

struct fleet_cluster::daemon_process {
    std::string name;
    net::endpoint caller_address;
    net::endpoint readiness_address;
    net::endpoint peer_address;
    std::string settings_file;
    std::string log_file;
    scratch_folder folder;
    std::unique_ptr<process> running_process;
};

fleet_cluster::fleet_cluster(int daemons, const platform_site_options& plan)
    : site_(std::make_unique<platform_site>(plan)) {
    site_->put_row("op", "config", configuration(1, false));
    json zones = json::object();  // the region of each zone
    for (const auto& it : plan.zones) {
        zones[it.name] = it.region;
    }
    for (int i = 0; i < daemons; ++i) {
        auto entry = std::make_unique<daemon_process>();
        const std::string address = loopback_address(i);
        entry->name = "edge-" + std::to_string(i);
        entry->caller_address = {address, unused_port(address)};
        entry->readiness_address = {address, unused_port(address)};
        entry->peer_address = {address, unused_port(address)};
        entry->settings_file = (entry->folder.path() / "node.json").string();
        entry->log_file = (entry->folder.path() / "log").string();
        const auto& zone = plan.zones[static_cast<std::size_t>(i) % plan.zones.size()];
        const json settings = {
            {"nodeName", entry->name},
            {"zone", zone.name},
            {"region", zone.region},
            {"zones", zones},
            {"ip", address},
            {"listenAddrs",
             {{"frontend", entry->caller_address.text()},
              {"readiness", entry->readiness_address.text()}}},
            {"portRange", {entry->peer_address.port, entry->peer_address.port}},
            {"limits", {{"cpuShare", 1.0}, {"memoryMb", 260}, {"linkMbps", 1000}}},
            {"bounds",
             {{"holdMaxMs", plan.max_lease.count()},
              {"stopMs", plan.max_stop_time.count()},
              {"graceS", 6},
              {"status_s", 120}}},
            {"advice", site_->advisor().text()},
            {"platform",
             {{"address", (plan.route ? plan.route(site_->store()) : site_->store()).text()},
              {"writesPerS", 600},
              {"partWritesPerS", 200},
              {"rowBytes", plan.max_row_bytes}}}};
        std::ofstream(entry->settings_file) << settings.dump();
        daemons_.push_back(std::move(entry));
    }
    for (int i = 0; i < daemons; ++i) {
        start(i);
    }
}

fleet_cluster::~fleet_cluster() = default;

void fleet_cluster::start(int daemon) {
    auto& entry = *daemons_[static_cast<std::size_t>(daemon)];
    setenv("CRANBERRYDOCK_CONFIG", entry.settings_file.c_str(), 1);
    entry.running_process = std::make_unique<process>(
        program{"cranberrydock", {"--platform=shared", "--log=debug"}, "", entry.log_file});
}

void fleet_cluster::kill(int daemon) {
    auto& entry = *daemons_[static_cast<std::size_t>(daemon)];
    entry.running_process->signal(SIGKILL);
    entry.running_process->wait_until_ended(exit_timeout);
}

void fleet_cluster::terminate(int daemon) {
    daemons_[static_cast<std::size_t>(daemon)]->running_process->signal(SIGTERM);
}

void fleet_cluster::signal(int daemon, int number) {
    daemons_[static_cast<std::size_t>(daemon)]->running_process->signal(number);
}

std::optional<int> fleet_cluster::exit_status_if_ended(int daemon) {
    return daemons_[static_cast<std::size_t>(daemon)]->running_process->wait_until_ended(
        base::milliseconds(0));
}

const net::endpoint& fleet_cluster::caller_address(int daemon) const {
    return daemons_[static_cast<std::size_t>(daemon)]->caller_address;
}

const std::string& fleet_cluster::settings_file(int daemon) const {
    return daemons_[static_cast<std::size_t>(daemon)]->settings_file;
}

std::optional<int> fleet_cluster::wait_until_ended(int daemon) {
    return daemons_[static_cast<std::size_t>(daemon)]->running_process->wait_until_ended(
        exit_timeout);
}

http_reply fleet_cluster::call(int daemon, const std::string& method, const std::string& path,
                               const std::string& body, const std::string& key) {
    net::http_request request;
    request.method = method_of(method);
    request.path = path;
    request.headers = {{"Host", "h"}, {"X-Deadline-Ms", "3000"}};
    if (!key.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + key});
    }
    request.body = body;
    const auto& server = daemons_[static_cast<std::size_t>(daemon)]->caller_address;
    return reply_of(standins::call(server, std::move(request), call_timeout));
}

http_reply fleet_cluster::submit(int daemon, const std::string& job, int tasks,
                                 const std::string& key, const std::string& queue) {
    const json body = {
        {"spec", "work"},
        {"phases", {{{"count", tasks}, {"cpu", 1'000}, {"memMb", 10}, {"estimatedMs", 300}}}}};
    return call(daemon, "POST", queue + job, body.dump(), key);
}

http_reply fleet_cluster::peer_call(int daemon, const std::string& path, const std::string& body) {
    const auto& server = daemons_[static_cast<std::size_t>(daemon)]->peer_address;
    const auto method = body.empty() ? net::http_method::get : net::http_method::post;
    return reply_of(standins::call(server, {method, path, "", {}, body}, call_timeout));
}

bool fleet_cluster::wait_until_ready(int daemon, base::milliseconds timeout) {
    if (wait_until([&] { return ready(daemon); }, timeout)) {
        return true;
    }
    const auto status = exit_status_if_ended(daemon);
    std::cerr << daemons_[static_cast<std::size_t>(daemon)]->name << " is not ready, "
              << (status ? "ended with " + std::to_string(*status) : "its process runs")
              << ". Its log:\n"
              << log_text(daemon) << "(end of log)\n";
    return false;
}

bool fleet_cluster::wait_until_ready(base::milliseconds timeout) {
    bool out = true;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        out = wait_until_ready(static_cast<int>(i), timeout) && out;
    }
    return out;
}

bool fleet_cluster::ready(int daemon) {
    const auto& server = daemons_[static_cast<std::size_t>(daemon)]->readiness_address;
    const auto result = standins::call(
        server, {net::http_method::get, "/cranberrydock/readyz", "", {}, ""}, call_timeout);
    constexpr int ok = 200;
    return result && result->status == ok;
}

int fleet_cluster::owner_index() {
    const std::string row = site_->row_value("fleet", "owner");
    if (row.empty()) {
        return -1;
    }
    const json record = json::from_cbor(row);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (daemons_[i]->name == record.at("holder").get<std::string>()) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

std::string fleet_cluster::log_text(int daemon) const {
    std::ifstream in(daemons_[static_cast<std::size_t>(daemon)]->log_file);
    std::stringstream contents;
    contents << in.rdbuf();
    return contents.str();
}

std::string fleet_cluster::configuration(int version, bool advice, const std::string& key) {
    json urgent = {{"name", "urgent"},   {"host", "h"},           {"prefix", "/urgent/"},
                   {"priority", 0},      {"service", "svc"},      {"maxAttempts", 3},
                   {"slackFactor", 2.0}, {"targetLatencyMs", 500}};
    json batch = urgent;
    batch["name"] = "batch";
    batch["prefix"] = "/batch/";
    batch["priority"] = 2;
    if (advice) {
        batch["advice"] = {{"decideMs", 5}, {"eachMs", 0.1}, {"validMs", 2'500}};
    }
    return json{{"version", version},
                {"routes", {urgent, batch}},
                {"services", {{{"name", "svc"}, {"enforceCapacity", false}}}},
                {"limits", {{"maxBodyBytes", 262'144}}},
                {"tenants",
                 {{{"name", "crew"},
                   {"apiKeys", {key}},
                   {"weight", 100},
                   {"upperBound", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}}}}}
        .dump();
}

std::string job_id_text(int number) {
    constexpr int digits = 16;
    std::string out = std::to_string(number);
    return std::string(digits - out.size(), '0') + out;
}

}  // namespace cranberrydock::standins
