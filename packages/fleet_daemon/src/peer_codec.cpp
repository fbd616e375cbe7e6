// CBOR encoding of the messages between daemons.
#include "peer_codec.hpp"

#include <nlohmann/json.hpp>

namespace cranberrydock::fleet_daemon::detail {
namespace {

using nlohmann::json;

std::string to_bytes(const json& value) {
    const std::vector<std::uint8_t> buf = json::to_cbor(value);
    return {buf.begin(), buf.end()};
}

// Row values are encoded as byte strings: they need not be valid UTF-8.
json to_binary(const std::string& value) {
    return json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
}

std::string from_binary(const json& value) {
    const auto& buf = value.get_binary();
    return {buf.begin(), buf.end()};
}

json encode_address(const fleet::row_address& row) {
    return json::array({row.table.str(), row.partition.str(), row.name.str()});
}

fleet::row_address decode_address(const json& from) {
    return {fleet::table_name(from.at(0).get<std::string>()),
            fleet::partition_name(from.at(1).get<std::string>()),
            fleet::row_name(from.at(2).get<std::string>())};
}

json encode_rows(const std::vector<fleet::stored_row>& rows) {
    json out = json::array();
    for (const auto& it : rows) {
        out.push_back(json::array(
            {encode_address(it.address), to_binary(it.value), it.version.value(), it.removed}));
    }
    return out;
}

std::vector<fleet::stored_row> decode_rows(const json& from) {
    std::vector<fleet::stored_row> out;
    for (const auto& it : from) {
        out.push_back({decode_address(it.at(0)), from_binary(it.at(1)),
                       fleet::store_version(it.at(2).get<std::int64_t>()), it.at(3).get<bool>()});
    }
    return out;
}

json encode_error(const fleet::store_error& error) {
    return {{"failure", static_cast<int>(error.failure)}, {"rows", encode_rows(error.rows)}};
}

fleet::store_error decode_error(const json& from) {
    const int failure = from.at("failure").get<int>();
    if (failure < 0 || failure > static_cast<int>(fleet::store_failure::rejected)) {
        throw std::invalid_argument("expected the number of a store failure, found " +
                                    std::to_string(failure));
    }
    return {static_cast<fleet::store_failure>(failure), decode_rows(from.at("rows"))};
}

}  // namespace

std::string encode(const placement_call& call) {
    json vms = json::array();
    for (const auto& it : call.placement.vms) {
        vms.push_back(it.str());
    }
    return to_bytes({{"job", call.placement.step.job.str()},
                     {"occurrence", call.placement.step.occurrence},
                     {"step", call.placement.step.step},
                     {"timeout_ms", call.timeout.count()},
                     {"vms", std::move(vms)}});
}

placement_call decode_placement_call(const std::string& body) {
    const json from = json::from_cbor(body);
    placement_call out;
    out.placement.step.job = fleet::job_id(from.at("job").get<std::string>());
    out.placement.step.occurrence = from.at("occurrence").get<int>();
    out.placement.step.step = from.at("step").get<int>();
    out.timeout = base::milliseconds(from.at("timeout_ms").get<std::int64_t>());
    for (const auto& it : from.at("vms")) {
        out.placement.vms.emplace_back(it.get<std::string>());
    }
    return out;
}

std::string encode(const fleet::placement_response& answer) {
    json grants = json::array();
    for (const auto& it : answer.grants) {
        grants.push_back(json::array({it.vm.str(), it.ticket.str()}));
    }
    return to_bytes({{"ticket_life_ms", answer.ticket_lifetime.count()}, {"grants", grants}});
}

fleet::placement_response decode_placement_response(const std::string& body) {
    const json from = json::from_cbor(body);
    fleet::placement_response out;
    out.ticket_lifetime = base::milliseconds(from.at("ticket_life_ms").get<std::int64_t>());
    for (const auto& it : from.at("grants")) {
        out.grants.push_back({fleet::vm_id(it.at(0).get<std::string>()),
                              fleet::placement_ticket(it.at(1).get<std::string>())});
    }
    return out;
}

std::string encode(const commit_call& call) {
    json conditions = json::array();
    for (const auto& it : call.transaction.conditions) {
        conditions.push_back(json::array({encode_address(it.address), it.version.value()}));
    }
    json puts = json::array();
    for (const auto& it : call.transaction.puts) {
        puts.push_back(json::array({encode_address(it.address), to_binary(it.value)}));
    }
    json removals = json::array();
    for (const auto& it : call.transaction.removals) {
        removals.push_back(encode_address(it));
    }
    return to_bytes({{"conditions", std::move(conditions)},
                     {"puts", std::move(puts)},
                     {"removals", std::move(removals)},
                     {"timeout_ms", call.timeout.count()}});
}

commit_call decode_commit_call(const std::string& body) {
    const json from = json::from_cbor(body);
    commit_call out;
    for (const auto& it : from.at("conditions")) {
        out.transaction.conditions.push_back(
            {decode_address(it.at(0)), fleet::store_version(it.at(1).get<std::int64_t>())});
    }
    for (const auto& it : from.at("puts")) {
        out.transaction.puts.push_back({decode_address(it.at(0)), from_binary(it.at(1))});
    }
    for (const auto& it : from.at("removals")) {
        out.transaction.removals.push_back(decode_address(it));
    }
    out.timeout = base::milliseconds(from.at("timeout_ms").get<std::int64_t>());
    return out;
}

std::string encode(const tl::expected<fleet::store_version, fleet::store_error>& answer) {
    return to_bytes(answer ? json{{"version", answer->value()}} : encode_error(answer.error()));
}

tl::expected<fleet::store_version, fleet::store_error> decode_commit(const std::string& body) {
    const json from = json::from_cbor(body);
    if (from.contains("version")) {
        return fleet::store_version(from.at("version").get<std::int64_t>());
    }
    return tl::unexpected(decode_error(from));
}

std::string encode(const read_call& call) {
    return to_bytes({{"from", encode_address(call.from)},
                     {"limit", call.limit},
                     {"timeout_ms", call.timeout.count()},
                     {"follow", call.follow},
                     {"after", call.after.value()}});
}

read_call decode_read_call(const std::string& body) {
    const json from = json::from_cbor(body);
    read_call out;
    out.from = decode_address(from.at("from"));
    out.limit = from.at("limit").get<std::size_t>();
    out.timeout = base::milliseconds(from.at("timeout_ms").get<std::int64_t>());
    out.follow = from.at("follow").get<bool>();
    out.after = fleet::store_version(from.at("after").get<std::int64_t>());
    return out;
}

std::string encode(const tl::expected<fleet::rows_read, fleet::store_error>& answer) {
    return to_bytes(answer ? json{{"rows", encode_rows(answer->rows)},
                                  {"more", answer->more},
                                  {"version", answer->version.value()}}
                           : encode_error(answer.error()));
}

tl::expected<fleet::rows_read, fleet::store_error> decode_read(const std::string& body) {
    const json from = json::from_cbor(body);
    if (!from.contains("version")) {
        return tl::unexpected(decode_error(from));
    }
    fleet::rows_read out;
    out.rows = decode_rows(from.at("rows"));
    out.more = from.at("more").get<bool>();
    out.version = fleet::store_version(from.at("version").get<std::int64_t>());
    return out;
}

std::string encode(const written_job& job) {
    return to_bytes(
        {{"job", job.job.str()}, {"row", to_binary(job.row)}, {"version", job.version.value()}});
}

written_job decode_written_job(const std::string& body) {
    const json from = json::from_cbor(body);
    return {fleet::job_id(from.at("job").get<std::string>()), from_binary(from.at("row")),
            fleet::store_version(from.at("version").get<std::int64_t>())};
}

std::string encode(const write_call& call) {
    return to_bytes({{"job", call.delegated.job.str()},
                     {"row", to_binary(call.delegated.row)},
                     {"may_be_written", call.delegated.may_be_written},
                     {"timeout_ms", call.timeout.count()}});
}

write_call decode_write_call(const std::string& body) {
    const json from = json::from_cbor(body);
    return {{fleet::job_id(from.at("job").get<std::string>()), from_binary(from.at("row")),
             from.at("may_be_written").get<bool>()},
            base::milliseconds(from.at("timeout_ms").get<std::int64_t>())};
}

std::string encode(const write_result& result) {
    return to_bytes(
        {{"outcome", static_cast<int>(result.outcome)}, {"version", result.version.value()}});
}

write_result decode_write_result(const std::string& body) {
    const json from = json::from_cbor(body);
    const int outcome = from.at("outcome").get<int>();
    if (outcome < 0 || outcome > static_cast<int>(write_outcome::cancelled)) {
        throw std::invalid_argument("expected the outcome of a write, found " +
                                    std::to_string(outcome));
    }
    return {static_cast<write_outcome>(outcome),
            fleet::store_version(from.at("version").get<std::int64_t>())};
}

std::string encode(const std::optional<owner_job_status>& status) {
    return to_bytes(status ? json{{"customer", status->customer.str()},
                                  {"queue", status->queue.str()},
                                  {"state", static_cast<int>(status->state)}}
                           : json::object());
}

std::optional<owner_job_status> decode_status(const std::string& body) {
    const json from = json::from_cbor(body);
    if (!from.contains("state")) {
        return std::nullopt;
    }
    const int state = from.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(fleet::job_state::cancelled)) {
        throw std::invalid_argument("expected a job's state, found " + std::to_string(state));
    }
    return owner_job_status{fleet::customer_name(from.at("customer").get<std::string>()),
                            fleet::queue_name(from.at("queue").get<std::string>()),
                            static_cast<fleet::job_state>(state)};
}

