// The command line: the options, which gflags parses, and the words of the command.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::ctl {

enum class output_format { text, json };

// The entries of the cluster and the caller's credentials.
struct connection_options {
    std::vector<net::endpoint> entries;  // tried in this order
    std::string key;                     // bearer token "ID.SECRET"; empty: no key
    base::milliseconds timeout{0};       // for one call to one entry
};

struct submit_options {
    std::string queue;
    std::string kind;
    std::string payload;
    std::string payload_file;
    double cores = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;
    std::int64_t tasks = 0;
    bool gang = false;
    bool not_repeatable = false;
    bool service = false;
    std::int64_t deadline_ms = 0;  // 0: none
    std::int64_t expected_ms = 0;  // 0: none
    std::string idempotency_key;   // empty: one is generated
    bool job = false;
    bool wait = false;
};

// Changes to the configuration. Fields whose option was not given stay unchanged.
struct edit_options {
    std::optional<std::int64_t> base;
    std::string team;  // for a new key
    bool operations = false;
    std::optional<std::string> home_region;
    std::optional<double> share;
    std::optional<std::int64_t> upper_limit;
    std::optional<std::string> policy;
    std::optional<bool> open;
    std::optional<std::string> open_team;
    std::optional<std::int64_t> max_queued_per_team;
    std::optional<std::int64_t> max_attempts;
    std::optional<std::int64_t> default_deadline_ms;
};

struct listing_options {
    std::string after;
    std::int64_t limit = 0;
};

struct options {
    connection_options connection;
    output_format output = output_format::text;
    submit_options submit;
    edit_options edit;
    listing_options listing;
    bool undo = false;
};

struct command_line {
    options settings;
    std::vector<std::string> words;  // the command and its arguments
    std::vector<std::string> given_options;
    bool help = false;
};

// Parses the command line. The error names what was expected and what was found.
tl::expected<command_line, std::string> read_command_line(int argc, char** argv);

// One line of help text for an option.
std::string describe_option(const std::string& name);

// Options that every command takes.
const std::vector<std::string>& common_options();

}  // namespace cranberrydock::ctl
