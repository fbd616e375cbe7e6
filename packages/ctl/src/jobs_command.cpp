// The command `jobs`: lists a page of the team's jobs.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string jobs_text(const json& document) {
    text_table table({"job", "state", "queue", "kind", "tasks", "done"});
    for (const auto& it : list_at(document, "jobs")) {
        table.add({text_at(it, "job"), text_at(it, "state"), text_at(it, "queue"),
                   text_at(it, "kind"), text_at(it, "tasks"), text_at(it, "tasks_done")});
    }
    return table.text();
}

class jobs_command final : public command {
public:
    command_description describe() const override {
        return {"jobs", "", "lists the team's jobs", {"after", "limit"}, 0, 0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/jobs";
        request.query = "after=" + url_encode(context.settings.listing.after) +
                        "&limit=" + std::to_string(context.settings.listing.limit);
        return print_response(request, jobs_text, context);
    }
};

}  // namespace

command_ptr make_jobs() {
    return std::make_unique<jobs_command>();
}

}  // namespace cranberrydock::ctl
