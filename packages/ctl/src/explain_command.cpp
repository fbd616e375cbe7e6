// The command `explain`: shows the trace of a job by stage, place and decision, and the stage that
// took the longest.
#include "job_text.hpp"
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

constexpr double microseconds_per_millisecond = 1'000;

std::string milliseconds_text(const json& step, const char* field) {
    const double us =
        step.contains(field) && step[field].is_number() ? step[field].get<double>() : 0;
    constexpr std::size_t decimals = 3;
    const std::string text = std::to_string(us / microseconds_per_millisecond);
    return text.substr(0, text.find('.') + 1 + decimals);
}

std::string explain_text(const json& job) {
    text_table table({"at ms", "took ms", "stage", "where", "decision"});
    json longest;
    std::int64_t longest_us = 0;
    for (const auto& it : list_at(job, "trace")) {
        table.add({milliseconds_text(it, "at_us"), milliseconds_text(it, "took_us"),
                   text_at(it, "stage"), text_at(it, "where"), text_at(it, "note")});
        const std::int64_t us = it.value("took_us", std::int64_t{0});
        if (us > longest_us) {
            longest_us = us;
            longest = it;
        }
    }
    std::string out = job_text(job) + "\n" + table.text();
    if (job.contains("verdict")) {
        out += "\nto blame: " + text_at(job["verdict"], "text") + "\n";
    }
    if (longest_us > 0) {
        out += "\nmost time: " + milliseconds_text(longest, "took_us") + " ms in stage " +
               text_at(longest, "stage") + " at " + text_at(longest, "where") + "\n";
    }
    return out;
}

class explain_command final : public command {
public:
    command_description describe() const override {
        return {"explain", "ID", "shows the trace of a job and the stage that took the longest",
                {},        1,    1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/explain/" + url_encode(arguments[0]);
        return print_response(request, explain_text, context);
    }
};

}  // namespace

command_ptr make_explain() {
    return std::make_unique<explain_command>();
}

}  // namespace cranberrydock::ctl