namespace {

// Commands and outcomes are numerous, so they are encoded compactly: as arrays whose first element
// is the kind.
enum class command_kind { start, stop, watch };
enum class outcome_kind { time, report, failure, expired };

json encode_task(const fleet::task_ref& task) {
    return json::array({task.job.str(), task.occurrence, task.step, task.index});
}

fleet::task_ref decode_task(const json& from) {
    return {fleet::job_id(from.at(0).get<std::string>()), from.at(1).get<int>(),
            from.at(2).get<int>(), from.at(3).get<int>()};
}

json encode_command(const relayed_command& relayed) {
    if (const auto* const start = std::get_if<fleet::start_command>(&relayed.content)) {
        return json::array({static_cast<int>(command_kind::start), encode_task(start->task),
                            start->run.value(), to_binary(start->payload),
                            start->lease_until.value(), start->resume_from.str(),
                            start->ticket.str()});
    }
    if (const auto* const stop = std::get_if<stop_command>(&relayed.content)) {
        return json::array(
            {static_cast<int>(command_kind::stop), encode_task(stop->task), stop->run.value()});
    }
    const auto& watch = std::get<fleet::watch_command>(relayed.content);
    return json::array({static_cast<int>(command_kind::watch), watch.lease_until.value(),
                        watch.acknowledged.value(), watch.wait.count()});
}

std::variant<fleet::start_command, stop_command, fleet::watch_command> decode_command(
    const json& from) {
    const auto kind = static_cast<command_kind>(from.at(0).get<int>());
    if (kind == command_kind::start) {
        fleet::start_command out;
        out.task = decode_task(from.at(1));
        out.run = fleet::run_number(from.at(2).get<std::int32_t>());
        out.payload = from_binary(from.at(3));
        out.lease_until = fleet::vm_time(from.at(4).get<std::int64_t>());
        out.resume_from = fleet::checkpoint(from.at(5).get<std::string>());
        out.ticket = fleet::placement_ticket(from.at(6).get<std::string>());
        return out;
    }
    if (kind == command_kind::stop) {
        return stop_command{decode_task(from.at(1)),
                            fleet::run_number(from.at(2).get<std::int32_t>())};
    }
    if (kind != command_kind::watch) {
        throw std::invalid_argument("expected a command for a VM, found kind " + from.at(0).dump());
    }
    fleet::watch_command out;
    out.lease_until = fleet::vm_time(from.at(1).get<std::int64_t>());
    out.acknowledged = fleet::completion_number(from.at(2).get<std::int64_t>());
    out.wait = base::milliseconds(from.at(3).get<std::int64_t>());
    return out;
}

json encode_report(const fleet::vm_report& report) {
    json running = json::array();
    for (const auto& it : report.running) {
        running.push_back(json::array(
            {encode_task(it.task), it.run.value(), it.last_checkpoint.str(), it.percent}));
    }
    json ends = json::array();
    for (const auto& it : report.completions) {
        ends.push_back(json::array({it.number.value(), encode_task(it.task), it.run.value(),
                                    static_cast<int>(it.kind), it.last_checkpoint.str()}));
    }
    return json::array({static_cast<int>(outcome_kind::report), report.now.value(),
                        report.boot.value(), std::move(running), std::move(ends)});
}

fleet::vm_report decode_report(const json& from) {
    fleet::vm_report out;
    out.now = fleet::vm_time(from.at(1).get<std::int64_t>());
    out.boot = fleet::boot_time(from.at(2).get<std::int64_t>());
    for (const auto& it : from.at(3)) {
        out.running.push_back(
            {decode_task(it.at(0)), fleet::run_number(it.at(1).get<std::int32_t>()),
             fleet::checkpoint(it.at(2).get<std::string>()), it.at(3).get<int>()});
    }
    for (const auto& it : from.at(4)) {
        const int kind = it.at(3).get<int>();
        if (kind < 0 || kind > static_cast<int>(fleet::completion_kind::gang_incomplete)) {
            throw std::invalid_argument("expected the kind of a task's completion, found " +
                                        std::to_string(kind));
        }
        out.completions.push_back({fleet::completion_number(it.at(0).get<std::int64_t>()),
                                   decode_task(it.at(1)),
                                   fleet::run_number(it.at(2).get<std::int32_t>()),
                                   static_cast<fleet::completion_kind>(kind),
                                   fleet::checkpoint(it.at(4).get<std::string>())});
    }
    return out;
}

json encode_outcome(const relayed_outcome& outcome) {
    if (const auto* const time = std::get_if<fleet::vm_time>(&outcome.content)) {
        return json::array({static_cast<int>(outcome_kind::time), time->value()});
    }
    if (const auto* const report = std::get_if<fleet::vm_report>(&outcome.content)) {
        return encode_report(*report);
    }
    if (const auto* const failure = std::get_if<fleet::command_failure>(&outcome.content)) {
        return json::array({static_cast<int>(outcome_kind::failure), static_cast<int>(*failure)});
    }
    return json::array({static_cast<int>(outcome_kind::expired)});
}

relayed_outcome decode_outcome(const json& from) {
    relayed_outcome out;
    out.number = command_number(from.at(0).get<std::int64_t>());
    const json& fields = from.at(1);
    switch (static_cast<outcome_kind>(fields.at(0).get<int>())) {
        case outcome_kind::time:
            out.content = fleet::vm_time(fields.at(1).get<std::int64_t>());
            return out;
        case outcome_kind::report:
            out.content = decode_report(fields);
            return out;
        case outcome_kind::failure: {
            const int failure = fields.at(1).get<int>();
            if (failure < 0 || failure > static_cast<int>(fleet::command_failure::malformed)) {
                throw std::invalid_argument("expected the failure of a command, found " +
                                            std::to_string(failure));
            }
            out.content = static_cast<fleet::command_failure>(failure);
            return out;
        }
        case outcome_kind::expired:
            out.content = command_expired{};
            return out;
    }
    throw std::invalid_argument("expected the outcome of a command, found " + fields.dump());
}

}  // namespace

