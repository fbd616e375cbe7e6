// Structured logging through spdlog: one line of key=value pairs per event.
#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace cranberrydock::base {

// Sets up the process's logger, which writes to standard error. `level` is one of trace, debug,
// info, warn and error. Each line contains `process_name` as `who`.
void init_log(const std::string& process_name, const std::string& level);

// Sets up the process's logger to write to standard output from a thread of its own, so that
// logging never blocks the caller. When lines arrive faster than they can be written, the oldest
// ones are dropped and counted.
void init_async_log(const std::string& process_name, const std::string& level);

// The number of lines that the background logger has dropped; 0 without a background logger.
std::size_t dropped_log_lines();

}  // namespace cranberrydock::base
