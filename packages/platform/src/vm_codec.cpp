// Encodes and decodes the VM protocol in CBOR.
#include <cranberrydock/platform/document.hpp>
#include <cranberrydock/platform/vm_codec.hpp>

namespace cranberrydock::platform {
namespace {

using detail::binary;
using detail::document_of;
using detail::object_reader;
using nlohmann::json;

const std::vector<task_completion> all_ends = {
    task_completion::completed,     task_completion::failed,      task_completion::stopped,
    task_completion::lease_expired, task_completion::not_started, task_completion::unknown};
const std::vector<vm_verdict> all_verdicts = {
    vm_verdict::done,         vm_verdict::lower_epoch,  vm_verdict::other_incarnation,
    vm_verdict::lease_passed, vm_verdict::does_not_fit, vm_verdict::leaving};

json texts_of(const std::vector<base::attempt_id>& attempts) {
    json out = json::array();
    for (const auto& it : attempts) {
        out.push_back(it.str());
    }
    return out;
}

std::vector<base::attempt_id> attempts_of(const object_reader& in, const char* name) {
    std::vector<base::attempt_id> out;
    for (auto& it : in.texts(name)) {
        out.emplace_back(std::move(it));
    }
    return out;
}

// ---- commands

struct body_writer {
    json operator()(const hello_command& /*body*/) const { return {{"type", "hello"}}; }
    json operator()(const start_command& body) const {
        return {{"type", "start"},
                {"incarnation", body.incarnation.str()},
                {"attempt", body.attempt.str()},
                {"task", body.task.str()},
                {"team", body.team.str()},
                {"kind", body.kind.str()},
                {"reserve", document_of(body.reserve)},
                {"lease_until", body.lease_until.value()},
                {"repeatable", body.repeatable},
                {"payload", binary(body.payload)}};
    }
    json operator()(const watch_command& body) const {
        return {{"type", "watch"},
                {"incarnation", body.incarnation.str()},
                {"renew", texts_of(body.renew)},
                {"lease_until", body.lease_until.value()},
                {"acknowledge", texts_of(body.acknowledge)},
                {"after", body.after.value()},
                {"wait_ms", body.wait.count()}};
    }
    json operator()(const stop_command& body) const {
        return {{"type", "stop"},
                {"incarnation", body.incarnation.str()},
                {"attempt", body.attempt.str()}};
    }
    json operator()(const checkpoint_command& body) const {
        return {{"type", "checkpoint"},
                {"incarnation", body.incarnation.str()},
                {"attempt", body.attempt.str()}};
    }
    json operator()(const throttle_command& body) const {
        return {{"type", "throttle"},
                {"incarnation", body.incarnation.str()},
                {"attempt", body.attempt.str()},
                {"millicores", body.cores.value()}};
    }
};

start_command read_start(const object_reader& in) {
    start_command out;
    out.incarnation = in.id<base::incarnation_id>("incarnation");
    out.attempt = in.id<base::attempt_id>("attempt");
    out.task = in.id<base::task_id>("task");
    out.team = in.id<base::team_id>("team");
    out.kind = in.id<base::kind_name>("kind");
    out.reserve = in.resources("reserve");
    out.lease_until = in.number_of<vm_time>("lease_until");
    out.repeatable = in.flag("repeatable");
    out.payload = in.bytes("payload");
    return out;
}

watch_command read_watch(const object_reader& in) {
    watch_command out;
    out.incarnation = in.id<base::incarnation_id>("incarnation");
    out.renew = attempts_of(in, "renew");
    out.lease_until = in.number_of<vm_time>("lease_until");
    out.acknowledge = attempts_of(in, "acknowledge");
    out.after = in.number_of<report_number>("after");
    out.wait = in.milliseconds("wait_ms");
    return out;
}

vm_command_body read_body(const object_reader& in) {
    const std::string type = in.text("type");
    if (type == "hello") {
        return hello_command{};
    }
    if (type == "start") {
        return read_start(in);
    }
    if (type == "watch") {
        return read_watch(in);
    }
    const auto incarnation = in.id<base::incarnation_id>("incarnation");
    const auto attempt = in.id<base::attempt_id>("attempt");
    if (type == "stop") {
        return stop_command{incarnation, attempt};
    }
    if (type == "checkpoint") {
        return checkpoint_command{incarnation, attempt};
    }
    if (type == "throttle") {
        return throttle_command{incarnation, attempt, in.number_of<base::millicores>("millicores")};
    }
    in.reject_unknown_name("type", {"hello", "start", "watch", "stop", "checkpoint", "throttle"});
    return hello_command{};
}

// ---- reports

json document_of(const running_task& task) {
    return {{"attempt", task.attempt.str()},  {"task", task.task.str()},
            {"team", task.team.str()},        {"reserved", document_of(task.reserved)},
            {"used", document_of(task.used)}, {"lease_until", task.lease_until.value()}};
}

json document_of(const finished_task& task) {
    return {{"attempt", task.attempt.str()},
            {"task", task.task.str()},
            {"team", task.team.str()},
            {"end", to_string(task.completion)},
            {"answer", binary(task.answer)},
            {"answer_digest", task.answer_digest},
            {"ran_for_ms", task.ran_for.count()},
            {"peak_usage", document_of(task.peak_usage)}};
}

template <typename Task>
json list_of(const std::vector<Task>& tasks) {
    json out = json::array();
    for (const auto& it : tasks) {
        out.push_back(document_of(it));
    }
    return out;
}

running_task read_running(const object_reader& in) {
    running_task out;
    out.attempt = in.id<base::attempt_id>("attempt");
    out.task = in.id<base::task_id>("task");
    out.team = in.id<base::team_id>("team");
    out.reserved = in.resources("reserved");
    out.used = in.resources("used");
    out.lease_until = in.number_of<vm_time>("lease_until");
    return out;
}

finished_task read_finished(const object_reader& in) {
    finished_task out;
    out.attempt = in.id<base::attempt_id>("attempt");
    out.task = in.id<base::task_id>("task");
    out.team = in.id<base::team_id>("team");
    out.completion = in.word("end", all_ends);
    out.answer = in.bytes("answer");
    out.answer_digest = in.text("answer_digest");
    out.ran_for = in.milliseconds("ran_for_ms");
    out.peak_usage = in.resources("peak_usage");
    return out;
}

vm_report read_report(const object_reader& in) {
    vm_report out;
    out.incarnation = in.id<base::incarnation_id>("incarnation");
    out.number = in.number_of<report_number>("number");
    out.epoch = in.number_of<base::epoch>("epoch");
    out.now = in.number_of<vm_time>("now");
    out.capacity = in.resources("capacity");
    out.leaving = in.flag("leaving");
    for (const auto& it : in.objects("running")) {
        out.running.push_back(read_running(it));
    }
    for (const auto& it : in.objects("finished")) {
        out.finished.push_back(read_finished(it));
    }
    return out;
}

json document_of(const vm_report& report) {
    return {{"incarnation", report.incarnation.str()},
            {"number", report.number.value()},
            {"epoch", report.epoch.value()},
            {"now", report.now.value()},
            {"capacity", document_of(report.capacity)},
            {"leaving", report.leaving},
            {"running", list_of(report.running)},
            {"finished", list_of(report.finished)}};
}

}  // namespace

std::string encode(const vm_command& command) {
    return detail::to_cbor({{"cell", command.cell.str()},
                            {"epoch", command.epoch.value()},
                            {"body", std::visit(body_writer{}, command.body)}});
}

std::string encode(const vm_reply& reply) {
    return detail::to_cbor(
        {{"verdict", to_string(reply.verdict)}, {"report", document_of(reply.report)}});
}

tl::expected<vm_command, base::findings> decode_vm_command(const std::string& bytes) {
    const auto document = detail::from_cbor(bytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    base::findings faults;
    const object_reader in(*document, "", faults);
    vm_command out;
    out.cell = in.id<base::cell_id>("cell");
    out.epoch = in.number_of<base::epoch>("epoch");
    out.body = read_body(in.object("body"));
    return detail::value_or_findings(std::move(out), std::move(faults));
}

tl::expected<vm_reply, base::findings> decode_vm_reply(const std::string& bytes) {
    const auto document = detail::from_cbor(bytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    base::findings faults;
    const object_reader in(*document, "", faults);
    vm_reply out;
    out.verdict = in.word("verdict", all_verdicts);
    out.report = read_report(in.object("report"));
    return detail::value_or_findings(std::move(out), std::move(faults));
}

}  // namespace cranberrydock::platform
