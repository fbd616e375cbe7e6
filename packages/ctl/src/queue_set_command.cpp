// queue set: adds a queue, or changes the fields of one that were given.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

json fields_of(const edit_options& wanted) {
    json out = json::object();
    put_given(out, "policy", wanted.policy);
    put_given(out, "open", wanted.open);
    put_given(out, "open_team", wanted.open_team);
    put_given(out, "max_queued_per_team", wanted.max_queued_per_team);
    put_given(out, "max_attempts", wanted.max_attempts);
    put_given(out, "default_deadline_ms", wanted.default_deadline_ms);
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
        return set_entry({"queues", "queue", arguments[0], fields_of(context.settings.edit)},
                         context);
    }
};

}  // namespace

command_ptr make_queue_set() {
    return std::make_unique<queue_set_command>();
}

}  // namespace cranberrydock::ctl
