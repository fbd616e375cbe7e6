// The command `submit`: sends work under an idempotency key, so that a repeated submission, through
// any entry, is not run again.
#include <cranberrydock/base/base64.hpp>
#include <cranberrydock/base/digest.hpp>

#include "command.hpp"
#include "job_text.hpp"

#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>

namespace cranberrydock::ctl {
namespace {

constexpr int http_accepted = 202;
constexpr int http_ok = 200;
constexpr std::size_t random_key_bytes = 16;
constexpr double millicores_per_core = 1'000;
constexpr base::milliseconds poll_period{500};

// Returns nothing when the file can't be read.
std::optional<std::string> read_payload(const submit_options& submission) {
    if (submission.payload_file.empty()) {
        return submission.payload;
    }
    if (submission.payload_file == "-") {
        return std::string{std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream in(submission.payload_file, std::ios::binary);
    std::string out{std::istreambuf_iterator<char>(in), {}};
    return in ? std::optional(std::move(out)) : std::nullopt;
}

// Whether the bytes are valid as the content of a JSON string.
bool is_json_text(const std::string& bytes) {
    return json::accept("\"" + bytes + "\"");
}

json request_body(const submit_options& submission, const std::string& payload) {
    json out = {{"queue", submission.queue},
                {"kind", submission.kind},
                {"resources",
                 {{"millicores", std::llround(submission.cores * millicores_per_core)},
                  {"memory_mib", submission.memory_mib},
                  {"accelerators", submission.accelerators},
                  {"slots", submission.slots}}},
                {"tasks", submission.tasks},
                {"gang", submission.gang},
                {"repeatable", !submission.not_repeatable},
                {"service", submission.service}};
    if (is_json_text(payload)) {
        out["payload"] = payload;
    } else {
        out["payload_base64"] = base::to_base64(payload);
    }
    if (submission.deadline_ms != 0) {
        out["deadline_ms"] = submission.deadline_ms;
    }
    if (submission.expected_ms != 0) {
        out["expected_ms"] = submission.expected_ms;
    }
    return out;
}

class submit_command final : public command {
public:
    command_description describe() const override {
        return {"submit",
                "",
                "submits work and prints its answer, or with --job the id of its job",
                {"queue", "kind", "payload", "payload_file", "cores", "memory_mib", "accelerators",
                 "slots", "tasks", "gang", "not_repeatable", "service", "deadline_ms",
                 "expected_ms", "idempotency_key", "job", "wait"}};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        const submit_options& submission = context.settings.submit;
        const std::string usage_error = check_options(submission);
        if (!usage_error.empty()) {
            return output::report_usage_error(usage_error);
        }
        const auto payload = read_payload(submission);
        if (!payload) {
            return output::report_usage_error("expected a readable file, found none at '" +
                                              submission.payload_file + "'");
        }
        const std::string key = idempotency_key_for(submission);
        const auto response = send(submission, *payload, key, context);
        if (!response) {
            return context.out.report_failure(
                response.error(), "send the same work again with --idempotency_key=" + key +
                                      "; it will not run again if it has run");
        }
        return print_outcome(*response, submission, context);
    }

private:
    static std::string check_options(const submit_options& submission) {
        if (submission.queue.empty()) {
            return "expected --queue=NAME, found none";
        }
        if (!submission.payload.empty() && !submission.payload_file.empty()) {
            return "expected --payload or --payload_file, found both";
        }
        if (submission.wait && !submission.job) {
            return "expected --wait together with --job, found it alone; without --job the command "
                   "always waits for the answer";
        }
        return {};
    }

    static std::string idempotency_key_for(const submit_options& submission) {
        if (!submission.idempotency_key.empty()) {
            return submission.idempotency_key;
        }
        std::string generated = "ctl-" + base::random_hex(random_key_bytes);
        output::print_note("idempotency key " + generated);
        return generated;
    }

    static api_result send(const submit_options& submission, const std::string& payload,
                           const std::string& key, const command_context& context) {
        api_request request;
        request.method = net::http_method::post;
        request.path = submission.job ? "/v1/jobs" : "/v1/requests";
        request.body =
            request_body(submission, payload).dump(-1, ' ', false, json::error_handler_t::replace);
        request.headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", key}};
        return context.api.call(request);
    }

    static exit_code print_outcome(const net::http_response& response,
                                   const submit_options& submission,
                                   const command_context& context) {
        const json document = json::parse(response.body, nullptr, false);
        if (response.status == http_accepted && submission.wait) {
            return wait_for_job(text_at(document, "job"), context);
        }
        if (response.status == http_accepted) {
            context.out.print_result(document, "accepted: job " + text_at(document, "job") + "\n");
            return exit_code::ok;
        }
        if (response.status != http_ok || !document.is_object()) {
            return context.out.report_refusal(response);
        }
        context.out.print_result(document, "job " + text_at(document, "job") + ", request " +
                                               text_at(document, "request") + "\n" +
                                               answers_text(document));
        return answers_intact(document) ? exit_code::ok : exit_code::outcome_unknown;
    }

    static exit_code wait_for_job(const std::string& job, const command_context& context) {
        api_request request;
        request.path = "/v1/jobs/" + url_encode(job);
        std::string last_progress;
        for (;;) {
            const auto response = context.api.call(request);
            if (!response) {
                return context.out.report_failure(
                    response.error(), "query the job again with: cranberryctl job " + job);
            }
            const json document = json::parse(response->body, nullptr, false);
            if (response->status != http_ok || !document.is_object()) {
                return context.out.report_refusal(*response);
            }
            if (has_ended(document)) {
                context.out.print_result(document, job_text(document));
                return exit_code_for(document);
            }
            const std::string progress = "job " + job + ": " + text_at(document, "state") + ", " +
                                         text_at(document, "tasks_done") + " of " +
                                         text_at(document, "tasks") + " tasks done";
            if (progress != last_progress) {
                output::print_note(progress);
                last_progress = progress;
            }
            context.api.pause(poll_period);
        }
    }

    static exit_code exit_code_for(const json& job) {
        const std::string state = text_at(job, "state");
        if (state == "refused") {
            return exit_code::refused;
        }
        return state == "done" && answers_intact(job) ? exit_code::ok : exit_code::outcome_unknown;
    }
};

}  // namespace

command_ptr make_submit() {
    return std::make_unique<submit_command>();
}

}  // namespace cranberrydock::ctl
