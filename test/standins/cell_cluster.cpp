// Starts several daemons with one stand-in platform and one fleet of simulated VMs.
#include "cell_cluster.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

std::string settings_text(const daemon_spec& member, const net::endpoint& platform,
                          const std::string& more) {
    return "[identity]\nvm = \"" + member.vm + "\"\nregion = \"" + member.region + "\"\nzone = \"" +
           member.zone +
           "\"\n[listen]\nhttp = \"127.0.0.1:0\"\nmesh = \"127.0.0.1:0\"\n[platform]\nkind = "
           "\"http\"\naddress = \"" +
           platform.text() + "\"\n[mesh]\nsecret = \"the secret of this test's daemons\"\n" + more;
}

json queue(const std::string& policy) {
    return {{"policy", policy}, {"open", true}, {"open_team", "survey"}};
}

std::string body_of(const work_request& work) {
    const json payload = {{"work", "echo"}, {"for_ms", work.task_time_ms}, {"answer", work.answer}};
    json body = {{"queue", work.queue},
                 {"kind", "test"},
                 {"repeatable", work.repeatable},
                 {"payload", payload.dump()}};
    body.update(work.extra_fields);
    return body.dump();
}

std::vector<net::http_header> headers_of(const std::string& key, const std::string& bearer) {
    std::vector<net::http_header> out;
    if (!key.empty()) {
        out.push_back({"Idempotency-Key", key});
    }
    if (!bearer.empty()) {
        out.push_back({"Authorization", "Bearer " + bearer});
    }
    return out;
}

work_response result_of(const net::http_result& result) {
    if (!result) {
        return {};
    }
    return {result->status, json::parse(result->body, nullptr, false)};
}

work_response submit_to(const net::endpoint& entry, const work_request& work) {
    return result_of(call(entry, {net::http_method::post, work.job ? "/v1/jobs" : "/v1/requests",
                                  "", headers_of(work.key, work.bearer_token), body_of(work)}));
}

// Returns whether the daemon has `version` in force and an owner on record for each cell.
bool has_current_state(const net::endpoint& entry, std::int64_t version) {
    const auto response = result_of(call(entry, {net::http_method::get, "/v1/config", "", {}, ""}));
    const auto cells = result_of(call(entry, {net::http_method::get, "/v1/cells", "", {}, ""}));
    return response.status == status_ok && response.body.at("version") >= version &&
           cells.status == status_ok &&
           std::all_of(cells.body.at("cells").begin(), cells.body.at("cells").end(),
                       [](const json& it) { return !it.value("owner", "").empty(); });
}

}  // namespace

json default_configuration() {
    return {
        {"teams", {{"survey", {{"home_region", "northcoast"}, {"share", 1}, {"upper_limit", 48}}}}},
        {"queues",
         {{"previews", queue("latency")},
          {"mosaics", queue("must_finish")},
          {"batches", queue("batch")},
          {"gangs", queue("gang")}}},
        {"cells",
         {{"nc-a", {{"region", "northcoast"}, {"zone", "northcoast-a"}}},
          {"nc-b", {{"region", "northcoast"}, {"zone", "northcoast-b"}}},
          {"sv-a", {{"region", "southvale"}, {"zone", "southvale-a"}}}}}};
}

std::string work_response::answer() const {
    if (!body.is_object() || !body.contains("answers") || body["answers"].empty()) {
        return "";
    }
    return body["answers"][0].value("content", "");
}

cell_cluster::cell_cluster(cell_cluster_options shape) : shape_(std::move(shape)) {
    if (shape_.configuration.is_null()) {
        shape_.configuration = default_configuration();
    }
    start_vms(shape_.vm_fleet);
    daemons_.resize(shape_.daemons.size());
    links_.resize(shape_.daemons.size());
    addresses_.resize(shape_.daemons.size());
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        start(i);
    }
    const std::int64_t version = patch_configuration(0, shape_.configuration);
    for (const auto& it : daemons_) {
        if (!wait_until([&] { return has_current_state(it.address, version); })) {
            throw std::runtime_error("a daemon does not have version " + std::to_string(version) +
                                     " in force and an owner for each cell");
        }
    }
    for (const auto& it : shape_.configuration.at("cells").items()) {
        if (!wait_until_owned(it.key())) {
            throw std::runtime_error("cell " + it.key() + " has no owner");
        }
        for (std::size_t i = 0; i < size(); ++i) {
            if (!wait_until([&] { return epoch_of(i, it.key()) > 0; })) {
                throw std::runtime_error("no epoch of cell " + it.key() + " on record at an entry");
            }
        }
    }
}

