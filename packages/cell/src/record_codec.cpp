// Encodes and decodes work records as CBOR.
#include <cranberrydock/cell/record_codec.hpp>
#include <cranberrydock/platform/document.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace cranberrydock::cell {
namespace {

using nlohmann::json;
using platform::detail::binary;
using platform::detail::object_reader;

json document_of(const base::work& spec) {
    json out = {{"id", spec.id.str()},
                {"job", spec.job.str()},
                {"team", spec.team.str()},
                {"key", spec.key.str()},
                {"digest", spec.digest},
                {"queue", spec.queue.str()},
                {"kind", spec.kind.str()},
                {"payload", binary(spec.payload)},
                {"need", platform::detail::document_of(spec.need)},
                {"tasks", spec.task_count},
                {"gang", spec.gang},
                {"repeatable", spec.repeatable},
                {"durable", spec.durable},
                {"service", spec.service},
                {"traceparent", spec.traceparent}};
    if (spec.deadline) {
        out["deadline_ms"] = spec.deadline->count();
    }
    if (spec.expected_time) {
        out["expected_ms"] = spec.expected_time->count();
    }
    return out;
}

base::work read_work(const object_reader& in) {
    base::work out;
    out.id = in.id<base::request_id>("id");
    out.job = in.id<base::job_id>("job");
    out.team = in.id<base::team_id>("team");
    out.key = in.id<base::idempotency_key>("key");
    out.digest = in.text("digest");
    out.queue = in.id<base::queue_name>("queue");
    out.kind = in.id<base::kind_name>("kind");
    out.payload = in.bytes("payload");
    out.need = in.resources("need");
    out.task_count = static_cast<std::size_t>(in.amount("tasks"));
    out.gang = in.flag("gang");
    out.repeatable = in.flag("repeatable");
    out.durable = in.flag("durable");
    out.service = in.flag("service");
    out.traceparent = in.text("traceparent");
    if (in.has("deadline_ms")) {
        out.deadline = in.milliseconds("deadline_ms");
    }
    if (in.has("expected_ms")) {
        out.expected_time = in.milliseconds("expected_ms");
    }
    return out;
}

// The kinds of an outcome in a record.
constexpr const char* outcome_accepted = "accepted";
constexpr const char* outcome_answered = "answered";
constexpr const char* outcome_refused = "refused";

json document_of(const base::task_answer& answer) {
    return {{"task", answer.task.str()},
            {"vm", answer.vm.str()},
            {"content", binary(answer.content)},
            {"digest", answer.digest},
            {"attempts", answer.attempts}};
}

class outcome_writer {
public:
    json operator()(const base::work_accepted& /*outcome*/) const {
        return {{"kind", outcome_accepted}};
    }
    json operator()(const base::work_answered& outcome) const {
        json out = {{"kind", outcome_answered}, {"answers", json::array()}};
        for (const auto& it : outcome.answers) {
            out["answers"].push_back(document_of(it));
        }
        return out;
    }
    json operator()(const base::refusal& outcome) const {
        return {{"kind", outcome_refused},
                {"reason", std::string(to_string(outcome.reason))},
                {"not_run", outcome.not_run},
                {"detail", outcome.detail}};
    }
};

base::work_outcome read_outcome(const object_reader& in) {
    const std::string kind = in.text("kind");
    if (kind == outcome_answered) {
        base::work_answered out;
        for (const auto& it : in.objects("answers")) {
            out.answers.push_back({it.id<base::task_id>("task"), it.id<base::vm_id>("vm"),
                                   it.bytes("content"), it.text("digest"),
                                   static_cast<int>(it.amount("attempts"))});
        }
        return out;
    }
    if (kind == outcome_refused) {
        base::refusal out;
        out.reason = base::parse_refusal_reason(in.text("reason"));
        out.not_run = in.flag("not_run");
        out.detail = in.text("detail");
        return out;
    }
    if (kind != outcome_accepted) {
        in.add_fault("kind", "accepted, answered or refused");
    }
    return base::work_accepted{};
}

class record_writer {
public:
    json operator()(const accepted_record& record) const {
        return {{"record", "accepted"}, {"work", document_of(record.spec)}};
    }
    json operator()(const intent_record& record) const {
        return {{"record", "intent"},        {"job", record.job.str()},
                {"team", record.team.str()}, {"digest", record.digest},
                {"task", record.task.str()}, {"attempt", record.attempt.str()},
                {"vm", record.vm.str()},     {"incarnation", record.incarnation.str()},
                {"number", record.number}};
    }
    json operator()(const not_run_record& record) const {
        return {{"record", "not_run"},
                {"job", record.job.str()},
                {"task", record.task.str()},
                {"attempt", record.attempt.str()}};
    }
    json operator()(const outcome_record& record) const {
        return {{"record", "outcome"},
                {"job", record.job.str()},
                {"team", record.team.str()},
                {"digest", record.digest},
                {"outcome", std::visit(outcome_writer{}, record.outcome)}};
    }
};

work_record read_record(const object_reader& in) {
    const std::string kind = in.text("record");
    if (kind == "accepted") {
        return accepted_record{read_work(in.object("work"))};
    }
    if (kind == "intent") {
        return intent_record{in.id<base::job_id>("job"),
                             in.id<base::team_id>("team"),
                             in.text("digest"),
                             in.id<base::task_id>("task"),
                             in.id<base::attempt_id>("attempt"),
                             in.id<base::vm_id>("vm"),
                             in.id<base::incarnation_id>("incarnation"),
                             static_cast<int>(in.amount("number"))};
    }
    if (kind == "outcome") {
        return outcome_record{in.id<base::job_id>("job"), in.id<base::team_id>("team"),
                              in.text("digest"), read_outcome(in.object("outcome"))};
    }
    if (kind != "not_run") {
        in.add_fault("record", "accepted, intent, not_run or outcome");
    }
    return not_run_record{in.id<base::job_id>("job"), in.id<base::task_id>("task"),
                          in.id<base::attempt_id>("attempt")};
}

}  // namespace

std::string encode_records(const std::vector<work_record>& records) {
    json out = {{"records", json::array()}};
    for (const auto& it : records) {
        out["records"].push_back(std::visit(record_writer{}, it));
    }
    return platform::detail::to_cbor(out);
}

tl::expected<std::vector<work_record>, base::findings> decode_records(const std::string& bytes) {
    const auto document = platform::detail::from_cbor(bytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    base::findings faults;
    const object_reader in(*document, "", faults);
    std::vector<work_record> out;
    for (const auto& it : in.objects("records")) {
        out.push_back(read_record(it));
    }
    return platform::detail::value_or_findings(std::move(out), std::move(faults));
}

}  // namespace cranberrydock::cell
