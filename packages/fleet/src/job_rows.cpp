// Encodes job rows as CBOR maps. A missing field takes its default, so that rows written by older
// versions can be read. A field of the wrong type makes the row invalid.
#include <cranberrydock/fleet/job_rows.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace cranberrydock::fleet {
namespace {

using nlohmann::json;

std::string to_bytes(const json& value) {
    const std::vector<std::uint8_t> buf = json::to_cbor(value);
    return {buf.begin(), buf.end()};
}

json encode_step(const step_spec& step) {
    json out = {{"tasks", step.task_count},
                {"cores", step.need.cores.value()},
                {"memory", step.need.memory.value()},
                {"accelerators", step.need.accelerators.value()},
                {"estimate_ms", step.estimate.count()}};
    const auto set_if = [&out](const char* name, bool present, json value) {
        if (present) {
            out[name] = std::move(value);
        }
    };
    set_if("after", !step.after.empty(), step.after);
    set_if("gang", step.gang, true);
    set_if("same_rack", step.same_rack, true);
    set_if("checkpoints", step.checkpoints, true);
    set_if("speculative", step.speculative, true);
    set_if("long_running", step.long_running, true);
    set_if("fills", step.opportunistic, true);
    set_if("required_label", !step.required_label.empty(), step.required_label.str());
    set_if("data_rack", !step.data_rack.empty(), step.data_rack.str());
    set_if("max_per_vm", step.max_per_vm > 0, step.max_per_vm);
    set_if("image", !step.image.empty(), step.image.str());
    set_if("tail_target_ms", step.tail_latency_target.count() > 0,
           step.tail_latency_target.count());
    set_if("may_miss", step.max_unavailable > 0, step.max_unavailable);
    return out;
}

step_spec decode_step(const json& fields) {
    step_spec out;
    out.task_count = fields.value("tasks", 1);
    out.need.cores = base::millicores(fields.value("cores", std::int64_t{0}));
    out.need.memory = base::mebibytes(fields.value("memory", std::int64_t{0}));
    out.need.accelerators = base::accelerator_count(fields.value("accelerators", std::int64_t{0}));
    out.estimate = milliseconds(fields.value("estimate_ms", std::int64_t{0}));
    out.after = fields.value("after", std::vector<int>{});
    out.gang = fields.value("gang", false);
    out.same_rack = fields.value("same_rack", false);
    out.checkpoints = fields.value("checkpoints", false);
    out.speculative = fields.value("speculative", false);
    out.long_running = fields.value("long_running", false);
    out.opportunistic = fields.value("fills", false);
    out.required_label = vm_label(fields.value("required_label", ""));
    out.data_rack = rack_name(fields.value("data_rack", ""));
    out.max_per_vm = fields.value("max_per_vm", 0);
    out.image = image_name(fields.value("image", ""));
    out.tail_latency_target = milliseconds(fields.value("tail_target_ms", std::int64_t{0}));
    out.max_unavailable = fields.value("may_miss", 0);
    return out;
}

// Tasks are encoded as a string with one character per task, which stands for a done task or for
// the evidence that the task crashes VMs, plus the failed runs of the tasks that are not done and
// the runs that were lost with a VM that may have crashed, and the losses that the evidence does
// not contain.

json encode_tasks(const step_progress& step) {
    std::string marks;
    json failed = json::object();
    json lost = json::object();
    json losses = json::object();
    for (std::size_t i = 0; i < step.done.size(); ++i) {
        const crash_evidence crashes = i < step.crashes.size() ? step.crashes[i] : crash_evidence{};
        marks.push_back(step.done[i] ? done_mark : encode(crashes));
        if (!step.done[i] && !step.failed_runs[i].empty()) {
            json runs = json::array();
            for (const auto& it : step.failed_runs[i]) {
                runs.push_back(it.value());
            }
            failed[std::to_string(i)] = std::move(runs);
        }
        if (!step.done[i] && !crashes.unresolved.empty()) {
            json runs = json::array();
            for (const auto& it : crashes.unresolved) {
                runs.push_back(
                    {it.vm.value(), it.address.value(), it.boot.value(), it.alone, it.young});
            }
            lost[std::to_string(i)] = std::move(runs);
        }
        if (!step.done[i] && crashes.losses > crashes.crashes) {
            losses[std::to_string(i)] = crashes.losses;
        }
    }
    json out = {{"tasks", std::move(marks)}};
    if (!failed.empty()) {
        out["failed_runs"] = std::move(failed);
    }
    if (!lost.empty()) {
        out["lost_runs"] = std::move(lost);
    }
    if (!losses.empty()) {
        out["losses"] = std::move(losses);
    }
    return out;
}

step_progress decode_tasks(const json& fields) {
    step_progress out;
    for (const char it : fields.at("tasks").get<std::string>()) {
        out.done.push_back(it == done_mark);
        out.crashes.push_back(decode_crash_evidence(it));
    }
    out.failed_runs.resize(out.done.size());
    if (fields.contains("failed_runs")) {
        for (const auto& it : fields.at("failed_runs").items()) {
            auto& runs = out.failed_runs.at(std::stoul(it.key()));
            for (const auto& run : it.value()) {
                runs.emplace_back(run.get<std::int32_t>());
            }
        }
    }
    if (fields.contains("lost_runs")) {
        for (const auto& it : fields.at("lost_runs").items()) {
            auto& crashes = out.crashes.at(std::stoul(it.key()));
            for (const auto& run : it.value()) {
                crashes.add_unresolved({vm_key(run.at(0).get<std::int64_t>()),
                                        address_key(run.at(1).get<std::int64_t>()),
                                        boot_time(run.at(2).get<std::int64_t>()),
                                        run.at(3).get<bool>(),
                                        run.size() <= 4 || run.at(4).get<bool>(),
                                        {}});
            }
        }
    }
    if (fields.contains("losses")) {
        for (const auto& it : fields.at("losses").items()) {
            auto& crashes = out.crashes.at(std::stoul(it.key()));
            crashes.losses =
                std::clamp(it.value().get<int>(), crashes.crashes, crash_evidence::max_crashes);
        }
    }
    return out;
}

// Occurrences are encoded as an array. A number in it stands for that many finished occurrences in
// a row, an array of steps for one that is not finished, which is empty if these are in blocks.
json encode_occurrences(const job_progress& progress) {
    json out = json::array();
    int finished = progress.finished_before;
    const auto add_finished = [&out, &finished] {
        if (finished > 0) {
            out.push_back(finished);
            finished = 0;
        }
    };
    for (const auto& it : progress.occurrences) {
        if (it.empty()) {
            ++finished;
            continue;
        }
        add_finished();
        json steps = json::array();
        if (!progress.in_blocks) {
            for (const auto& step : it) {
                steps.push_back(encode_tasks(step));
            }
        }
        out.push_back(std::move(steps));
    }
    add_finished();
    return out;
}

void decode_occurrences(const json& encoded, job_progress& out) {
    constexpr std::int64_t max_finished = 10'000'000;  // after an occurrence that is not finished
    for (const auto& it : encoded) {
        if (it.is_array()) {
            std::vector<step_progress> steps;
            for (const auto& marks : it) {
                steps.push_back(decode_tasks(marks));
            }
            if (steps.empty()) {
                out.in_blocks = true;
                steps.emplace_back();
            }
            out.occurrences.push_back(std::move(steps));
            continue;
        }
        const auto count = it.get<std::int64_t>();
        const bool leads = out.occurrences.empty() && out.finished_before == 0;
        const std::int64_t limit =
            leads ? std::numeric_limits<std::int32_t>::max()
                  : max_finished - static_cast<std::int64_t>(out.occurrences.size());
        if (count < 1 || count > limit) {
            throw std::invalid_argument("expected a number of finished occurrences, found " +
                                        std::to_string(count));
        }
        if (leads) {
            out.finished_before = static_cast<int>(count);
        } else {
            out.occurrences.resize(out.occurrences.size() + static_cast<std::size_t>(count));
        }
    }
}

json decode_map(const std::string& value) {
    json out = json::from_cbor(value);
    if (!out.is_object()) {
        throw std::invalid_argument("expected a map, found " + std::string(out.type_name()));
    }
    return out;
}

}  // namespace