void cell_cluster::start(std::size_t i) {
    const daemon_spec& member = shape_.daemons.at(i);
    if (member.relayed && !links_.at(i)) {
        links_.at(i) = add_link(platform_address());
    }
    const net::endpoint& store = links_.at(i) ? links_.at(i)->address : platform_address();
    daemons_.at(i) = start_daemon(member.vm, settings_text(member, store, shape_.extra_settings));
    const std::lock_guard lock(addresses_mutex_);
    addresses_.at(i) = daemons_.at(i).address;
}

net::endpoint cell_cluster::entry(std::size_t i) const {
    const std::lock_guard lock(addresses_mutex_);
    return addresses_.at(i);
}

void cell_cluster::restart(std::size_t i) {
    start(i);
}

void cell_cluster::kill(std::size_t i) {
    daemons_.at(i).process_handle->signal(SIGKILL);
    daemons_.at(i).process_handle->wait_until_ended(generous_timeout);
}

std::optional<int> cell_cluster::stop(std::size_t i) {
    daemons_.at(i).process_handle->signal(SIGTERM);
    return daemons_.at(i).process_handle->wait_until_ended(generous_timeout);
}

bool cell_cluster::ready(std::size_t i) const {
    const auto response = call(entry(i), {net::http_method::get, "/readyz", "", {}, ""});
    return response && response->status == status_ok;
}

work_response cell_cluster::submit(std::size_t entry, const work_request& work) const {
    return submit_to(this->entry(entry), work);
}

std::future<work_response> cell_cluster::submit_async(std::size_t entry,
                                                      const work_request& work) const {
    return std::async(std::launch::async, submit_to, this->entry(entry), work);
}

work_response cell_cluster::get_job(std::size_t entry, const std::string& job,
                                    const std::string& bearer) const {
    return result_of(call(daemons_.at(entry).address, {net::http_method::get, "/v1/jobs/" + job, "",
                                                       headers_of("", bearer), ""}));
}

std::int64_t cell_cluster::patch_configuration(std::size_t entry, const json& change,
                                               const std::string& bearer) const {
    std::int64_t version = 0;
    const bool done = wait_until([&] {
        const net::endpoint& to = daemons_.at(entry).address;
        const auto headers = headers_of("", bearer);
        const auto current =
            result_of(call(to, {net::http_method::get, "/v1/config", "", headers, ""}));
        if (current.status != status_ok) {
            return false;
        }
        const std::string base =
            "base=" + std::to_string(current.body.at("version").get<std::int64_t>());
        const auto result = result_of(
            call(to, {net::http_method::patch, "/v1/config", base, headers, change.dump()}));
        if (result.status == status_ok) {
            version = result.body.at("version");
            return true;
        }
        if (result.status != status_conflict) {
            throw std::runtime_error("patch refused: " + result.body.dump());
        }
        return false;
    });
    if (!done) {
        throw std::runtime_error("the patch was not accepted in time");
    }
    return version;
}

std::optional<std::size_t> cell_cluster::owner_of(const std::string& cell) const {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const auto response =
            result_of(call(daemons_[i].address, {net::http_method::get, "/v1/cells", "", {}, ""},
                           base::milliseconds{2'000}));
        if (response.status != status_ok) {
            continue;
        }
        for (const auto& it : response.body.at("cells")) {
            if (it.at("cell") == cell && it.at("here") == true) {
                return i;
            }
        }
    }
    return std::nullopt;
}

bool cell_cluster::wait_until_owned(const std::string& cell) const {
    return wait_until([&] { return owner_of(cell).has_value(); });
}

std::int64_t cell_cluster::epoch_of(std::size_t entry, const std::string& cell) const {
    work_response response;
    // After an outage the entry refuses the call until it has confirmed that its configuration is
    // the newest.
    wait_until([&] {
        response =
            result_of(call(this->entry(entry), {net::http_method::get, "/v1/cells", "", {}, ""}));
        return response.status == status_ok;
    });
    for (const auto& it : response.body.at("cells")) {
        if (it.at("cell") == cell) {
            return it.at("epoch").get<std::int64_t>();
        }
    }
    throw std::runtime_error("entry " + std::to_string(entry) + " has no cell " + cell);
}

std::string cell_cluster::metrics(std::size_t entry) const {
    const auto result =
        call(daemons_.at(entry).address, {net::http_method::get, "/metrics", "", {}, ""});
    return result ? result->body : "";
}

std::string cell_cluster::violations() const {
    const json report = checker_report();
    return report.at("total") == 0 ? "" : report.dump();
}

}  // namespace cranberrydock::standins
