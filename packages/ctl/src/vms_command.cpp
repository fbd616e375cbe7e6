// The command `vms`: shows the VMs of the cells that the entry daemon owns.
#include "print_response.hpp"

namespace cranberrydock::ctl {
namespace {

std::string vms_text(const json& document) {
    text_table table({"vm", "state", "rack", "address", "attempts", "millicores", "memory MiB"});
    for (const auto& it : list_at(document, "vms")) {
        const json capacity = it.value("capacity", json::object());
        table.add({text_at(it, "vm"), text_at(it, "state"), text_at(it, "rack"),
                   text_at(it, "address"), text_at(it, "attempts"), text_at(capacity, "millicores"),
                   text_at(capacity, "memory_mib")});
    }
    return table.text();
}

class vms_command final : public command {
public:
    command_description describe() const override {
        return {"vms", "", "shows the VMs of the cells that the queried daemon owns", {}, 0, 0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        api_request request;
        request.path = "/v1/vms";
        return print_response(request, vms_text, context);
    }
};

}  // namespace

command_ptr make_vms() {
    return std::make_unique<vms_command>();
}

}  // namespace cranberrydock::ctl
