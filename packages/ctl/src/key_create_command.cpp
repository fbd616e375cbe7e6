// key create: makes a key here, puts its digest into the configuration and shows the key once.
#include <cranberrydock/config/keys.hpp>

#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

class key_create_command final : public command {
public:
    command_description describe() const override {
        return {"key create",
                "",
                "makes a key for --team, or with --operations an operator's",
                {"team", "operations", "base"},
                0,
                0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        const edit_options& wanted = context.settings.edit;
        if (wanted.team.empty() != wanted.operations) {
            return output::wrong_usage(
                std::string("expected either --team=NAME or --operations, found ") +
                (wanted.operations ? "both" : "neither"));
        }
        config::openssl_random random;
        const auto role =
            wanted.operations ? config::key_role::operations : config::key_role::submitter;
        const auto made = config::make_key({role, base::team_id(wanted.team)}, random);
        const auto version = send_patch(config::patch_adding(made.entry), true, context);
        if (!version) {
            return version.error();
        }
        context.out.result(
            {{"key", made.bearer_token}, {"id", made.entry.id.str()}, {"version", *version}},
            made.bearer_token + "\n");
        output::note("in force with version " + std::to_string(*version) +
                     "; this key is shown only now, only its digest is kept");
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_key_create() {
    return std::make_unique<key_create_command>();
}

}  // namespace cranberrydock::ctl
