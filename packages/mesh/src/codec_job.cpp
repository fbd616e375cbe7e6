// Wire format of job queries and of the owner's replies.
#include "codec_parts.hpp"

#include <limits>

namespace cranberrydock::mesh::detail {
namespace {

template <typename Texts>
json write_texts(const Texts& texts) {
    json out = json::array();
    for (const auto& it : texts) {
        out.push_back(it);
    }
    return out;
}

json write_vms(const std::vector<base::vm_id>& vms) {
    json out = json::array();
    for (const auto& it : vms) {
        out.push_back(it.str());
    }
    return out;
}

json write_view(const base::job_view& view) {
    json out = {{"job", view.job.str()},
                {"team", view.team.str()},
                {"queue", view.queue.str()},
                {"kind", view.kind.str()},
                {"state", base::to_string(view.state)},
                {"why", view.why},
                {"tasks", view.tasks},
                {"running", view.tasks_running},
                {"done", view.tasks_done},
                {"vms", write_vms(view.vms)},
                {"attempts", view.attempts},
                {"reasons", write_texts(view.attempt_reasons)},
                {"answers", write_list(view.answers)},
                {"trace", write_list(view.trace)}};
    if (view.refused) {
        out["refused"] = write_fields(*view.refused);
    }
    return out;
}

base::job_state read_state(object_reader& in) {
    const std::string name = in.text("state");
    const base::job_state out = base::parse_job_state(name);
    if (base::to_string(out) != name) {
        in.fault("state", "the name of a job state", "an unknown name");
    }
    return out;
}

base::job_view read_view(object_reader in) {
    base::job_view out;
    out.job = in.id<base::job_id>("job");
    out.team = in.id<base::team_id>("team");
    out.queue = in.id<base::queue_name>("queue");
    out.kind = in.id<base::kind_name>("kind");
    out.state = read_state(in);
    out.why = in.text("why");
    out.tasks = static_cast<std::size_t>(in.count("tasks"));
    out.tasks_running = static_cast<std::size_t>(in.count("running"));
    out.tasks_done = static_cast<std::size_t>(in.count("done"));
    out.vms = in.texts<base::vm_id>("vms");
    out.attempts = static_cast<int>(in.count("attempts", std::numeric_limits<int>::max()));
    out.attempt_reasons = in.texts<std::string>("reasons");
    out.answers = read_answers(in, "answers");
    out.trace = read_trace(in, "trace");
    if (in.has("refused")) {
        out.refused = read_refusal(in.object("refused"));
    }
    return out;
}

}  // namespace

json write_fields(const job_query& msg) {
    return {{"call", msg.call.value()},
            {"cell", msg.cell.str()},
            {"team", msg.team.str()},
            {"job", msg.job.str()},
            {"cancel", msg.cancel}};
}

job_query read_job_query(object_reader& in) {
    job_query out;
    out.call = in.quantity<call_id>("call");
    out.cell = in.id<base::cell_id>("cell");
    out.team = in.id<base::team_id>("team");
    out.job = in.id<base::job_id>("job");
    out.cancel = in.flag("cancel");
    return out;
}

json write_fields(const job_reply& msg) {
    return {{"call", msg.call.value()}, {"found", msg.found}, {"view", write_view(msg.view)}};
}

job_reply read_job_reply(object_reader& in) {
    job_reply out;
    out.call = in.quantity<call_id>("call");
    out.found = in.flag("found");
    out.view = read_view(in.object("view"));
    return out;
}

}  // namespace cranberrydock::mesh::detail
