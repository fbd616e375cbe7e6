// What a run prints: results on standard output, all else on standard error.
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

// Rows of text in aligned columns, the first of them the headings.
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

    // A result, in the format that was asked for.
    void result(const json& document, const std::string& text) const;
    // One line for people.
    static void note(const std::string& line);

    // Says what went wrong and returns the exit code that goes with it.
    exit_code failed(const call_failure& failure, const std::string& advice) const;
    // `response` is a problem document, or something that is none.
    exit_code refused(const net::http_response& response) const;
    static exit_code wrong_usage(const std::string& text);

private:
    output_format format_;
};

// The fields of documents that daemons send; missing ones are empty, so that another release's
// documents can still be shown.
std::string text_at(const json& document, const char* field);
std::vector<json> list_at(const json& document, const char* field);

}  // namespace cranberrydock::ctl
