// Selects the command that the command line names, checks its options and arguments, and runs it.
#include "command.hpp"

#include <cstdio>

namespace cranberrydock::ctl {
namespace {

using command_table = std::vector<command_ptr>;

command_table all_commands() {
    command_table out;
    out.push_back(make_submit());
    out.push_back(make_job());
    out.push_back(make_jobs());
    out.push_back(make_cancel());
    out.push_back(make_explain());
    out.push_back(make_config_get());
    out.push_back(make_config_patch());
    out.push_back(make_config_diff());
    out.push_back(make_config_history());
    out.push_back(make_key_create());
    out.push_back(make_key_withdraw());
    out.push_back(make_team_set());
    out.push_back(make_team_list());
    out.push_back(make_queue_set());
    out.push_back(make_queue_list());
    out.push_back(make_cells());
    out.push_back(make_vms());
    out.push_back(make_drain());
    out.push_back(make_promises());
    out.push_back(make_check_settings());
    return out;
}

constexpr const char* exit_codes =
    "exit codes: 0 ok; 1 refused; 2 wrong usage; 3 no entry reached, nothing changed; "
    "4 outcome unknown\n";

void print_overview(const command_table& commands) {
    text_table table({"command", ""});
    for (const auto& it : commands) {
        const auto description = it->describe();
        table.add(
            {description.name + (description.arguments.empty() ? "" : " ") + description.arguments,
             description.summary});
    }
    std::printf("cranberryctl COMMAND [ARGUMENTS] [--OPTIONS]\n\n%s\n", table.text().c_str());
    for (const auto& it : common_options()) {
        std::printf("%s\n", describe_option(it).c_str());
    }
    std::printf("\n`cranberryctl COMMAND --help` describes a command and its options.\n%s",
                exit_codes);
}

void print_help(const command_description& description) {
    std::printf("cranberryctl %s %s\n  %s\n\n", description.name.c_str(),
                description.arguments.c_str(), description.summary.c_str());
    for (const auto* const names : {&description.options, &common_options()}) {
        for (const auto& it : *names) {
            std::printf("%s\n", describe_option(it).c_str());
        }
    }
    std::printf("\n%s", exit_codes);
}

// Finds the command that the words begin with. Returns null when there is none.
const command* find_command(const command_table& commands, const std::vector<std::string>& words) {
    for (const auto& it : commands) {
        const std::string name = it->describe().name;
        const bool two_words = words.size() > 1 && name == words[0] + " " + words[1];
        if (name == words[0] || two_words) {
            return it.get();
        }
    }
    return nullptr;
}

std::string unknown_command(const command_table& commands, const std::vector<std::string>& words) {
    std::string typed = words[0];
    std::vector<std::string> command_names;
    for (const auto& it : commands) {
        const std::string name = it->describe().name;
        command_names.push_back(name);
        if (name.compare(0, words[0].size() + 1, words[0] + " ") == 0 && words.size() > 1) {
            typed = words[0] + " " + words[1];
        }
    }
    std::string nearest = base::closest_match(typed, command_names);
    if (nearest.empty() && words.size() > 1) {
        nearest = base::closest_match(words[0] + " " + words[1], command_names);
    }
    return "expected a command, found '" + typed +
           (nearest.empty() ? "'; `cranberryctl --help` lists them"
                            : "'; did you mean '" + nearest + "'?");
}

// Returns why the command can't run with the given options and number of arguments; empty when it
// can.
std::string check_usage(const command_description& description, const command_line& line,
                        std::size_t arguments) {
    for (const auto& it : line.given_options) {
        std::vector<std::string> accepted_options = description.options;
        accepted_options.insert(accepted_options.end(), common_options().begin(),
                                common_options().end());
        bool known = false;
        for (const auto& name : accepted_options) {
            known = known || name == it;
        }
        if (!known) {
            return "expected an option that '" + description.name + "' takes, found --" + it +
                   "; `cranberryctl " + description.name + " --help` lists them";
        }
    }
    if (arguments < description.min_arguments || arguments > description.max_arguments) {
        return "expected `cranberryctl " + description.name +
               (description.arguments.empty() ? "" : " " + description.arguments) + "`, found " +
               std::to_string(arguments) + " argument(s)";
    }
    return {};
}

exit_code run_command(const command& chosen, const command_line& line) {
    const command_description description = chosen.describe();
    const bool two_words = description.name.find(' ') != std::string::npos;
    const std::vector<std::string> arguments(line.words.begin() + (two_words ? 2 : 1),
                                             line.words.end());
    if (line.help) {
        print_help(description);
        return exit_code::ok;
    }
    const std::string usage_error = check_usage(description, line, arguments.size());
    if (!usage_error.empty()) {
        return output::report_usage_error(usage_error);
    }
    api_client api(line.settings.connection);
    const output out(line.settings.output);
    return chosen.run(arguments, {line.settings, api, out});
}

}  // namespace

exit_code run(int argc, char** argv) {
    const auto line = read_command_line(argc, argv);
    if (!line) {
        return output::report_usage_error(line.error());
    }
    const command_table commands = all_commands();
    if (line->words.empty()) {
        print_overview(commands);
        return line->help ? exit_code::ok : exit_code::usage;
    }
    const command* const chosen = find_command(commands, line->words);
    if (chosen == nullptr) {
        return output::report_usage_error(unknown_command(commands, line->words));
    }
    return run_command(*chosen, *line);
}

}  // namespace cranberrydock::ctl