std::string encode(const command_batch& batch) {
    json commands = json::array();
    for (const auto& it : batch.commands) {
        commands.push_back(json::array(
            {it.number.value(), it.vm.str(), it.address, it.owner.value(), encode_command(it)}));
    }
    return to_bytes({{"sender", batch.sender},
                     {"relay_run", batch.relay_run},
                     {"not_after", batch.not_after.value()},
                     {"orders", std::move(commands)}});
}

command_batch decode_command_batch(const std::string& body) {
    const json from = json::from_cbor(body);
    command_batch out;
    out.sender = from.at("sender").get<std::string>();
    out.relay_run = from.at("relay_run").get<std::string>();
    out.not_after = relay_time(from.at("not_after").get<std::int64_t>());
    for (const auto& it : from.at("orders")) {
        relayed_command decoded;
        decoded.number = command_number(it.at(0).get<std::int64_t>());
        decoded.vm = fleet::vm_id(it.at(1).get<std::string>());
        decoded.address = it.at(2).get<std::string>();
        decoded.owner = fleet::fencing_token(it.at(3).get<std::int64_t>());
        decoded.content = decode_command(it.at(4));
        out.commands.push_back(std::move(decoded));
    }
    return out;
}

std::string encode(const outcome_batch& batch) {
    json outcomes = json::array();
    for (const auto& it : batch.outcomes) {
        outcomes.push_back(json::array({it.number.value(), encode_outcome(it)}));
    }
    return to_bytes(
        {{"run", batch.run}, {"now", batch.now.value()}, {"outcomes", std::move(outcomes)}});
}

outcome_batch decode_outcome_batch(const std::string& body) {
    const json from = json::from_cbor(body);
    outcome_batch out;
    out.run = from.at("run").get<std::string>();
    out.now = relay_time(from.at("now").get<std::int64_t>());
    for (const auto& it : from.at("outcomes")) {
        out.outcomes.push_back(decode_outcome(it));
    }
    return out;
}

}  // namespace cranberrydock::fleet_daemon::detail
