// Text output for jobs and answers.
#include "job_text.hpp"

#include <cranberrydock/base/base64.hpp>
#include <cranberrydock/base/digest.hpp>

#include <algorithm>

namespace cranberrydock::ctl {
namespace {

std::string content_of(const json& answer) {
    return answer.contains("content_base64")
               ? base::from_base64(text_at(answer, "content_base64")).value_or("")
               : text_at(answer, "content");
}

bool is_intact(const json& answer) {
    const std::string digest = text_at(answer, "digest");
    return digest.empty() || digest == base::sha256_hex(content_of(answer));
}

std::string joined(const json& document, const char* field) {
    std::string out;
    for (const auto& it : list_at(document, field)) {
        out += (out.empty() ? "" : ", ") + (it.is_string() ? it.get<std::string>() : it.dump());
    }
    return out;
}

}  // namespace

std::string answers_text(const json& document) {
    std::string out;
    for (const auto& it : list_at(document, "answers")) {
        out += "task " + text_at(it, "task") + " on VM " + text_at(it, "vm") + ", attempts " +
               text_at(it, "attempts") + (is_intact(it) ? "" : ", DAMAGED: digest does not match") +
               "\n" + content_of(it) + "\n";
    }
    return out;
}

bool answers_intact(const json& document) {
    const auto answers = list_at(document, "answers");
    return std::all_of(answers.begin(), answers.end(), is_intact);
}

std::string job_text(const json& job) {
    std::string out = "job " + text_at(job, "job") + "\n  state " + text_at(job, "state") + "\n";
    if (!text_at(job, "why").empty()) {
        out += "  why " + text_at(job, "why") + "\n";
    }
    out += "  team " + text_at(job, "team") + ", queue " + text_at(job, "queue") + ", kind " +
           text_at(job, "kind") + "\n  tasks " + text_at(job, "tasks") + ", running " +
           text_at(job, "tasks_running") + ", done " + text_at(job, "tasks_done") +
           "\n  attempts " + text_at(job, "attempts") + ", VMs " + joined(job, "vms") + "\n";
    for (const auto& it : list_at(job, "attempt_reasons")) {
        out += "  earlier attempt: " + (it.is_string() ? it.get<std::string>() : it.dump()) + "\n";
    }
    if (job.contains("refusal") && job["refusal"].is_object()) {
        out += "  refused: " + text_at(job["refusal"], "reason") + " (" +
               (job["refusal"].value("not_run", false) ? "surely not run" : "may have run") + ") " +
               text_at(job["refusal"], "detail") + "\n";
    }
    return out + answers_text(job);
}

bool has_ended(const json& job) {
    const std::string state = text_at(job, "state");
    return state == "done" || state == "refused" || state == "outcome_unknown";
}

}  // namespace cranberrydock::ctl
