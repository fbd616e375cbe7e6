// Defines the options for gflags and copies their values into plain structures.
#include "options.hpp"

#include <cranberrydock/base/finding.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <type_traits>

DEFINE_string(entry, "127.0.0.1:8080",
              "ADDRESS:PORT of an entry, or of several entries, separated by commas, that are "
              "tried in turn until one answers");
DEFINE_string(key, "", "the key to authenticate with, ID.SECRET");
DEFINE_string(key_file, "",
              "a file with the key, so that the key does not appear in process lists");
DEFINE_string(output, "text", "text or json");
DEFINE_int64(timeout_ms, 60'000, "time that one entry has to answer, milliseconds");

DEFINE_string(queue, "", "the queue to submit to");
DEFINE_string(kind, "default",
              "the request kind; task sizes and run times are learnt for each kind");
DEFINE_string(payload, "", "the input of each task");
DEFINE_string(payload_file, "", "a file with the input of each task; - reads standard input");
DEFINE_double(cores, 0, "processor cores for each task");
DEFINE_int64(memory_mib, 0, "memory for each task, MiB");
DEFINE_int64(accelerators, 0, "accelerators for each task");
DEFINE_int64(slots, 1, "slots for each task");
DEFINE_int64(tasks, 1, "number of tasks");
DEFINE_bool(gang, false, "start all tasks at the same time or none of them");
DEFINE_bool(not_repeatable, false, "run at most once, even if the outcome stays unknown");
DEFINE_bool(service, false, "run until cancelled");
DEFINE_int64(deadline_ms, 0,
             "time after which the answer is of no use, milliseconds from acceptance; "
             "0: the queue's default");
DEFINE_int64(expected_ms, 0, "expected run time, milliseconds; 0: unknown");
DEFINE_string(idempotency_key, "",
              "identifies this work, so that sending it again does not run it "
              "again; generated when not given");
DEFINE_bool(job, false, "return once the work is accepted durably; query the job for the answer");
DEFINE_bool(wait, false, "with --job: wait until the job has ended");

DEFINE_int64(base, -1, "the version that the change is based on; -1: the newest");
DEFINE_string(team, "", "the team that the new key submits for");
DEFINE_bool(operations, false, "create an operator's key");
DEFINE_string(home_region, "", "the region whose cells hold the team's queues");
DEFINE_double(share, 1, "the team's weight when the fleet is full");
DEFINE_int64(upper_limit, 0, "the maximum number of slots that the team may use, fleet-wide");
DEFINE_string(policy, "batch", "latency, must_finish, batch, gang or service");
DEFINE_bool(open, false, "accept work without a key");
DEFINE_string(open_team, "", "the team that work without a key is counted for");
DEFINE_int64(max_queued_per_team, 10'000,
             "maximum number of tasks of a team that may wait in the queue");
DEFINE_int64(max_attempts, 5, "attempts for each task before it fails");
DEFINE_int64(default_deadline_ms, 0, "deadline of work that has none of its own, milliseconds");

DEFINE_string(after, "", "list the items that follow this one");
DEFINE_int64(limit, 50, "list at most this many items");
DEFINE_bool(undo, false, "put the VM back into use");

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

// An option as written on the command line, before gflags parses it.
struct written_option {
    std::string name;  // with underscores, without a leading "no"
    std::optional<std::string> value;
};

bool is_known(const std::string& name) {
    return std::find(all_options.begin(), all_options.end(), name) != all_options.end();
}

written_option parse_option(const std::string& argument) {
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

bool is_boolean(const std::string& name) {
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

std::string unknown_option_error(const std::string& name) {
    const std::string nearest = base::closest_match(name, all_options);
    return "expected a known option, found --" + name +
           (nearest.empty() ? "; `cranberryctl COMMAND --help` lists them"
                            : "; did you mean --" + nearest + "?");
}

// Checks and sets the options before gflags parses them, since gflags ends the process on an
// invalid option, with the exit code of a refusal. Returns the names of the options that were
// given.
tl::expected<std::vector<std::string>, std::string> check_and_set_options(int argc, char** argv) {
    std::vector<std::string> given;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--") {
            break;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            continue;
        }
        written_option option = parse_option(argument);
        if (!is_known(option.name)) {
            return tl::unexpected(unknown_option_error(option.name));
        }
        if (!option.value && !is_boolean(option.name)) {
            if (++i == argc) {
                return tl::unexpected("expected a value after --" + option.name + ", found none");
            }
            option.value = argv[i];
        }
        const std::string value = option.value.value_or("true");
        if (gflags::SetCommandLineOption(option.name.c_str(), value.c_str()).empty()) {
            return tl::unexpected("expected another kind of value for --" + option.name +
                                  ", found '" + value + "'");
        }
        given.push_back(option.name);
    }
    return given;
}

tl::expected<std::vector<net::endpoint>, std::string> read_entries() {
    std::vector<net::endpoint> out;
    std::istringstream in(FLAGS_entry);
    for (std::string address; std::getline(in, address, ',');) {
        out.push_back(net::parse_endpoint(address));
        if (out.back().port == 0) {
            return tl::unexpected("expected --entry=ADDRESS:PORT[,ADDRESS:PORT...], found '" +
                                  address + "'");
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
    // The value of a given option, even if it is the default value.
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
    auto given = check_and_set_options(argc, argv);
    if (!given) {
        return tl::unexpected(given.error());
    }
    out.given_options = *given;
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
    out.settings.edit = read_edit(out.given_options);
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
