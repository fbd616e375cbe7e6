// The command `config diff`: shows the merge patch between two versions.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string patch_text(const json& patch) {
    return patch.dump(2) + "\n";
}

class config_diff_command final : public command {
public:
    command_description describe() const override {
        return {"config diff",
                "FROM TO",
                "shows the merge patch from one version to another",
                {},
                2,
                2};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/config/diff";
        request.query = "from=" + url_encode(arguments[0]) + "&to=" + url_encode(arguments[1]);
        return print_response(request, patch_text, context);
    }
};

}  // namespace

command_ptr make_config_diff() {
    return std::make_unique<config_diff_command>();
}

}  // namespace cranberrydock::ctl
