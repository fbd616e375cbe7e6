// The program cranberryctl: each run executes one command over the HTTP API of any entry
// (docs/API.md).
#pragma once

namespace cranberrydock::ctl {

// The exit status of the process. Scripts may rely on the numbers.
enum class exit_code {
    ok = 0,
    refused = 1,          // the request was refused, or the checked file has faults
    usage = 2,            // the command line is invalid; nothing was sent
    unreachable = 3,      // no entry could be reached; nothing was changed
    outcome_unknown = 4,  // the request was sent and may have taken effect
};

// Parses the command line, runs the command and prints its result.
exit_code run(int argc, char** argv);

}  // namespace cranberrydock::ctl
