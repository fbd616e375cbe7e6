// Reads JSON field by field and turns every fault into a finding with its JSON pointer, so that a
// document is reported on as a whole.
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

// Larger or deeper documents are refused before they are worked on.
constexpr std::size_t max_document_bytes = 4 * 1024 * 1024;
constexpr int max_document_depth = 16;

// Parses `text`. Malformed JSON, a field that stands twice, and too deep or too large text are
// findings; `what` ("document", "patch") names the text in their places.
tl::expected<json, base::findings> parse_json(const std::string& text, const std::string& what);

// The JSON pointer of `name` below `pointer`.
std::string pointer_below(const std::string& pointer, const std::string& name);

// A value in words short enough for a message.
std::string describe(const json& value);

// Advice that names the word which was probably meant; empty when none is near.
std::string did_you_mean(std::string_view word, const std::vector<std::string>& known);

// Names are 1 to 64 of the letters, digits, '-', '_' and '.': they stand in row keys and paths.
bool is_name(const std::string& text);
extern const char* const name_rule;

// A range of whole numbers, both ends included.
struct whole_range {
    std::int64_t lowest;
    std::int64_t highest;
};

// Reads one object. Each getter notes its field as known; the destructor doesn't report, call
// refuse_unknown_fields() when all fields have been asked for.
class object_reader {
public:
    // `value` need not be an object: then that is a finding and every field counts as absent,
    // without further findings.
    object_reader(const json& value, std::string pointer, base::findings& found);

    bool usable() const { return object_ != nullptr; }
    const std::string& pointer() const { return pointer_; }
    std::string pointer_to(const std::string& field) const;

    // Whether the field is there, of whatever type.
    bool has(const std::string& field) const;

    // Each returns nothing when the field is absent or faulty; faulty ones are findings.
    std::optional<std::string> text(const std::string& field);
    std::optional<std::string> name(const std::string& field);
    std::optional<std::string> hexadecimal(const std::string& field, std::size_t digits);
    std::optional<std::string> word(const std::string& field,
                                    const std::vector<std::string>& known);
    std::optional<bool> flag(const std::string& field);
    std::optional<std::int64_t> whole(const std::string& field, const whole_range& range);
    std::optional<double> positive(const std::string& field, double highest);
    std::vector<std::string> names(const std::string& field);
    const json* member(const std::string& field);  // null when absent

    // A finding unless the field is there.
    void require(const std::string& field, const std::string& expected);

    void refuse_unknown_fields();

private:
    const json* find(const std::string& field);
    void complain(const std::string& field, std::string expected, std::string found,
                  std::string advice = {});

    const json* object_ = nullptr;  // null when the value is no object
    std::string pointer_;
    base::findings& findings_;
    std::vector<std::string> known_;  // every field that was asked for
};

}  // namespace cranberrydock::config::detail
