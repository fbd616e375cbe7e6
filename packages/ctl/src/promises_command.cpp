// The command `promises`: shows the broken promises with their evidence.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string promises_text(const json& document) {
    const auto broken = list_at(document, "broken");
    if (broken.empty()) {
        return "no broken promise was seen by this daemon\n";
    }
    text_table table({"promise", "evidence"});
    for (const auto& it : broken) {
        table.add({text_at(it, "promise"), text_at(it, "evidence")});
    }
    return table.text();
}

class promises_command final : public command {
public:
    command_description describe() const override {
        return {"promises", "", "shows broken promises with their evidence", {}, 0, 0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/promises";
        return print_response(request, promises_text, context);
    }
};

}  // namespace

command_ptr make_promises() {
    return std::make_unique<promises_command>();
}

}  // namespace cranberrydock::ctl
