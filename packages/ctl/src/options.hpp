// The command line: options by gflags, then the command's words.
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

// How to reach the cluster, and as whom.
struct connection_options {
    std::vector<net::endpoint> entries;  // asked in this order
    std::string key;                     // bearer token "ID.SECRET"; may be empty
    base::milliseconds timeout{0};       // of one call to one entry
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
    std::string idempotency_key;   // empty: one is made
    bool job = false;
    bool wait = false;
};

// Changes of the configuration; what was not given stays as it is.
struct edit_options {
    std::optional<std::int64_t> base;
    std::string team;  // of a new key
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
    std::vector<std::string> given;  // the options that were given
    bool help = false;
};

// Reads the command line; the error says what was expected, what was found and what to do.
tl::expected<command_line, std::string> read_command_line(int argc, char** argv);

// One line of help for an option.
std::string describe_option(const std::string& name);

// Options that every command takes.
const std::vector<std::string>& common_options();

}  // namespace cranberrydock::ctl
