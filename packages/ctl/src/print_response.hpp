// A helper for commands that make one call and print its response.
#pragma once

#include "command.hpp"

#include <string>

namespace cranberrydock::ctl {

// Formats a document for --output=text.
using text_formatter = std::string (*)(const json& document);

// Sends `request` and prints the response as formatted by `format`, or as JSON with --output=json.
exit_code print_response(const api_request& request, text_formatter format,
                         const command_context& context);

}  // namespace cranberrydock::ctl
