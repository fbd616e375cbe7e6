// The command `job`: shows the state of a job.
#include "job_text.hpp"
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

class job_command final : public command {
public:
    command_description describe() const override {
        return {"job",
                "ID",
                "shows a job: its state and attempts, the VMs that run it, the reason why it waits",
                {},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/jobs/" + url_encode(arguments[0]);
        return print_response(request, job_text, context);
    }
};

}  // namespace

command_ptr make_job() {
    return std::make_unique<job_command>();
}

}  // namespace cranberrydock::ctl
