// team set: adds a team, or changes the fields of one that were given.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

json fields_of(const edit_options& wanted) {
    json out = json::object();
    put_given(out, "home_region", wanted.home_region);
    put_given(out, "share", wanted.share);
    put_given(out, "upper_limit", wanted.upper_limit);
    return out;
}

class team_set_command final : public command {
public:
    command_description describe() const override {
        return {"team set",
                "NAME",
                "adds a team, or changes the given fields of one",
                {"home_region", "share", "upper_limit", "base"},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        return set_entry({"teams", "team", arguments[0], fields_of(context.settings.edit)},
                         context);
    }
};

}  // namespace

command_ptr make_team_set() {
    return std::make_unique<team_set_command>();
}

}  // namespace cranberrydock::ctl
