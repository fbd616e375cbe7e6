// The command `cells`: shows the owner of each cell, and the links to other daemons.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string cells_text(const json& document) {
    text_table cells({"cell", "owner", "epoch", "here"});
    for (const auto& it : list_at(document, "cells")) {
        cells.add(
            {text_at(it, "cell"), text_at(it, "owner"), text_at(it, "epoch"), text_at(it, "here")});
    }
    text_table links({"link to", "up", "round trip us"});
    for (const auto& it : list_at(document, "links")) {
        links.add({text_at(it, "peer"), text_at(it, "up"), text_at(it, "round_trip_us")});
    }
    return cells.text() + "\n" + links.text();
}

class cells_command final : public command {
public:
    command_description describe() const override {
        return {"cells", "", "shows cells with their owners, and the links to other daemons",
                {},      0,  0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/cells";
        return print_response(request, cells_text, context);
    }
};

}  // namespace

command_ptr make_cells() {
    return std::make_unique<cells_command>();
}

}  // namespace cranberrydock::ctl
