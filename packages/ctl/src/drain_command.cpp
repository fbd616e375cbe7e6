// drain: takes a VM out of use, or back.
#include "show.hpp"

namespace cranberrydock::ctl {
namespace {

std::string drain_text(const json& /*document*/) {
    return "done\n";
}

class drain_command final : public command {
public:
    command_description describe() const override {
        return {"drain",  "VM", "gives a VM no new work, or with --undo new work again",
                {"undo"}, 1,    1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.method = context.settings.undo ? net::http_method::del : net::http_method::post;
        request.path = "/v1/vms/" + path_part(arguments[0]) + "/drain";
        return show(request, drain_text, context);
    }
};

}  // namespace

command_ptr make_drain() {
    return std::make_unique<drain_command>();
}

}  // namespace cranberrydock::ctl
