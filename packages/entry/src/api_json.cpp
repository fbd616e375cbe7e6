// Creates the JSON bodies of responses.
#include "api_json.hpp"

#include <cranberrydock/base/base64.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cranberrydock::entry {
namespace {

using nlohmann::json;

std::string serialize(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Returns true if the bytes can be sent as a JSON string without base64: printable ASCII, tab, line
// feed and carriage return.
bool is_plain(const std::string& bytes) {
    return std::all_of(bytes.begin(), bytes.end(), [](char c) {
        constexpr char first_printable = 0x20;
        constexpr char last_printable = 0x7e;
        const bool space = c == '\n' || c == '\t' || c == '\r';
        return space || (c >= first_printable && c <= last_printable);
    });
}

json answer_of(const base::task_answer& it) {
    json out = {{"task", it.task.str()},
                {"vm", it.vm.str()},
                {"digest", it.digest},
                {"attempts", it.attempts}};
    if (is_plain(it.content)) {
        out["content"] = it.content;
    } else {
        out["content_base64"] = base::to_base64(it.content);
    }
    return out;
}

json answers_of(const std::vector<base::task_answer>& answers) {
    json out = json::array();
    for (const auto& it : answers) {
        out.push_back(answer_of(it));
    }
    return out;
}

json trace_of(const std::vector<base::trace_step>& trace) {
    json out = json::array();
    for (const auto& it : trace) {
        out.push_back({{"stage", it.stage},
                       {"where", it.where},
                       {"at_us", it.at.count()},
                       {"took_us", it.took.count()},
                       {"note", it.note}});
    }
    return out;
}

json view_of(const base::job_view& job) {
    json out = {{"job", job.job.str()},
                {"team", job.team.str()},
                {"queue", job.queue.str()},
                {"kind", job.kind.str()},
                {"state", to_string(job.state)},
                {"why", job.why},
                {"tasks", job.tasks},
                {"tasks_running", job.tasks_running},
                {"tasks_done", job.tasks_done},
                {"vms", json::array()},
                {"attempts", job.attempts},
                {"attempt_reasons", job.attempt_reasons},
                {"answers", answers_of(job.answers)},
                {"trace", trace_of(job.trace)}};
    for (const auto& it : job.vms) {
        out["vms"].push_back(it.str());
    }
    if (job.refused) {
        out["refusal"] = {{"reason", std::string(to_string(job.refused->reason))},
                          {"not_run", job.refused->not_run},
                          {"detail", job.refused->detail}};
    }
    return out;
}

json resources_of(const base::resources& amounts) {
    return {{"millicores", amounts.cores.value()},
            {"memory_mib", amounts.memory.value()},
            {"accelerators", amounts.accelerators.value()},
            {"slots", amounts.slots.value()}};
}

}  // namespace

std::string accepted_json(const base::work& spec) {
    return serialize(
        {{"request", spec.id.str()}, {"job", spec.job.str()}, {"idempotency_key", spec.key.str()}});
}

std::string answered_json(const base::work& spec, const base::work_answered& outcome) {
    return serialize({{"request", spec.id.str()},
                      {"job", spec.job.str()},
                      {"answers", answers_of(outcome.answers)}});
}

std::string job_json(const base::job_view& job) {
    return serialize(view_of(job));
}

std::string explain_json(const base::job_view& job,
                         const std::optional<mesh::latency_verdict>& verdict) {
    json out = view_of(job);
    if (!verdict) {
        return serialize(out);
    }
    json parts = json::array();
    for (const auto& it : verdict->parts) {
        parts.push_back({{"blamed", to_string(it.cause)},
                         {"where", it.location},
                         {"took_us", it.duration.count()},
                         {"typical_us", it.typical.count()},
                         {"note", it.note}});
    }
    out["verdict"] = {{"blamed", to_string(verdict->cause)},
                      {"where", verdict->location},
                      {"excess_us", verdict->excess.count()},
                      {"share", verdict->share},
                      {"text", verdict->text},
                      {"parts", std::move(parts)}};
    return serialize(out);
}

std::string jobs_json(const std::vector<base::job_view>& jobs) {
    json out = {{"jobs", json::array()}};
    for (const auto& it : jobs) {
        out["jobs"].push_back(view_of(it));
    }
    return serialize(out);
}

std::string cells_json(const std::vector<cell_status>& cells, const std::vector<link_view>& links) {
    json out = {{"cells", json::array()}, {"links", json::array()}};
    for (const auto& it : cells) {
        out["cells"].push_back({{"cell", it.cell.str()},
                                {"owner", it.owner.str()},
                                {"epoch", it.epoch.value()},
                                {"here", it.owned_here}});
    }
    for (const auto& it : links) {
        out["links"].push_back(
            {{"peer", it.peer.str()}, {"up", it.up}, {"round_trip_us", it.round_trip.count()}});
    }
    return serialize(out);
}

std::string vms_json(const std::vector<cell::vm_view>& vms) {
    json out = {{"vms", json::array()}};
    for (const auto& it : vms) {
        out["vms"].push_back({{"vm", it.vm.str()},
                              {"address", it.address.text()},
                              {"rack", it.rack.str()},
                              {"state", it.state},
                              {"capacity", resources_of(it.capacity)},
                              {"attempts", it.attempts}});
    }
    return serialize(out);
}

std::string promises_json(const std::vector<cell::broken_promise>& promises) {
    json out = {{"broken", json::array()}};
    for (const auto& it : promises) {
        out["broken"].push_back({{"promise", it.promise}, {"evidence", it.evidence}});
    }
    return serialize(out);
}

std::string newest_version_json(const version_document& version) {
    return serialize({{"version", version.version.value()},
                      {"document", json::parse(version.document, nullptr, false)}});
}

std::string versions_json(const std::vector<version_document>& versions) {
    json out = {{"versions", json::array()}};
    for (const auto& it : versions) {
        out["versions"].push_back({{"version", it.version.value()}, {"author", it.author}});
    }
    return serialize(out);
}

}  // namespace cranberrydock::entry
