// The command `cancel`: cancels a job.
#include "job_text.hpp"
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

class cancel_command final : public command {
public:
    command_description describe() const override {
        return {"cancel", "ID", "cancels a job and stops its running tasks", {}, 1, 1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.method = net::http_method::del;
        request.path = "/v1/jobs/" + url_encode(arguments[0]);
        return print_response(request, job_text, context);
    }
};

}  // namespace

command_ptr make_cancel() {
    return std::make_unique<cancel_command>();
}

}  // namespace cranberrydock::ctl
