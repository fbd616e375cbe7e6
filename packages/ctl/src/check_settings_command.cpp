// The command `check-settings`: reads a daemon's settings file as the daemon does, without starting
// a daemon.
#include <cranberrydock/config/settings.hpp>

#include "command.hpp"

namespace cranberrydock::ctl {
namespace {

json finding_to_json(const base::finding& it) {
    return {
        {"place", it.place}, {"expected", it.expected}, {"found", it.found}, {"advice", it.advice}};
}

class check_settings_command final : public command {
public:
    command_description describe() const override {
        return {"check-settings",
                "FILE",
                "checks a daemon's settings file and prints all its faults",
                {},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        const auto read = config::read_settings_file(arguments[0]);
        json findings = json::array();
        if (read) {
            context.out.print_result({{"findings", findings}}, arguments[0] + ": no findings\n");
            return exit_code::ok;
        }
        for (const auto& it : read.error().list()) {
            findings.push_back(finding_to_json(it));
        }
        context.out.print_result({{"findings", findings}}, read.error().text());
        return exit_code::refused;
    }
};

}  // namespace

command_ptr make_check_settings() {
    return std::make_unique<check_settings_command>();
}

}  // namespace cranberrydock::ctl
