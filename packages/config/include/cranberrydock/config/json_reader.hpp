// Reads JSON field by field and records every fault as a finding with its JSON pointer, so that all
// faults of a document are reported together.
#pragma once

#include <cranberrydock/base/finding.hpp>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::config::detail {

using json = nlohmann::json;

// Larger or more deeply nested documents are rejected while parsing.
constexpr std::size_t max_document_bytes = 4 * 1024 * 1024;
constexpr int max_document_depth = 16;

// Parses `text`. Malformed JSON, duplicate fields, and text above the limits of size or depth give
// findings, whose places begin with `source_name` ("document", "patch").
tl::expected<json, base::findings> parse_json(const std::string& text,
                                              const std::string& source_name);

// The JSON pointer of the member `name` of the value at `pointer`.
std::string pointer_below(const std::string& pointer, const std::string& name);

// Describes a value for a message. Long values are truncated; objects and arrays give only their
// type.
std::string describe(const json& value);

// A hint such as `did you mean "x"?` with the known word closest to `word`; empty when no known
// word is similar.
std::string spelling_hint(std::string_view word, const std::vector<std::string>& known);

// Names have 1 to 64 characters out of letters, digits, '-', '_' and '.', since they are used in
// row keys and paths. `name_rule` states this rule for messages.
bool is_name(const std::string& text);
extern const char* const name_rule;

// A range of integers, both ends included.
struct integer_range {
    std::int64_t lowest;
    std::int64_t highest;
};

// Reads one JSON object. Each getter records its field as known. Call report_unknown_fields() after
// all fields have been read; the destructor doesn't do it.
class object_reader {
public:
    // `value` and `found` must outlive the reader. If `value` is not an object, one finding is
    // added and all fields count as absent, without further findings.
    object_reader(const json& value, std::string pointer, base::findings& found);

    // False when the value is not an object.
    bool usable() const { return object_ != nullptr; }
    const std::string& pointer() const { return pointer_; }
    std::string pointer_to(const std::string& field) const;

    // Returns true if the field is present, whatever its type. Doesn't record the field as known.
    bool has(const std::string& field) const;

    // Each getter returns nullopt when the field is absent or faulty, and adds a finding when it is
    // faulty. names() returns the valid names of the array, and adds a finding for each other
    // element.
    std::optional<std::string> text(const std::string& field);
    std::optional<std::string> name(const std::string& field);
    std::optional<std::string> hexadecimal(const std::string& field, std::size_t digits);
    std::optional<std::string> choice(const std::string& field,
                                      const std::vector<std::string>& known);
    std::optional<bool> boolean(const std::string& field);
    std::optional<std::int64_t> integer(const std::string& field, const integer_range& range);
    std::optional<double> positive_number(const std::string& field, double highest);
    std::vector<std::string> names(const std::string& field);
    const json* member(const std::string& field);  // null when absent

    // Adds a finding if the field is absent; `expected` describes the missing value.
    void require(const std::string& field, const std::string& expected);

    // Adds a finding for each field that no getter has read.
    void report_unknown_fields();

private:
    const json* find(const std::string& field);
    void add_finding(const std::string& field, std::string expected, std::string found,
                     std::string advice = {});

    const json* object_ = nullptr;  // null when the value is not an object
    std::string pointer_;
    base::findings& findings_;
    std::vector<std::string> known_;  // all fields that getters have read
};

}  // namespace cranberrydock::config::detail
