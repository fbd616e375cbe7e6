// The command `team list`: lists the teams of the newest version.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

class team_list_command final : public command {
public:
    command_description describe() const override {
        return {"team list", "", "lists the teams; empty fields have their default value",
                {},          0,  0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        const auto newest = read_newest(context);
        if (!newest) {
            return newest.error();
        }
        const json teams = newest->document.value("teams", json::object());
        text_table table({"team", "home_region", "share", "upper_limit"});
        for (const auto& it : teams.items()) {
            table.add({it.key(), text_at(it.value(), "home_region"), text_at(it.value(), "share"),
                       text_at(it.value(), "upper_limit")});
        }
        context.out.print_result(teams, table.text());
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_team_list() {
    return std::make_unique<team_list_command>();
}

}  // namespace cranberrydock::ctl
