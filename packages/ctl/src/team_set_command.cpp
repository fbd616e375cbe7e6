// The command `team set`: adds a team, or changes the given fields of a team.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

json changed_fields(const edit_options& changes) {
    json out = json::object();
    set_if_given(out, "home_region", changes.home_region);
    set_if_given(out, "share", changes.share);
    set_if_given(out, "upper_limit", changes.upper_limit);
    return out;
}

class team_set_command final : public command {
public:
    command_description describe() const override {
        return {"team set",
                "NAME",
                "adds a team, or changes the given fields of a team",
                {"home_region", "share", "upper_limit", "base"},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        return set_entry({"teams", "team", arguments[0], changed_fields(context.settings.edit)},
                         context);
    }
};

}  // namespace

command_ptr make_team_set() {
    return std::make_unique<team_set_command>();
}

}  // namespace cranberrydock::ctl
