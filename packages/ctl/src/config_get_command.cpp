// config get: a version's document.
#include "show.hpp"

namespace cranberrydock::ctl {
namespace {

std::string version_text(const json& shown) {
    return "version " + text_at(shown, "version") + "\n" +
           shown.value("document", json::object()).dump(2) + "\n";
}

class config_get_command final : public command {
public:
    command_description describe() const override {
        return {"config get", "[VERSION]", "shows the newest or the named version", {}, 0, 1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        api_request request;
        request.path =
            arguments.empty() ? "/v1/config" : "/v1/config/versions/" + path_part(arguments[0]);
        return show(request, version_text, context);
    }
};

}  // namespace

command_ptr make_config_get() {
    return std::make_unique<config_get_command>();
}

}  // namespace cranberrydock::ctl
