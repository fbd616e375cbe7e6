// The behavior of a task on a simulated VM, read from the task's payload.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <optional>
#include <string>

namespace cranberrydock::standins {

// Payload, JSON, every field optional:
//   {"for_ms":20, "answer":"text", "answer_bytes":1000, "fail":"message",
//    "uses_memory_mib":512, "uses_millicores":1000, "mark":"mosaic-7"}
// With a for_ms of -1 the task runs until it is stopped. Any other payload is returned as the
// answer.
struct simulated_work {
    std::optional<base::milliseconds> run_time;  // empty: until the task is stopped
    bool fails = false;
    std::string answer;  // the failure's message if `fails`
    std::optional<base::mebibytes> memory_usage;
    std::optional<base::millicores> cores_usage;
    std::string mark;
};

// Never fails: a missing field or one of another type has its default.
simulated_work parse_work(const std::string& payload);

}  // namespace cranberrydock::standins
