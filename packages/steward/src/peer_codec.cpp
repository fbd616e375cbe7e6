// The messages between daemons as CBOR.
#include "peer_codec.hpp"

#include <nlohmann/json.hpp>

namespace cranberrydock::steward::detail {
namespace {

using nlohmann::json;

std::string to_bytes(const json& value) {
    const std::vector<std::uint8_t> buf = json::to_cbor(value);
    return {buf.begin(), buf.end()};
}

// Row values are bytes, not text.
json bytes_of(const std::string& value) {
    return json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
}

std::string text_of(const json& value) {
    const auto& buf = value.get_binary();
    return {buf.begin(), buf.end()};
}

json encode_address(const fleet::row_address& row) {
    return json::array({row.table.str(), row.part.str(), row.name.str()});
}

fleet::row_address decode_address(const json& from) {
    return {fleet::table_name(from.at(0).get<std::string>()),
            fleet::part_name(from.at(1).get<std::string>()),
            fleet::row_name(from.at(2).get<std::string>())};
}

json encode_rows(const std::vector<fleet::stored_row>& rows) {
    json out = json::array();
    for (const auto& it : rows) {
        out.push_back(json::array(
            {encode_address(it.address), bytes_of(it.value), it.version.value(), it.removed}));
    }
    return out;
}

std::vector<fleet::stored_row> decode_rows(const json& from) {
    std::vector<fleet::stored_row> out;
    for (const auto& it : from) {
        out.push_back({decode_address(it.at(0)), text_of(it.at(1)),
                       fleet::store_version(it.at(2).get<std::int64_t>()), it.at(3).get<bool>()});
    }
    return out;
}

json encode_error(const fleet::store_error& error) {
    return {{"failure", static_cast<int>(error.failure)}, {"rows", encode_rows(error.rows)}};
}

fleet::store_error decode_error(const json& from) {
    const int failure = from.at("failure").get<int>();
    if (failure < 0 || failure > static_cast<int>(fleet::store_failure::behind)) {
        throw std::invalid_argument("expected a failure of the store, found " +
                                    std::to_string(failure));
    }
    return {static_cast<fleet::store_failure>(failure), decode_rows(from.at("rows"))};
}

}  // namespace

std::string encode(const advice_call& call) {
    json vms = json::array();
    for (const auto& it : call.question.vms) {
        vms.push_back(it.str());
    }
    return to_bytes({{"job", call.question.step.job.str()},
                     {"occurrence", call.question.step.occurrence},
                     {"step", call.question.step.step},
                     {"timeout_ms", call.timeout.count()},
                     {"vms", std::move(vms)}});
}

advice_call decode_advice_call(const std::string& body) {
    const json from = json::from_cbor(body);
    advice_call out;
    out.question.step.job = fleet::job_id(from.at("job").get<std::string>());
    out.question.step.occurrence = from.at("occurrence").get<int>();
    out.question.step.step = from.at("step").get<int>();
    out.timeout = base::milliseconds(from.at("timeout_ms").get<std::int64_t>());
    for (const auto& it : from.at("vms")) {
        out.question.vms.emplace_back(it.get<std::string>());
    }
    return out;
}

std::string encode(const fleet::advice_answer& answer) {
    json grants = json::array();
    for (const auto& it : answer.grants) {
        grants.push_back(json::array({it.vm.str(), it.ticket.str()}));
    }
    return to_bytes({{"ticket_life_ms", answer.ticket_life.count()}, {"grants", grants}});
}

fleet::advice_answer decode_advice(const std::string& body) {
    const json from = json::from_cbor(body);
    fleet::advice_answer out;
    out.ticket_life = base::milliseconds(from.at("ticket_life_ms").get<std::int64_t>());
    for (const auto& it : from.at("grants")) {
        out.grants.push_back({fleet::vm_id(it.at(0).get<std::string>()),
                              fleet::placement_ticket(it.at(1).get<std::string>())});
    }
    return out;
}

std::string encode(const commit_call& call) {
    json conditions = json::array();
    for (const auto& it : call.what.conditions) {
        conditions.push_back(json::array({encode_address(it.address), it.version.value()}));
    }
    json puts = json::array();
    for (const auto& it : call.what.puts) {
        puts.push_back(json::array({encode_address(it.address), bytes_of(it.value)}));
    }
    json removals = json::array();
    for (const auto& it : call.what.removals) {
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
        out.what.conditions.push_back(
            {decode_address(it.at(0)), fleet::store_version(it.at(1).get<std::int64_t>())});
    }
    for (const auto& it : from.at("puts")) {
        out.what.puts.push_back({decode_address(it.at(0)), text_of(it.at(1))});
    }
    for (const auto& it : from.at("removals")) {
        out.what.removals.push_back(decode_address(it));
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
        {{"job", job.job.str()}, {"row", bytes_of(job.row)}, {"version", job.version.value()}});
}

written_job decode_written_job(const std::string& body) {
    const json from = json::from_cbor(body);
    return {fleet::job_id(from.at("job").get<std::string>()), text_of(from.at("row")),
            fleet::store_version(from.at("version").get<std::int64_t>())};
}

std::string encode(const write_call& call) {
    return to_bytes({{"job", call.what.job.str()},
                     {"row", bytes_of(call.what.row)},
                     {"may_be_written", call.what.may_be_written},
                     {"timeout_ms", call.timeout.count()}});
}

write_call decode_write_call(const std::string& body) {
    const json from = json::from_cbor(body);
    return {{fleet::job_id(from.at("job").get<std::string>()), text_of(from.at("row")),
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
    if (outcome < 0 || outcome > static_cast<int>(write_outcome::unclear)) {
        throw std::invalid_argument("expected the outcome of a write, found " +
                                    std::to_string(outcome));
    }
    return {static_cast<write_outcome>(outcome),
            fleet::store_version(from.at("version").get<std::int64_t>())};
}

std::string encode(const std::optional<known_status>& status) {
    return to_bytes(status ? json{{"customer", status->customer.str()},
                                  {"queue", status->queue.str()},
                                  {"state", static_cast<int>(status->state)}}
                           : json::object());
}

std::optional<known_status> decode_status(const std::string& body) {
    const json from = json::from_cbor(body);
    if (!from.contains("state")) {
        return std::nullopt;
    }
    const int state = from.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(fleet::job_state::cancelled)) {
        throw std::invalid_argument("expected a job's state, found " + std::to_string(state));
    }
    return known_status{fleet::customer_name(from.at("customer").get<std::string>()),
                        fleet::queue_name(from.at("queue").get<std::string>()),
                        static_cast<fleet::job_state>(state)};
}

namespace {

// Orders and outcomes are many: arrays, with what tells the kinds apart in front.
enum class order_kind { start, stop, watch };
enum class outcome_kind { time, report, failure, expired };

json encode_task(const fleet::task_ref& task) {
    return json::array({task.job.str(), task.occurrence, task.step, task.index});
}

fleet::task_ref decode_task(const json& from) {
    return {fleet::job_id(from.at(0).get<std::string>()), from.at(1).get<int>(),
            from.at(2).get<int>(), from.at(3).get<int>()};
}

json encode_what(const relayed_order& order) {
    if (const auto* const start = std::get_if<fleet::start_order>(&order.what)) {
        return json::array({static_cast<int>(order_kind::start), encode_task(start->task),
                            start->run.value(), bytes_of(start->payload),
                            start->lease_until.value(), start->from.str(), start->ticket.str()});
    }
    if (const auto* const stop = std::get_if<stop_order>(&order.what)) {
        return json::array(
            {static_cast<int>(order_kind::stop), encode_task(stop->task), stop->run.value()});
    }
    const auto& watch = std::get<fleet::watch_order>(order.what);
    return json::array({static_cast<int>(order_kind::watch), watch.lease_until.value(),
                        watch.acknowledged.value(), watch.wait.count()});
}

std::variant<fleet::start_order, stop_order, fleet::watch_order> decode_what(const json& from) {
    const auto kind = static_cast<order_kind>(from.at(0).get<int>());
    if (kind == order_kind::start) {
        fleet::start_order out;
        out.task = decode_task(from.at(1));
        out.run = fleet::run_number(from.at(2).get<std::int32_t>());
        out.payload = text_of(from.at(3));
        out.lease_until = fleet::vm_time(from.at(4).get<std::int64_t>());
        out.from = fleet::checkpoint(from.at(5).get<std::string>());
        out.ticket = fleet::placement_ticket(from.at(6).get<std::string>());
        return out;
    }
    if (kind == order_kind::stop) {
        return stop_order{decode_task(from.at(1)),
                          fleet::run_number(from.at(2).get<std::int32_t>())};
    }
    if (kind != order_kind::watch) {
        throw std::invalid_argument("expected an order to a VM, found kind " + from.at(0).dump());
    }
    fleet::watch_order out;
    out.lease_until = fleet::vm_time(from.at(1).get<std::int64_t>());
    out.acknowledged = fleet::end_number(from.at(2).get<std::int64_t>());
    out.wait = base::milliseconds(from.at(3).get<std::int64_t>());
    return out;
}

json encode_report(const fleet::vm_report& report) {
    json running = json::array();
    for (const auto& it : report.running) {
        running.push_back(
            json::array({encode_task(it.task), it.run.value(), it.saved.str(), it.percent}));
    }
    json ends = json::array();
    for (const auto& it : report.ends) {
        ends.push_back(json::array({it.number.value(), encode_task(it.task), it.run.value(),
                                    static_cast<int>(it.kind), it.saved.str()}));
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
        if (kind < 0 || kind > static_cast<int>(fleet::end_kind::gang_incomplete)) {
            throw std::invalid_argument("expected how a task ended, found " + std::to_string(kind));
        }
        out.ends.push_back({fleet::end_number(it.at(0).get<std::int64_t>()), decode_task(it.at(1)),
                            fleet::run_number(it.at(2).get<std::int32_t>()),
                            static_cast<fleet::end_kind>(kind),
                            fleet::checkpoint(it.at(4).get<std::string>())});
    }
    return out;
}

json encode_what(const relayed_outcome& outcome) {
    if (const auto* const time = std::get_if<fleet::vm_time>(&outcome.what)) {
        return json::array({static_cast<int>(outcome_kind::time), time->value()});
    }
    if (const auto* const report = std::get_if<fleet::vm_report>(&outcome.what)) {
        return encode_report(*report);
    }
    if (const auto* const failure = std::get_if<fleet::order_failure>(&outcome.what)) {
        return json::array({static_cast<int>(outcome_kind::failure), static_cast<int>(*failure)});
    }
    return json::array({static_cast<int>(outcome_kind::expired)});
}

relayed_outcome decode_outcome(const json& from) {
    relayed_outcome out;
    out.number = order_number(from.at(0).get<std::int64_t>());
    const json& what = from.at(1);
    switch (static_cast<outcome_kind>(what.at(0).get<int>())) {
        case outcome_kind::time:
            out.what = fleet::vm_time(what.at(1).get<std::int64_t>());
            return out;
        case outcome_kind::report:
            out.what = decode_report(what);
            return out;
        case outcome_kind::failure: {
            const int failure = what.at(1).get<int>();
            if (failure < 0 || failure > static_cast<int>(fleet::order_failure::malformed)) {
                throw std::invalid_argument("expected the failure of an order, found " +
                                            std::to_string(failure));
            }
            out.what = static_cast<fleet::order_failure>(failure);
            return out;
        }
        case outcome_kind::expired:
            out.what = order_expired{};
            return out;
    }
    throw std::invalid_argument("expected the outcome of an order, found " + what.dump());
}

}  // namespace

std::string encode(const order_batch& batch) {
    json orders = json::array();
    for (const auto& it : batch.orders) {
        orders.push_back(json::array(
            {it.number.value(), it.vm.str(), it.address, it.owner.value(), encode_what(it)}));
    }
    return to_bytes({{"sender", batch.sender},
                     {"relay_run", batch.relay_run},
                     {"not_after", batch.not_after.value()},
                     {"orders", std::move(orders)}});
}

order_batch decode_orders(const std::string& body) {
    const json from = json::from_cbor(body);
    order_batch out;
    out.sender = from.at("sender").get<std::string>();
    out.relay_run = from.at("relay_run").get<std::string>();
    out.not_after = relay_time(from.at("not_after").get<std::int64_t>());
    for (const auto& it : from.at("orders")) {
        relayed_order one;
        one.number = order_number(it.at(0).get<std::int64_t>());
        one.vm = fleet::vm_id(it.at(1).get<std::string>());
        one.address = it.at(2).get<std::string>();
        one.owner = fleet::fence(it.at(3).get<std::int64_t>());
        one.what = decode_what(it.at(4));
        out.orders.push_back(std::move(one));
    }
    return out;
}

std::string encode(const outcome_batch& batch) {
    json outcomes = json::array();
    for (const auto& it : batch.outcomes) {
        outcomes.push_back(json::array({it.number.value(), encode_what(it)}));
    }
    return to_bytes(
        {{"run", batch.run}, {"now", batch.now.value()}, {"outcomes", std::move(outcomes)}});
}

outcome_batch decode_outcomes(const std::string& body) {
    const json from = json::from_cbor(body);
    outcome_batch out;
    out.run = from.at("run").get<std::string>();
    out.now = relay_time(from.at("now").get<std::int64_t>());
    for (const auto& it : from.at("outcomes")) {
        out.outcomes.push_back(decode_outcome(it));
    }
    return out;
}

}  // namespace cranberrydock::steward::detail