std::string encode_job(const job_spec& job) {
    json steps = json::array();
    for (const auto& it : job.steps) {
        steps.push_back(encode_step(it));
    }
    json out = {{"queue", job.queue.str()},
                {"customer", job.customer.str()},
                {"service", job.terms.service.str()},
                {"urgency", job.terms.urgency},
                {"max_attempts", job.terms.max_attempts},
                {"slack_factor", job.terms.slack_factor},
                {"target_latency_ms", job.terms.target_latency.count()},
                {"accepted", job.accepted.value()},
                {"accepted_under", job.accepted_under.value()},
                {"payload", job.payload},
                {"steps", std::move(steps)}};
    if (job.occurrences > 0) {
        out["occurrences"] = job.occurrences;
        out["period_ms"] = job.period.count();
        out["first_due"] = job.first_start.value();
    }
    return to_bytes(out);
}

std::string encode_cancelled(const cancelled_job& job) {
    json out = {{"cancelled", true}, {"customer", job.customer.str()}, {"queue", job.queue.str()}};
    if (job.withdrawn) {
        out["withdrawn"] = true;
    }
    return to_bytes(out);
}

std::string encode_progress(const job_progress& progress) {
    json out = {{"customer", progress.customer.str()},
                {"queue", progress.queue.str()},
                {"state", static_cast<int>(progress.state)}};
    if (is_final(progress.state)) {
        out["ended"] = progress.ended.value();
        if (progress.withdrawn) {
            out["withdrawn"] = true;
        }
        return to_bytes(out);
    }
    out["occurrences"] = encode_occurrences(progress);
    return to_bytes(out);
}

