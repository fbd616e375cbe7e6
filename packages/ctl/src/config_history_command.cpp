// The command `config history`: lists the versions and the key that committed each of them.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string history_text(const json& document) {
    text_table table({"version", "author"});
    for (const auto& it : list_at(document, "versions")) {
        table.add({text_at(it, "version"), text_at(it, "author")});
    }
    return table.text();
}

class config_history_command final : public command {
public:
    command_description describe() const override {
        return {"config history", "", "lists versions, the oldest first", {"after"}, 0, 0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/config/versions";
        if (!context.settings.listing.after.empty()) {
            request.query = "after=" + url_encode(context.settings.listing.after);
        }
        return print_response(request, history_text, context);
    }
};

}  // namespace

command_ptr make_config_history() {
    return std::make_unique<config_history_command>();
}

}  // namespace cranberrydock::ctl
