// Wire format of submitted work and its outcome.
#include <cranberrydock/mesh/codec.hpp>

#include "codec_parts.hpp"

namespace cranberrydock::mesh::detail {
namespace {

json write_need(const base::resources& need) {
    return {{"cores", need.cores.value()},
            {"memory", need.memory.value()},
            {"accelerators", need.accelerators.value()},
            {"slots", need.slots.value()}};
}

base::resources read_need(object_reader in) {
    base::resources out;
    out.cores = in.quantity<base::millicores>("cores");
    out.memory = in.quantity<base::mebibytes>("memory");
    out.accelerators = in.quantity<base::accelerator_count>("accelerators");
    out.slots = in.quantity<base::slot_count>("slots");
    return out;
}

json write_work(const base::work& work) {
    json out = {{"id", work.id.str()},
                {"job", work.job.str()},
                {"team", work.team.str()},
                {"key", work.key.str()},
                {"digest", work.digest},
                {"queue", work.queue.str()},
                {"kind", work.kind.str()},
                {"payload", binary(work.payload)},
                {"need", write_need(work.need)},
                {"tasks", work.task_count},
                {"gang", work.gang},
                {"repeatable", work.repeatable},
                {"durable", work.durable},
                {"service", work.service},
                {"traceparent", work.traceparent}};
    if (work.deadline) {
        out["deadline"] = work.deadline->count();
    }
    if (work.expected_time) {
        out["expected_time"] = work.expected_time->count();
    }
    return out;
}

base::work read_work(object_reader in) {
    base::work out;
    out.id = in.id<base::request_id>("id");
    out.job = in.id<base::job_id>("job");
    out.team = in.id<base::team_id>("team");
    out.key = in.id<base::idempotency_key>("key");
    out.digest = in.text("digest");
    out.queue = in.id<base::queue_name>("queue");
    out.kind = in.id<base::kind_name>("kind");
    out.payload = in.bytes("payload");
    out.need = read_need(in.object("need"));
    out.task_count = static_cast<std::size_t>(in.count("tasks", codec_limits::task_count));
    out.gang = in.flag("gang");
    out.repeatable = in.flag("repeatable");
    out.durable = in.flag("durable");
    out.service = in.flag("service");
    out.traceparent = in.text("traceparent");
    out.deadline = in.optional_millis("deadline");
    out.expected_time = in.optional_millis("expected_time");
    return out;
}

// Writes an outcome as a map with exactly one of the members accepted, answers and refused.
struct outcome_writer {
    json operator()(const base::work_accepted& /*result*/) const { return {{"accepted", true}}; }
    json operator()(const base::work_answered& result) const {
        return {{"answers", write_list(result.answers)}};
    }
    json operator()(const base::refusal& result) const {
        return {{"refused", write_fields(result)}};
    }
};

base::work_outcome read_outcome(object_reader in) {
    if (in.has("answers")) {
        return base::work_answered{read_answers(in, "answers")};
    }
    if (in.has("refused")) {
        return read_refusal(in.object("refused"));
    }
    if (!in.flag("accepted")) {
        in.fault("accepted", "true, or a member answers or refused instead", "none of them");
    }
    return base::work_accepted{};
}

}  // namespace

json write_fields(const submit_work& msg) {
    return {{"call", msg.call.value()}, {"cell", msg.cell.str()}, {"work", write_work(msg.work)}};
}

submit_work read_submit_work(object_reader& in) {
    submit_work out;
    out.call = in.quantity<call_id>("call");
    out.cell = in.id<base::cell_id>("cell");
    out.work = read_work(in.object("work"));
    return out;
}

json write_fields(const work_result& msg) {
    return {{"call", msg.call.value()},
            {"outcome", std::visit(outcome_writer{}, msg.outcome)},
            {"trace", write_list(msg.trace)}};
}

work_result read_work_result(object_reader& in) {
    work_result out;
    out.call = in.quantity<call_id>("call");
    out.outcome = read_outcome(in.object("outcome"));
    out.trace = read_trace(in, "trace");
    return out;
}

}  // namespace cranberrydock::mesh::detail
