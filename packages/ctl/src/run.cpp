// Finds the command that was meant, checks its options and arguments, and runs it.
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
        const auto about = it->describe();
        table.add(
            {about.name + (about.arguments.empty() ? "" : " ") + about.arguments, about.summary});
    }
    std::printf("cranberryctl COMMAND [ARGUMENTS] [--OPTIONS]\n\n%s\n", table.text().c_str());
    for (const auto& it : common_options()) {
        std::printf("%s\n", describe_option(it).c_str());
    }
    std::printf("\n`cranberryctl COMMAND --help` tells more of each.\n%s", exit_codes);
}

void print_help(const command_description& about) {
    std::printf("cranberryctl %s %s\n  %s\n\n", about.name.c_str(), about.arguments.c_str(),
                about.summary.c_str());
    for (const auto* const names : {&about.options, &common_options()}) {
        for (const auto& it : *names) {
            std::printf("%s\n", describe_option(it).c_str());
        }
    }
    std::printf("\n%s", exit_codes);
}

// The command that the words begin with; null when there is none.
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
    std::string text = words[0];
    std::vector<std::string> known;
    for (const auto& it : commands) {
        const std::string name = it->describe().name;
        known.push_back(name);
        if (name.compare(0, words[0].size() + 1, words[0] + " ") == 0 && words.size() > 1) {
            text = words[0] + " " + words[1];
        }
    }
    std::string nearest = base::nearest_word(text, known);
    if (nearest.empty() && words.size() > 1) {
        nearest = base::nearest_word(words[0] + " " + words[1], known);
    }
    return "expected a command, found '" + text +
           (nearest.empty() ? "'; `cranberryctl --help` lists them"
                            : "'; did you mean '" + nearest + "'?");
}

// Why the command can't be run with what was given; empty when it can.
std::string check_usage(const command_description& about, const command_line& line,
                        std::size_t arguments) {
    for (const auto& it : line.given) {
        std::vector<std::string> taken = about.options;
        taken.insert(taken.end(), common_options().begin(), common_options().end());
        bool known = false;
        for (const auto& name : taken) {
            known = known || name == it;
        }
        if (!known) {
            return "expected an option that '" + about.name + "' takes, found --" + it +
                   "; `cranberryctl " + about.name + " --help` lists them";
        }
    }
    if (arguments < about.fewest || arguments > about.most) {
        return "expected `cranberryctl " + about.name +
               (about.arguments.empty() ? "" : " " + about.arguments) + "`, found " +
               std::to_string(arguments) + " argument(s)";
    }
    return {};
}

exit_code run_command(const command& chosen, const command_line& line) {
    const command_description about = chosen.describe();
    const bool two_words = about.name.find(' ') != std::string::npos;
    const std::vector<std::string> arguments(line.words.begin() + (two_words ? 2 : 1),
                                             line.words.end());
    if (line.help) {
        print_help(about);
        return exit_code::ok;
    }
    const std::string wrong = check_usage(about, line, arguments.size());
    if (!wrong.empty()) {
        return output::wrong_usage(wrong);
    }
    api_client api(line.settings.connection);
    const output out(line.settings.output);
    return chosen.run(arguments, {line.settings, api, out});
}

}  // namespace

exit_code run(int argc, char** argv) {
    const auto line = read_command_line(argc, argv);
    if (!line) {
        return output::wrong_usage(line.error());
    }
    const command_table commands = all_commands();
    if (line->words.empty()) {
        print_overview(commands);
        return line->help ? exit_code::ok : exit_code::usage;
    }
    const command* const chosen = find_command(commands, line->words);
    if (chosen == nullptr) {
        return output::wrong_usage(unknown_command(commands, line->words));
    }
    return run_command(*chosen, *line);
}

}  // namespace cranberrydock::ctl
