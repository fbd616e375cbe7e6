// team set: adds a team, or changes the fields of one that were given.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

// Only what was given, so that the patch keeps its meaning whatever else changes.
json fields_of(const edit_options& wanted) {
    json out = json::object();
    const auto put = [&](const char* field, const auto& value) {
        if (value) {
            out[field] = *value;
        }
    };
    put("home_region", wanted.home_region);
    put("share", wanted.share);
    put("upper_limit", wanted.upper_limit);
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
        const json patch = {{"teams", {{arguments[0], fields_of(context.settings.edit)}}}};
        const auto version = send_patch(patch.dump(), true, context);
        if (!version) {
            return version.error();
        }
        context.out.result({{"team", arguments[0]}, {"version", *version}},
                           "version " + std::to_string(*version) + " is accepted\n");
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_team_set() {
    return std::make_unique<team_set_command>();
}

}  // namespace cranberrydock::ctl
