// submit: sends work under an idempotency key, so that every repetition, through whichever entry,
// is the same work.
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

constexpr int accepted = 202;
constexpr int answered = 200;
constexpr std::size_t key_bytes = 16;
constexpr double millicores_per_core = 1'000;
constexpr base::milliseconds poll_period{500};

// Nothing when the file can't be read.
std::optional<std::string> read_payload(const submit_options& wanted) {
    if (wanted.payload_file.empty()) {
        return wanted.payload;
    }
    if (wanted.payload_file == "-") {
        return std::string{std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream in(wanted.payload_file, std::ios::binary);
    std::string out{std::istreambuf_iterator<char>(in), {}};
    return in ? std::optional(std::move(out)) : std::nullopt;
}

// Whether JSON can carry the bytes as a string.
bool is_text(const std::string& bytes) {
    return json::accept("\"" + bytes + "\"");
}

json body_of(const submit_options& wanted, const std::string& payload) {
    json out = {{"queue", wanted.queue},
                {"kind", wanted.kind},
                {"resources",
                 {{"millicores", std::llround(wanted.cores * millicores_per_core)},
                  {"memory_mib", wanted.memory_mib},
                  {"accelerators", wanted.accelerators},
                  {"slots", wanted.slots}}},
                {"tasks", wanted.tasks},
                {"gang", wanted.gang},
                {"repeatable", !wanted.not_repeatable},
                {"service", wanted.service}};
    if (is_text(payload)) {
        out["payload"] = payload;
    } else {
        out["payload_base64"] = base::to_base64(payload);
    }
    if (wanted.deadline_ms != 0) {
        out["deadline_ms"] = wanted.deadline_ms;
    }
    if (wanted.expected_ms != 0) {
        out["expected_ms"] = wanted.expected_ms;
    }
    return out;
}

class submit_command final : public command {
public:
    command_description describe() const override {
        return {"submit",
                "",
                "submits work and prints its answer, or with --job its job's id",
                {"queue", "kind", "payload", "payload_file", "cores", "memory_mib", "accelerators",
                 "slots", "tasks", "gang", "not_repeatable", "service", "deadline_ms",
                 "expected_ms", "idempotency_key", "job", "wait"}};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        const submit_options& wanted = context.settings.submit;
        const std::string wrong = check(wanted);
        if (!wrong.empty()) {
            return output::wrong_usage(wrong);
        }
        const auto payload = read_payload(wanted);
        if (!payload) {
            return output::wrong_usage("expected a readable file, found none at '" +
                                       wanted.payload_file + "'");
        }
        const std::string key = key_of(wanted);
        const auto response = send(wanted, *payload, key, context);
        if (!response) {
            return context.out.failed(response.error(),
                                      "send the same work again with --idempotency_key=" + key +
                                          "; it will not run again if it has run");
        }
        return finish(*response, wanted, context);
    }

private:
    static std::string check(const submit_options& wanted) {
        if (wanted.queue.empty()) {
            return "expected --queue=NAME, found none";
        }
        if (!wanted.payload.empty() && !wanted.payload_file.empty()) {
            return "expected --payload or --payload_file, found both";
        }
        if (wanted.wait && !wanted.job) {
            return "expected --wait together with --job, found it alone; without --job the answer "
                   "is waited for anyway";
        }
        return {};
    }

    static std::string key_of(const submit_options& wanted) {
        if (!wanted.idempotency_key.empty()) {
            return wanted.idempotency_key;
        }
        std::string made = "ctl-" + base::random_hex(key_bytes);
        output::note("idempotency key " + made);
        return made;
    }

    static api_result send(const submit_options& wanted, const std::string& payload,
                           const std::string& key, const command_context& context) {
        api_request request;
        request.method = net::http_method::post;
        request.path = wanted.job ? "/v1/jobs" : "/v1/requests";
        request.body =
            body_of(wanted, payload).dump(-1, ' ', false, json::error_handler_t::replace);
        request.headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", key}};
        return context.api.call(request);
    }

    static exit_code finish(const net::http_response& response, const submit_options& wanted,
                            const command_context& context) {
        const json document = json::parse(response.body, nullptr, false);
        if (response.status == accepted && wanted.wait) {
            return wait_for(text_at(document, "job"), context);
        }
        if (response.status == accepted) {
            context.out.result(document, "accepted: job " + text_at(document, "job") + "\n");
            return exit_code::ok;
        }
        if (response.status != answered || !document.is_object()) {
            return context.out.refused(response);
        }
        context.out.result(document, "job " + text_at(document, "job") + ", request " +
                                         text_at(document, "request") + "\n" +
                                         answers_text(document));
        return answers_whole(document) ? exit_code::ok : exit_code::outcome_unknown;
    }

    static exit_code wait_for(const std::string& job, const command_context& context) {
        api_request request;
        request.path = "/v1/jobs/" + path_part(job);
        std::string shown;
        for (;;) {
            const auto response = context.api.call(request);
            if (!response) {
                return context.out.failed(response.error(),
                                          "ask again with: cranberryctl job " + job);
            }
            const json document = json::parse(response->body, nullptr, false);
            if (response->status != answered || !document.is_object()) {
                return context.out.refused(*response);
            }
            if (has_ended(document)) {
                context.out.result(document, job_text(document));
                return code_of(document);
            }
            const std::string progress = "job " + job + ": " + text_at(document, "state") + ", " +
                                         text_at(document, "tasks_done") + " of " +
                                         text_at(document, "tasks") + " tasks done";
            if (progress != shown) {
                output::note(progress);
                shown = progress;
            }
            context.api.pause(poll_period);
        }
    }

    static exit_code code_of(const json& job) {
        const std::string state = text_at(job, "state");
        if (state == "refused") {
            return exit_code::refused;
        }
        return state == "done" && answers_whole(job) ? exit_code::ok : exit_code::outcome_unknown;
    }
};

}  // namespace

command_ptr make_submit() {
    return std::make_unique<submit_command>();
}

}  // namespace cranberrydock::ctl
