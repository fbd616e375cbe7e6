// The program cranberryctl: one command a run, spoken to any entry over HTTP (docs/API.md).
#pragma once

namespace cranberrydock::ctl {

// What a run ends with; scripts may rely on the numbers.
enum class exit_code {
    ok = 0,
    refused = 1,          // understood and refused, or the checked file has faults
    usage = 2,            // the command line is wrong; nothing was sent
    unreachable = 3,      // no entry could be asked; nothing was changed
    outcome_unknown = 4,  // sent, and it may or may not have taken effect
};

exit_code run(int argc, char** argv);

}  // namespace cranberrydock::ctl
