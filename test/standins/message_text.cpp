// Writes one field after another. Each string is written with its length before it, so that no two
// different messages have the same text.
#include "message_text.hpp"

#include <sstream>

namespace cranberrydock::standins {
namespace {

class text_writer {
public:
    template <typename... Fields>
    void add_all(const Fields&... fields) {
        (add(fields), ...);
    }

    std::string text() const { return out_.str(); }

private:
    void add(const std::string& field) { out_ << field.size() << ':' << field << ' '; }
    void add(bool field) { out_ << (field ? "yes " : "no "); }
    void add(int field) { out_ << field << ' '; }
    void add(std::size_t field) { out_ << field << ' '; }
    template <typename Tag>
    void add(const base::strong_id<Tag>& field) {
        add(field.str());
    }
    template <typename Tag>
    void add(base::strong_number<Tag> field) {
        out_ << field << ' ';
    }
    template <typename Rep, typename Period>
    void add(std::chrono::duration<Rep, Period> field) {
        out_ << field.count() << "t ";
    }
    template <typename T>
    void add(const std::optional<T>& field) {
        add(field.has_value());
        if (field) {
            add(*field);
        }
    }
    template <typename T>
    void add(const std::vector<T>& field) {
        out_ << '[' << field.size() << ' ';
        for (const auto& it : field) {
            add(it);
        }
        out_ << "] ";
    }
    template <typename... Ts>
    void add(const std::variant<Ts...>& field) {
        out_ << '#' << field.index() << ' ';
        std::visit([this](const auto& alternative) { this->add(alternative); }, field);
    }

    void add(base::refusal_reason field) { add(std::string(base::to_string(field))); }
    void add(base::job_state field) { add(base::to_string(field)); }
    void add(const base::resources& field) {
        const auto& [cores, memory, accelerators, slots] = field;
        add_all(cores, memory, accelerators, slots);
    }
    void add(const base::refusal& field) {
        const auto& [reason, not_run, retry_after, detail] = field;
        add_all(reason, not_run, retry_after, detail);
    }
    void add(const base::trace_step& field) {
        const auto& [stage, where, at, took, note] = field;
        add_all(stage, where, at, took, note);
    }
    void add(const base::task_answer& field) {
        const auto& [task, vm, content, digest, attempts] = field;
        add_all(task, vm, content, digest, attempts);
    }
    void add(const base::work_accepted& /*field*/) {}
    void add(const base::work_answered& field) { add(field.answers); }
    void add(const base::work& field) {
        const auto& [id, job, team, key, digest, queue, kind, payload, need, task_count, gang,
                     repeatable, durable, service, deadline, expected_time, traceparent] = field;
        add_all(id, job, team, key, digest, queue, kind, payload, need, task_count, gang,
                repeatable, durable, service, deadline, expected_time, traceparent);
    }
    void add(const base::job_view& field) {
        const auto& [job, team, queue, kind, state, why, tasks, running, done, vms, attempts,
                     reasons, answers, refused, trace] = field;
        add_all(job, team, queue, kind, state, why, tasks, running, done, vms, attempts, reasons,
                answers, refused, trace);
    }
    void add(const mesh::owned_cell& field) {
        const auto& [cell, epoch] = field;
        add_all(cell, epoch);
    }
    void add(const mesh::team_usage& field) {
        const auto& [team, running, queued] = field;
        add_all(team, running, queued);
    }
    void add(const mesh::heartbeat& field) {
        const auto& [version, store_reachable, ready, owned, usage] = field;
        add_all(version, store_reachable, ready, owned, usage);
    }
    void add(const mesh::submit_work& field) {
        const auto& [call, cell, work] = field;
        add_all(call, cell, work);
    }
    void add(const mesh::work_result& field) {
        const auto& [call, outcome, trace] = field;
        add_all(call, outcome, trace);
    }
    void add(const mesh::job_query& field) {
        const auto& [call, cell, team, job, cancel] = field;
        add_all(call, cell, team, job, cancel);
    }
    void add(const mesh::job_reply& field) {
        const auto& [call, found, view] = field;
        add_all(call, found, view);
    }
    void add(const mesh::config_announcement& field) {
        const auto& [version, document] = field;
        add_all(version, document);
    }
    void add(const mesh::hold_off_request& field) {
        const auto& [call, cells] = field;
        add_all(call, cells);
    }
    void add(const mesh::hold_off_answer& field) {
        const auto& [call, given, lasting] = field;
        add_all(call, given, lasting);
    }
    void add(const mesh::cells_offered& field) { add(field.cells); }

    std::ostringstream out_;
};

}  // namespace

std::string to_text(const mesh::message& source) {
    text_writer out;
    out.add_all(source);
    return out.text();
}

}  // namespace cranberrydock::standins
