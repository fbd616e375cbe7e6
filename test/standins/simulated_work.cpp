// Reads the behavior of a task from its payload.
#include "simulated_work.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr base::milliseconds default_run_time{5};

std::int64_t number(const json& in, const char* name, std::int64_t default_value) {
    const auto it = in.find(name);
    return it != in.end() && it->is_number_integer() ? it->get<std::int64_t>() : default_value;
}

std::string text(const json& in, const char* name, const std::string& default_value) {
    const auto it = in.find(name);
    return it != in.end() && it->is_string() ? it->get<std::string>() : default_value;
}

// Extends the answer to `size` bytes with a pattern that shows missing or swapped pieces.
void pad(std::string& answer, std::size_t size) {
    for (std::size_t i = 0; answer.size() < size; ++i) {
        answer += std::to_string(i) + ",";
    }
    answer.resize(size);
}

}  // namespace

simulated_work parse_work(const std::string& payload) {
    simulated_work out;
    out.run_time = default_run_time;
    out.answer = payload;
    const json in = json::parse(payload, nullptr, false);
    if (!in.is_object()) {
        return out;
    }
    const std::int64_t ms = number(in, "for_ms", default_run_time.count());
    out.run_time = ms < 0 ? std::nullopt : std::optional(base::milliseconds{ms});
    out.answer = text(in, "answer", payload);
    if (const auto size = number(in, "answer_bytes", 0); size > 0) {
        pad(out.answer, static_cast<std::size_t>(size));
    }
    if (in.contains("fail")) {
        out.fails = true;
        out.answer = text(in, "fail", "failed as asked");
    }
    if (in.contains("uses_memory_mib")) {
        out.memory_usage = base::mebibytes(number(in, "uses_memory_mib", 0));
    }
    if (in.contains("uses_millicores")) {
        out.cores_usage = base::millicores(number(in, "uses_millicores", 0));
    }
    out.mark = text(in, "mark", "");
    return out;
}

}  // namespace cranberrydock::standins
