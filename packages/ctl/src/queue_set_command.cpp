// The command `queue set`: adds a queue, or changes the given fields of a queue.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

json changed_fields(const edit_options& changes) {
    json out = json::object();
    set_if_given(out, "policy", changes.policy);
    set_if_given(out, "open", changes.open);
    set_if_given(out, "open_team", changes.open_team);
    set_if_given(out, "max_queued_per_team", changes.max_queued_per_team);
    set_if_given(out, "max_attempts", changes.max_attempts);
    set_if_given(out, "default_deadline_ms", changes.default_deadline_ms);
    return out;
}

class queue_set_command final : public command {
public:
    command_description describe() const override {
        return {"queue set",
                "NAME",
                "adds a queue, or changes the given fields of a queue",
                {"policy", "open", "open_team", "max_queued_per_team", "max_attempts",
                 "default_deadline_ms", "base"},
                1,
                1};
    }

    exit_code run(const std::vector<std::string>& arguments,
                  const command_context& context) const override {
        return set_entry({"queues", "queue", arguments[0], changed_fields(context.settings.edit)},
                         context);
    }
};

}  // namespace

command_ptr make_queue_set() {
    return std::make_unique<queue_set_command>();
}

}  // namespace cranberrydock::ctl
