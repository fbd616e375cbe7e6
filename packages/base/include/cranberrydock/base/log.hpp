// Structured logs: one line an event, key=value, through spdlog.
#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace cranberrydock::base {

// Sets the process's log: level is one of trace, debug, info, warn, error; `who` stands in each
// line.
void start_log(const std::string& who, const std::string& level);

}  // namespace cranberrydock::base
