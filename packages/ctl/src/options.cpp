// The options, defined for gflags and handed on as plain values.
#include "options.hpp"

#include <cranberrydock/base/finding.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <type_traits>

DEFINE_string(entry, "127.0.0.1:8080",
              "ADDRESS:PORT of an entry; more, separated by commas, are "
              "asked in turn when one can't be reached");
DEFINE_string(key, "", "the key to show, ID.SECRET");
DEFINE_string(key_file, "", "a file with the key to show, so that it stands in no process list");
DEFINE_string(output, "text", "text or json");
DEFINE_int64(timeout_ms, 60'000, "how long one entry may take to answer, milliseconds");

DEFINE_string(queue, "", "the queue to submit to");
DEFINE_string(kind, "default", "the request kind, by which sizes and times are learnt");
DEFINE_string(payload, "", "what each task gets");
DEFINE_string(payload_file, "", "a file with what each task gets; - is standard input");
DEFINE_double(cores, 0, "processor cores a task");
DEFINE_int64(memory_mib, 0, "memory a task, MiB");
DEFINE_int64(accelerators, 0, "accelerators a task");
DEFINE_int64(slots, 1, "slots a task");
DEFINE_int64(tasks, 1, "number of tasks");
DEFINE_bool(gang, false, "start all tasks at once or none");
DEFINE_bool(not_repeatable, false, "run at most once, even if an outcome stays unknown");
DEFINE_bool(service, false, "run until cancelled");
DEFINE_int64(deadline_ms, 0,
             "when the answer is of no use any more, milliseconds from acceptance; "
             "0: the queue's default");
DEFINE_int64(expected_ms, 0, "expected run time, milliseconds; 0: unknown");
DEFINE_string(idempotency_key, "",
              "names this work, so that sending it again does not run it "
              "again; made when not given");
DEFINE_bool(job, false, "return once the work is accepted for certain; ask for it later");
DEFINE_bool(wait, false, "with --job: wait until the job has ended");

DEFINE_int64(base, -1, "the version that the change was made for; -1: the newest");
DEFINE_string(team, "", "the team that the new key submits for");
DEFINE_bool(operations, false, "make an operator's key");
DEFINE_string(home_region, "", "the region whose cells hold the team's queues");
DEFINE_double(share, 1, "the team's weight when the fleet is full");
DEFINE_int64(upper_limit, 0, "the team's highest number of slots in use, fleet-wide");
DEFINE_string(policy, "batch", "latency, must_finish, batch, gang or service");
DEFINE_bool(open, false, "take work without a key");
DEFINE_string(open_team, "", "the team that work without a key is counted for");
DEFINE_int64(max_queued_per_team, 10'000, "tasks that a team may have waiting in the queue");
DEFINE_int64(max_attempts, 5, "attempts a task before it is given up");
DEFINE_int64(default_deadline_ms, 0, "deadline of work that names none, milliseconds");

DEFINE_string(after, "", "list what follows this one");
DEFINE_int64(limit, 50, "list so many at the most");
DEFINE_bool(undo, false, "take the VM back into use");

namespace cranberrydock::ctl {
namespace {

const std::vector<std::string> all_options = {"entry",        "key",
                                              "key_file",     "output",
                                              "timeout_ms",   "queue",
                                              "kind",         "payload",
                                              "payload_file", "cores",
                                              "memory_mib",   "accelerators",
                                              "slots",        "tasks",
                                              "gang",         "not_repeatable",
                                              "service",      "deadline_ms",
                                              "expected_ms",  "idempotency_key",
                                              "job",          "wait",
                                              "base",         "team",
                                              "operations",   "home_region",
                                              "share",        "upper_limit",
                                              "policy",       "open",
                                              "open_team",    "max_queued_per_team",
                                              "max_attempts", "default_deadline_ms",
                                              "after",        "limit",
                                              "undo",         "help"};

// An option as it stands on the command line, before gflags has its turn.
struct written_option {
    std::string name;  // with underscores, without a leading "no"
    std::optional<std::string> value;
};

bool is_known(const std::string& name) {
    return std::find(all_options.begin(), all_options.end(), name) != all_options.end();
}

written_option take_apart(const std::string& argument) {
    const std::size_t dashes = argument.compare(0, 2, "--") == 0 ? 2 : 1;
    const std::size_t equals = argument.find('=');
    written_option out;
    out.name = argument.substr(dashes, equals == std::string::npos ? equals : equals - dashes);
    std::replace(out.name.begin(), out.name.end(), '-', '_');
    if (equals != std::string::npos) {
        out.value = argument.substr(equals + 1);
    }
    const bool negated = !is_known(out.name) && out.name.compare(0, 2, "no") == 0;
    if (negated && is_known(out.name.substr(2))) {
        out.name = out.name.substr(2);
        out.value = "false";
    }
    return out;
}

bool is_switch(const std::string& name) {
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

std::string unknown_option(const std::string& name) {
    const std::string nearest = base::nearest_word(name, all_options);
    return "expected a known option, found --" + name +
           (nearest.empty() ? "; `cranberryctl COMMAND --help` lists them"
                            : "; did you mean --" + nearest + "?");
}

// gflags would end the process on a mistake, with the exit code of a refusal; so its parser gets
// only what it will take. Returns the names of the options that were given.
tl::expected<std::vector<std::string>, std::string> check_options(int argc, char** argv) {
    std::vector<std::string> given;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--") {
            break;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            continue;
        }
        written_option one = take_apart(argument);
        if (!is_known(one.name)) {
            return tl::unexpected(unknown_option(one.name));
        }
        if (!one.value && !is_switch(one.name)) {
            if (++i == argc) {
                return tl::unexpected("expected a value after --" + one.name + ", found none");
            }
            one.value = argv[i];
        }
        const std::string value = one.value.value_or("true");
        if (gflags::SetCommandLineOption(one.name.c_str(), value.c_str()).empty()) {
            return tl::unexpected("expected another kind of value for --" + one.name + ", found '" +
                                  value + "'");
        }
        given.push_back(one.name);
    }
    return given;
}

tl::expected<std::vector<net::endpoint>, std::string> read_entries() {
    std::vector<net::endpoint> out;
    std::istringstream in(FLAGS_entry);
    for (std::string one; std::getline(in, one, ',');) {
        out.push_back(net::parse_endpoint(one));
        if (out.back().port == 0) {
            return tl::unexpected("expected --entry=ADDRESS:PORT[,ADDRESS:PORT...], found '" + one +
                                  "'");
        }
    }
    if (out.empty()) {
        return tl::unexpected(std::string("expected --entry=ADDRESS:PORT, found nothing"));
    }
    return out;
}

tl::expected<std::string, std::string> read_key() {
    if (FLAGS_key_file.empty()) {
        return FLAGS_key;
    }
    std::ifstream in(FLAGS_key_file);
    std::string out;
    if (!(in >> out)) {
        return tl::unexpected("expected a key in the file '" + FLAGS_key_file + "', found none");
    }
    return out;
}

submit_options read_submit() {
    submit_options out;
    out.queue = FLAGS_queue;
    out.kind = FLAGS_kind;
    out.payload = FLAGS_payload;
    out.payload_file = FLAGS_payload_file;
    out.cores = FLAGS_cores;
    out.memory_mib = FLAGS_memory_mib;
    out.accelerators = FLAGS_accelerators;
    out.slots = FLAGS_slots;
    out.tasks = FLAGS_tasks;
    out.gang = FLAGS_gang;
    out.not_repeatable = FLAGS_not_repeatable;
    out.service = FLAGS_service;
    out.deadline_ms = FLAGS_deadline_ms;
    out.expected_ms = FLAGS_expected_ms;
    out.idempotency_key = FLAGS_idempotency_key;
    out.job = FLAGS_job;
    out.wait = FLAGS_wait;
    return out;
}

edit_options read_edit(const std::vector<std::string>& given) {
    const auto was_given = [&](const char* name) {
        return std::find(given.begin(), given.end(), name) != given.end();
    };
    // What was given, also when it is the default's value.
    const auto if_given = [&](const char* name, const auto& flag) {
        using value = std::decay_t<decltype(flag)>;
        return was_given(name) ? std::optional<value>(flag) : std::nullopt;
    };
    edit_options out;
    if (was_given("base") && FLAGS_base >= 0) {
        out.base = FLAGS_base;
    }
    out.team = FLAGS_team;
    out.operations = FLAGS_operations;
    out.home_region = if_given("home_region", FLAGS_home_region);
    out.share = if_given("share", FLAGS_share);
    out.upper_limit = if_given("upper_limit", FLAGS_upper_limit);
    out.policy = if_given("policy", FLAGS_policy);
    out.open = if_given("open", FLAGS_open);
    out.open_team = if_given("open_team", FLAGS_open_team);
    out.max_queued_per_team = if_given("max_queued_per_team", FLAGS_max_queued_per_team);
    out.max_attempts = if_given("max_attempts", FLAGS_max_attempts);
    out.default_deadline_ms = if_given("default_deadline_ms", FLAGS_default_deadline_ms);
    return out;
}

}  // namespace

tl::expected<command_line, std::string> read_command_line(int argc, char** argv) {
    command_line out;
    auto given = check_options(argc, argv);
    if (!given) {
        return tl::unexpected(given.error());
    }
    out.given = *given;
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    out.words.assign(argv + 1, argv + argc);
    out.help = std::find(given->begin(), given->end(), "help") != given->end();
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        return tl::unexpected("expected --output=text or --output=json, found '" + FLAGS_output +
                              "'");
    }
    if (FLAGS_timeout_ms <= 0) {
        return tl::unexpected("expected --timeout_ms above 0, found " +
                              std::to_string(FLAGS_timeout_ms));
    }
    const auto entries = read_entries();
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    const auto key = read_key();
    if (!key) {
        return tl::unexpected(key.error());
    }
    out.settings.connection = {*entries, *key, base::milliseconds(FLAGS_timeout_ms)};
    out.settings.output = FLAGS_output == "json" ? output_format::json : output_format::text;
    out.settings.submit = read_submit();
    out.settings.edit = read_edit(out.given);
    out.settings.listing = {FLAGS_after, FLAGS_limit};
    out.settings.undo = FLAGS_undo;
    return out;
}

std::string describe_option(const std::string& name) {
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
        return "  --" + name;
    }
    const std::string fallback =
        info.default_value.empty() ? "" : " (default " + info.default_value + ")";
    return "  --" + name + ": " + info.description + fallback;
}

const std::vector<std::string>& common_options() {
    static const std::vector<std::string> names = {"entry", "key", "key_file", "output",
                                                   "timeout_ms"};
    return names;
}

}  // namespace cranberrydock::ctl
