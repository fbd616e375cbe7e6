// queue set: adds a queue, or changes the fields of one that were given.
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
    put("policy", wanted.policy);
    put("open", wanted.open);
    put("open_team", wanted.open_team);
    put("max_queued_per_team", wanted.max_queued_per_team);
    put("max_attempts", wanted.max_attempts);
    put("default_deadline_ms", wanted.default_deadline_ms);
    return out;
}

class queue_set_command final : public command {
public:
    command_description describe() const override {
        return {"queue set",
                "NAME",
                "adds a queue, or changes the given fields of one",
                {"policy", "open", "open_team", "max_queued_per_team", "max_attempts",
                 "default_deadline_ms", "base"},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        const json patch = {{"queues", {{arguments[0], fields_of(context.settings.edit)}}}};
        const auto version = send_patch(patch.dump(), true, context);
        if (!version) {
            return version.error();
        }
        context.out.result({{"queue", arguments[0]}, {"version", *version}},
                           "version " + std::to_string(*version) + " is accepted\n");
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_queue_set() {
    return std::make_unique<queue_set_command>();
}

}  // namespace cranberrydock::ctl
