// Wire format of the parts that several message families contain: traces, answers and refusals.
#include "codec_parts.hpp"

#include <limits>

namespace cranberrydock::mesh::detail {

json write_list(const std::vector<base::trace_step>& steps) {
    json out = json::array();
    for (const auto& it : steps) {
        out.push_back({{"stage", it.stage},
                       {"where", it.where},
                       {"at", it.at.count()},
                       {"took", it.took.count()},
                       {"note", it.note}});
    }
    return out;
}

std::vector<base::trace_step> read_trace(object_reader& in, const char* key) {
    return in.objects(key, [](object_reader& entry) {
        base::trace_step out;
        out.stage = entry.text("stage");
        out.where = entry.text("where");
        out.at = entry.micros("at");
        out.took = entry.micros("took");
        out.note = entry.text("note");
        return out;
    });
}

json write_list(const std::vector<base::task_answer>& answers) {
    json out = json::array();
    for (const auto& it : answers) {
        out.push_back({{"task", it.task.str()},
                       {"vm", it.vm.str()},
                       {"content", binary(it.content)},
                       {"digest", it.digest},
                       {"attempts", it.attempts}});
    }
    return out;
}

std::vector<base::task_answer> read_answers(object_reader& in, const char* key) {
    return in.objects(key, [](object_reader& entry) {
        base::task_answer out;
        out.task = entry.id<base::task_id>("task");
        out.vm = entry.id<base::vm_id>("vm");
        out.content = entry.bytes("content");
        out.digest = entry.text("digest");
        out.attempts = static_cast<int>(entry.count("attempts", std::numeric_limits<int>::max()));
        return out;
    });
}

json write_fields(const base::refusal& refused) {
    return {{"reason", base::to_string(refused.reason)},
            {"not_run", refused.not_run},
            {"retry_after", refused.retry_after.count()},
            {"detail", refused.detail}};
}

base::refusal read_refusal(object_reader in) {
    base::refusal out;
    const std::string reason = in.text("reason");
    out.reason = base::parse_refusal_reason(reason);
    if (base::to_string(out.reason) != reason) {
        in.fault("reason", "the name of a refusal reason", "an unknown name");
    }
    out.not_run = in.flag("not_run");
    out.retry_after = in.millis("retry_after");
    out.detail = in.text("detail");
    return out;
}

}  // namespace cranberrydock::mesh::detail
