// The command `drain`: takes a VM out of use, or back into use.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string drain_text(const json& /*document*/) {
    return "done\n";
}

class drain_command final : public command {
public:
    command_description describe() const override {
        return {
            "drain",  "VM", "stops starting new work on a VM; with --undo, starts work on it again",
            {"undo"}, 1,    1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.method = context.settings.undo ? net::http_method::del : net::http_method::post;
        request.path = "/v1/vms/" + url_encode(arguments[0]) + "/drain";
        return print_response(request, drain_text, context);
    }
};

}  // namespace

command_ptr make_drain() {
    return std::make_unique<drain_command>();
}

}  // namespace cranberrydock::ctl
