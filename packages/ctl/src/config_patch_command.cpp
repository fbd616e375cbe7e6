// The command `config patch`: changes the configuration by a merge patch.
#include "config_edit.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace cranberrydock::ctl {
namespace {

class config_patch_command final : public command {
public:
    command_description describe() const override {
        return {"config patch",
                "FILE",
                "changes the configuration by the merge patch (RFC 7396) in FILE; - reads standard "
                "input",
                {"base"},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        std::string patch;
        if (arguments[0] == "-") {
            patch.assign(std::istreambuf_iterator<char>(std::cin), {});
        } else {
            std::ifstream in(arguments[0], std::ios::binary);
            patch.assign(std::istreambuf_iterator<char>(in), {});
            if (!in) {
                return output::report_usage_error("expected a readable file, found none at '" +
                                                  arguments[0] + "'");
            }
        }
        const auto version = send_patch(patch, false, context);
        if (!version) {
            return version.error();
        }
        context.out.print_result({{"version", *version}},
                                 "version " + std::to_string(*version) + " is accepted\n");
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_config_patch() {
    return std::make_unique<config_patch_command>();
}

}  // namespace cranberrydock::ctl
