// The command `key withdraw`: withdraws a key, which stays in the configuration as withdrawn.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

class key_withdraw_command final : public command {
public:
    command_description describe() const override {
        return {"key withdraw",
                "ID",
                "withdraws the key with this id, which is the part of the key before the dot",
                {"base"},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        const std::string& id = arguments[0];
        const auto newest = read_newest(context);
        if (!newest) {
            return newest.error();
        }
        const json keys = newest->document.value("keys", json::object());
        if (!keys.contains(id)) {
            output::print_note("refused: expected the id of a key of version " +
                               std::to_string(newest->version) + ", found '" + id +
                               "'; `cranberryctl config get` shows them");
            return exit_code::refused;
        }
        const json patch = {{"keys", {{id, {{"withdrawn", true}}}}}};
        const auto version = send_patch(patch.dump(), true, context);
        if (!version) {
            return version.error();
        }
        context.out.print_result({{"id", id}, {"version", *version}},
                                 "withdrawn with version " + std::to_string(*version) + "\n");
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_key_withdraw() {
    return std::make_unique<key_withdraw_command>();
}

}  // namespace cranberrydock::ctl
