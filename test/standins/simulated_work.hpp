// What a task does on a simulated VM, as its payload says.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <optional>
#include <string>

namespace cranberrydock::standins {

// Payload, JSON, every field optional:
//   {"for_ms":20, "answer":"text", "answer_bytes":1000, "fail":"message",
//    "uses_memory_mib":512, "uses_millicores":1000, "mark":"mosaic-7"}
// for_ms -1 runs until it is stopped. A payload of any other form is answered with itself.
struct simulated_work {
    std::optional<base::milliseconds> runs_for;  // nothing: until it is stopped
    bool fails = false;
    std::string answer;  // or the failure's message
    std::optional<base::mebibytes> memory;
    std::optional<base::millicores> cores;
    std::string mark;
};

simulated_work read_work(const std::string& payload);

}  // namespace cranberrydock::standins
