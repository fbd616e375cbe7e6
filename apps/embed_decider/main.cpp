// Embeds the decider of a cell without a daemon: the program acts as the VM and as the caller, and
// prints the decider's replies. It is built with the workspace, or against an installed
// cranberrydock by the CMakeLists.txt in this folder.
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <cstdio>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace cranberrydock;

const base::vm_id vm_name("vm-1");
const base::team_id team_name("survey");
const base::queue_name queue_name("previews");

// A VM that completes every task at once.
class instant_vm {
public:
    platform::vm_reply answer(const platform::vm_command& command) {
        if (const auto* const start = std::get_if<platform::start_command>(&command.body)) {
            platform::finished_task done;
            done.attempt = start->attempt;
            done.task = start->task;
            done.team = start->team;
            done.answer = "preview of " + start->payload;
            done.answer_digest = base::sha256_hex(done.answer);
            finished_.push_back(done);
        }
        platform::vm_reply out;
        number_ = number_.next();
        out.report.incarnation = base::incarnation_id("boot-1");
        out.report.number = number_;
        out.report.epoch = command.epoch;
        out.report.capacity = {
            base::millicores(4'000), base::mebibytes(1'024), {}, base::slot_count(4)};
        out.report.finished = finished_;
        return out;
    }

private:
    platform::report_number number_;
    std::vector<platform::finished_task> finished_;
};

// Passes events to the decider and carries out its effects by calling the VM directly; a real
// embedder would send commands and replies over the network.
class embedder {
public:
    explicit embedder(cell::cell_machine& machine) : machine_(machine) {}

    void dispatch(const cell::cell_event& event) {
        for (const auto& it : machine_.handle(event, clock_.now())) {
            if (const auto* const command = std::get_if<cell::command_vm>(&it)) {
                const bool watch =
                    std::holds_alternative<platform::watch_command>(command->command.body);
                if (!watch) {
                    dispatch(cell::vm_answered{command->id, vm_.answer(command->command)});
                }
            } else if (const auto* const reply = std::get_if<cell::reply>(&it)) {
                print(*reply);
            }
        }
    }

private:
    static void print(const cell::reply& reply) {
        if (const auto* const answered = std::get_if<base::work_answered>(&reply.outcome)) {
            std::printf("caller %d: %s\n", static_cast<int>(reply.to.value()),
                        answered->answers.front().content.c_str());
        }
    }

    cell::cell_machine& machine_;
    base::monotonic_clock clock_;
    instant_vm vm_;
};

cell::rules_changed team_and_queue_rules() {
    cell::rules_changed out;
    out.queues = {{queue_name, policy::queue_kind::latency}};
    policy::team_settings team;
    team.team = team_name;
    team.allowance = base::slot_count(4);
    out.teams = {team};
    return out;
}

platform::member member_entry() {
    platform::member out;
    out.id = vm_name;
    out.capacity = {base::millicores(4'000), base::mebibytes(1'024), {}, base::slot_count(4)};
    return out;
}

base::work preview(const std::string& field) {
    base::work out;
    out.job = base::job_id("job-" + field);
    out.team = team_name;
    out.queue = queue_name;
    out.kind = base::kind_name("preview");
    out.need.slots = base::slot_count(1);
    out.payload = field;
    return out;
}

}  // namespace

int main() {
    const auto scheduler = policy::make_scheduler();
    base::metrics metrics;
    cell::cell_settings settings;
    settings.cell = base::cell_id("northcoast-a");
    settings.epoch = base::epoch(1);
    cell::cell_machine machine(settings, *scheduler, metrics);
    embedder cell(machine);
    const base::monotonic_clock clock;
    cell.dispatch(team_and_queue_rules());
    cell.dispatch(cell::vms_listed{{member_entry()}});
    cell.dispatch(cell::ownership_evidence_extended{clock.now() + base::seconds(60)});
    cell.dispatch(cell::journal_recovered{});
    cell.dispatch(cell::submit{preview("field 7"), cell::reply_id(1)});
    cell.dispatch(cell::submit{preview("field 8"), cell::reply_id(2)});
    return 0;
}