std::string encode_block(const step_progress& block) {
    return to_bytes(encode_tasks(block));
}

std::int64_t task_count_of(const job_spec& job) {
    std::int64_t out = 0;
    for (const auto& it : job.steps) {
        out += std::max(0, it.task_count);
    }
    return out;
}

std::optional<std::size_t> largest_progress_bytes(const job_spec& job) {
    constexpr std::size_t fields_bytes = 100;  // names of the fields and the state
    constexpr std::size_t step_bytes = 50;     // names of the fields, without their contents
    constexpr std::size_t key_bytes = 8;       // a task's index, as a text
    constexpr std::size_t run_bytes = 5;
    constexpr std::size_t lost_run_bytes = 30;
    constexpr std::size_t task_bytes =
        2 + 3 * key_bytes + crash_evidence::max_unresolved * lost_run_bytes;
    if (job.occurrences > 0) {
        return std::nullopt;
    }
    const auto failed_runs = static_cast<std::size_t>(std::max(0, job.terms.max_attempts));
    return fields_bytes + job.customer.str().size() + job.queue.str().size() +
           step_bytes * job.steps.size() +
           (task_bytes + run_bytes * failed_runs) * static_cast<std::size_t>(task_count_of(job));
}

block_ref block_of(const task_ref& task) {
    return {task.occurrence, task.step, task.index - task.index % tasks_per_block};
}

std::string to_string(const block_ref& block) {
    return std::to_string(block.occurrence) + "." + std::to_string(block.step) + "." +
           std::to_string(block.first_task);
}

std::optional<block_ref> parse_block_ref(const std::string& text) {
    block_ref out;
    const char* it = text.data();
    const char* const end = it + text.size();
    for (int* const number : {&out.occurrence, &out.step, &out.first_task}) {
        const auto parsed = std::from_chars(it, end, *number);
        if (parsed.ec != std::errc() || *number < 0) {
            return std::nullopt;
        }
        it = parsed.ptr;
        if (number != &out.first_task) {
            if (it == end || *it != '.') {
                return std::nullopt;
            }
            ++it;
        }
    }
    return it == end ? std::optional<block_ref>(out) : std::nullopt;
}

bool job_progress::is_finished(int occurrence) const {
    if (is_final(state) || occurrence < finished_before) {
        return true;
    }
    const auto n = static_cast<std::size_t>(occurrence - finished_before);
    return n < occurrences.size() && occurrences[n].empty();
}

tl::expected<job_row, std::string> decode_job(const job_id& id, const std::string& value) {
    try {
        const json fields = decode_map(value);
        job_row out;
        out.job.id = id;
        out.job.customer = customer_name(fields.value("customer", ""));
        out.job.queue = queue_name(fields.value("queue", ""));
        if (fields.value("cancelled", false)) {
            out.kind = fields.value("withdrawn", false) ? job_row_kind::withdrawn
                                                        : job_row_kind::cancelled;
            return out;
        }
        out.job.terms.service = service_name(fields.value("service", ""));
        out.job.terms.urgency = fields.value("urgency", 0);
        out.job.terms.max_attempts = fields.value("max_attempts", 1);
        out.job.terms.slack_factor = fields.value("slack_factor", 1.0);
        out.job.terms.target_latency =
            milliseconds(fields.value("target_latency_ms", std::int64_t{0}));
        out.job.accepted = unix_time(fields.value("accepted", std::int64_t{0}));
        out.job.accepted_under = fencing_token(fields.value("accepted_under", std::int64_t{0}));
        out.job.payload = fields.value("payload", "");
        for (const auto& it : fields.at("steps")) {
            out.job.steps.push_back(decode_step(it));
        }
        out.job.occurrences = fields.value("occurrences", 0);
        out.job.period = milliseconds(fields.value("period_ms", std::int64_t{0}));
        out.job.first_start = unix_time(fields.value("first_due", std::int64_t{0}));
        return out;
    } catch (const std::exception& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

tl::expected<job_progress, std::string> decode_progress(const std::string& value) {
    try {
        const json fields = decode_map(value);
        job_progress out;
        out.customer = customer_name(fields.value("customer", ""));
        out.queue = queue_name(fields.value("queue", ""));
        const int state = fields.value("state", 0);
        if (state < 0 || state > static_cast<int>(job_state::cancelled)) {
            return tl::unexpected("expected a state, found " + std::to_string(state));
        }
        out.state = static_cast<job_state>(state);
        out.ended = unix_time(fields.value("ended", std::int64_t{0}));
        out.withdrawn = fields.value("withdrawn", false);
        if (fields.contains("occurrences")) {
            decode_occurrences(fields.at("occurrences"), out);
        }
        return out;
    } catch (const std::exception& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

tl::expected<step_progress, std::string> decode_block(const std::string& value) {
    try {
        return decode_tasks(decode_map(value));
    } catch (const std::exception& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

}  // namespace cranberrydock::fleet
