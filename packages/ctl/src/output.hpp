// Output of a run: prints results on standard output and everything else on standard error.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/ctl/run.hpp>

#include "api_client.hpp"
#include "options.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cranberrydock::ctl {

using json = nlohmann::json;

// Rows of text in aligned columns; the first row holds the headings.
class text_table {
public:
    explicit text_table(std::vector<std::string> headings) { rows_.push_back(std::move(headings)); }
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

class output {
public:
    explicit output(output_format format) : format_(format) {}

    bool as_json() const { return format_ == output_format::json; }

    // Prints a result in the format of --output: `document` as JSON, or `text`.
    void print_result(const json& document, const std::string& text) const;
    // Prints one line on standard error.
    static void print_note(const std::string& line);

    // The functions below print an error and return its exit code.

    // `hint` is printed when the outcome of the request is unknown.
    exit_code report_failure(const call_failure& failure, const std::string& hint) const;
    // `response` holds a problem document, or any other response that is not the expected one.
    exit_code report_refusal(const net::http_response& response) const;
    static exit_code report_usage_error(const std::string& text);

private:
    output_format format_;
};

// Fields of documents that daemons send. A missing field is read as empty, so that documents of
// another release can still be printed.
std::string text_at(const json& document, const char* field);
std::vector<json> list_at(const json& document, const char* field);

}  // namespace cranberrydock::ctl
