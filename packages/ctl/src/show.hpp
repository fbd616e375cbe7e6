// Commands that ask one thing and show it.
#pragma once

#include "command.hpp"

#include <string>

namespace cranberrydock::ctl {

// Turns a document into text for people.
using text_maker = std::string (*)(const json& document);

// Sends `request`; prints the answer, as `text` makes it unless JSON was asked for.
exit_code show(const api_request& request, text_maker text, const command_context& context);

}  // namespace cranberrydock::ctl
