// The command `queue list`: lists the queues of the newest version.
#include "config_edit.hpp"

namespace cranberrydock::ctl {
namespace {

class queue_list_command final : public command {
public:
    command_description describe() const override {
        return {"queue list", "", "lists the queues; empty fields have their default value",
                {},           0,  0};
    }

    exit_code run(const std::vector<std::string>& /*arguments*/,
                  const command_context& context) const override {
        const auto newest = read_newest(context);
        if (!newest) {
            return newest.error();
        }
        const json queues = newest->document.value("queues", json::object());
        text_table table({"queue", "policy", "open", "open_team", "max_queued_per_team",
                          "max_attempts", "default_deadline_ms"});
        for (const auto& it : queues.items()) {
            table.add({it.key(), text_at(it.value(), "policy"), text_at(it.value(), "open"),
                       text_at(it.value(), "open_team"), text_at(it.value(), "max_queued_per_team"),
                       text_at(it.value(), "max_attempts"),
                       text_at(it.value(), "default_deadline_ms")});
        }
        context.out.print_result(queues, table.text());
        return exit_code::ok;
    }
};

}  // namespace

command_ptr make_queue_list() {
    return std::make_unique<queue_list_command>();
}

}  // namespace cranberrydock::ctl
