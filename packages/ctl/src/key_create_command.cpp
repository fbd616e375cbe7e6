// The command `key create`: generates a key locally, adds its digest to the configuration and
// prints the key once.
#include <cranberrydock/config/keys.hpp>

#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

class key_create_command final : public command {
public:
    command_description describe() const override {
        return {"key create",
                "",
                "creates a key for --team, or an operator's key with --operations",
                {"team", "operations", "base"},
                0,
                0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        const edit_options& changes = context.settings.edit;
        if (changes.team.empty() != changes.operations) {
            return output::report_usage_error(
                std::string("expected either --team=NAME or --operations, found ") +
                (changes.operations ? "both" : "neither"));
        }
        config::openssl_random random;
        const auto role =
            changes.operations ? config::key_role::operations : config::key_role::submitter;
        const auto generated = config::generate_key({role, base::team_id(changes.team)}, random);
        const auto version = send_patch(config::patch_to_add_key(generated.entry), true, context);
        if (!version) {
            return version.error();
        }
        context.out.print_result({{"key", generated.bearer_token},
                                  {"id", generated.entry.id.str()},
                                  {"version", *version}},
                                 generated.bearer_token + "\n");
        output::print_note("the key is in force with version " + std::to_string(*version) +
                           "; it can't be shown again, since only its digest is stored");
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_key_create() {
    return std::make_unique<key_create_command>();
}

}  // namespace cranberrydock::ctl
