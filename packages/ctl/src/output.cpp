// Output of a run.
#include "output.hpp"

#include <algorithm>
#include <cstdio>

namespace cranberrydock::ctl {
namespace {

constexpr std::size_t column_gap_spaces = 2;

json parse_body(const net::http_response& response) {
    return json::parse(response.body, nullptr, false);
}

std::string findings_text(const json& problem) {
    std::string out;
    for (const auto& it : list_at(problem, "findings")) {
        out += "  " +
               to_string(base::finding{text_at(it, "place"), text_at(it, "expected"),
                                       text_at(it, "found"), text_at(it, "advice")}) +
               "\n";
    }
    return out;
}

std::string refusal_text(const json& problem, const net::http_response& response) {
    const bool not_run = problem.value("not_run", false);
    std::string out = "refused: " + text_at(problem, "reason") + " (HTTP " +
                      std::to_string(response.status) + ", " +
                      (not_run ? "surely not run" : "may have run") + ")\n";
    if (!text_at(problem, "detail").empty()) {
        out += "  " + text_at(problem, "detail") + "\n";
    }
    out += findings_text(problem);
    if (problem.contains("current")) {
        out += "  the newest version is " + text_at(problem, "current") +
               "; look at it with `cranberryctl config get` and send the patch again\n";
    }
    const std::string retry_after = response.header("Retry-After");
    if (!retry_after.empty()) {
        out += "  try again after " + retry_after + " s\n";
    }
    return out;
}

}  // namespace

std::string text_table::text() const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + column_gap_spaces, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

std::string text_at(const json& document, const char* field) {
    if (!document.is_object() || !document.contains(field)) {
        return {};
    }
    const json& value = document[field];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<json> list_at(const json& document, const char* field) {
    if (!document.is_object() || !document.contains(field) || !document[field].is_array()) {
        return {};
    }
    return document[field].get<std::vector<json>>();
}

void output::print_result(const json& document, const std::string& text) const {
    const std::string out = as_json() ? document.dump(2) + "\n" : text;
    std::fwrite(out.data(), 1, out.size(), stdout);
    std::fflush(stdout);
}

void output::print_note(const std::string& line) {
    std::fprintf(stderr, "%s\n", line.c_str());
}

exit_code output::report_failure(const call_failure& failure, const std::string& hint) const {
    const bool unknown = failure.code == exit_code::outcome_unknown;
    const std::string headline = unknown
                                     ? "outcome unknown: expected an answer, found none"
                                     : "unreachable: expected an entry that answers, found none";
    if (as_json()) {
        print_result({{"reason", unknown ? "outcome_unknown" : "unreachable"},
                      {"not_run", !unknown},
                      {"detail", failure.text}},
                     "");
    }
    std::fprintf(stderr, "%s\n%s", headline.c_str(), failure.text.c_str());
    print_note(unknown ? hint : "check --entry and that a daemon listens there");
    return failure.code;
}

exit_code output::report_refusal(const net::http_response& response) const {
    const json problem = parse_body(response);
    if (!problem.is_object() || !problem.contains("reason")) {
        std::fprintf(stderr,
                     "expected an answer of docs/API.md, found HTTP %d that is none; check that "
                     "--entry names a cranberrydock daemon\n",
                     response.status);
        return exit_code::outcome_unknown;
    }
    if (as_json()) {
        print_result(problem, "");
    } else {
        std::fprintf(stderr, "%s", refusal_text(problem, response).c_str());
    }
    return text_at(problem, "reason") == "outcome_unknown" ? exit_code::outcome_unknown
                                                           : exit_code::refused;
}

exit_code output::report_usage_error(const std::string& text) {
    print_note("cranberryctl: " + text);
    return exit_code::usage;
}

}  // namespace cranberrydock::ctl
