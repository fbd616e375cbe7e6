// job: where one job stands.
#include "job_text.hpp"
#include "show.hpp"

namespace cranberrydock::ctl {
namespace {

class job_command final : public command {
public:
    command_description describe() const override {
        return {"job", "ID", "shows a job: state, attempts, where it runs, why it waits", {}, 1, 1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/jobs/" + path_part(arguments[0]);
        return show(request, job_text, context);
    }
};

}  // namespace

command_ptr make_job() {
    return std::make_unique<job_command>();
}

}  // namespace cranberrydock::ctl
