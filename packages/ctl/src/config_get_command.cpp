// The command `config get`: shows a version of the configuration.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string version_text(const json& response) {
    return "version " + text_at(response, "version") + "\n" +
           response.value("document", json::object()).dump(2) + "\n";
}

class config_get_command final : public command {
public:
    command_description describe() const override {
        return {"config get", "[VERSION]", "shows the newest version, or the given one", {}, 0, 1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.path =
            arguments.empty() ? "/v1/config" : "/v1/config/versions/" + url_encode(arguments[0]);
        return print_response(request, version_text, context);
    }
};

}  // namespace

command_ptr make_config_get() {
    return std::make_unique<config_get_command>();
}

}  // namespace cranberrydock::ctl
