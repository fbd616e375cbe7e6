// Reads JSON values and checks their types and ranges.
#include <cranberrydock/config/json_reader.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace cranberrydock::config::detail {
namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_described_length = 60;

bool is_one_of(char c, std::string_view set) {
    return set.find(c) != std::string_view::npos;
}

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           is_one_of(c, "-_.");
}

// "LINE:COLUMN" of a byte of `text`; `byte` counts from 1, as in json::parse_error.
std::string line_and_column(const std::string& text, std::size_t byte) {
    const std::size_t end = std::min(byte == 0 ? 0 : byte - 1, text.size());
    const auto begin = text.begin();
    const auto stop = begin + static_cast<std::ptrdiff_t>(end);
    const auto line = 1 + std::count(begin, stop, '\n');
    const auto newline = text.rfind('\n', end == 0 ? 0 : end - 1);
    const std::size_t column =
        newline == std::string::npos || newline >= end ? end + 1 : end - newline;
    return std::to_string(line) + ":" + std::to_string(column);
}

// Parser callback that finds faults which the parsed value no longer shows: duplicate fields, of
// which the parser keeps only the last, and nesting above max_document_depth.
class parse_checker {
public:
    parse_checker(std::string source_name, base::findings& found)
        : source_name_(std::move(source_name)), findings_(found) {}

    // Called for each parse event. Returning false makes the parser discard the value.
    bool operator()(int depth, json::parse_event_t event, const json& parsed) {
        if (depth > max_document_depth) {
            report_excess_depth();
            return false;
        }
        switch (event) {
            case json::parse_event_t::object_start:
                seen_.emplace_back();
                break;
            case json::parse_event_t::object_end:
                seen_.pop_back();
                break;
            case json::parse_event_t::key:
                record_field(parsed.get<std::string>());
                break;
            default:
                break;
        }
        return true;
    }

private:
    void report_excess_depth() {
        if (!std::exchange(too_deep_, true)) {
            findings_.add({source_name_,
                           "at most " + std::to_string(max_document_depth) + " levels",
                           "a deeper one", "take the nesting out"});
        }
    }

    void record_field(const std::string& field) {
        if (!seen_.empty() && !seen_.back().insert(field).second) {
            findings_.add({source_name_, "each field once in its object",
                           "\"" + field + "\" twice in one object", "take one of the two out"});
        }
    }

    std::string source_name_;
    base::findings& findings_;
    std::vector<std::set<std::string>> seen_;  // the fields of each open object
    bool too_deep_ = false;
};

}  // namespace

const char* const name_rule = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

tl::expected<json, base::findings> parse_json(const std::string& text,
                                              const std::string& source_name) {
    base::findings found;
    if (text.size() > max_document_bytes) {
        found.add({source_name, "at most " + std::to_string(max_document_bytes) + " bytes",
                   std::to_string(text.size()) + " bytes", "remove unused entries"});
        return tl::unexpected(std::move(found));
    }
    json value;
    try {
        parse_checker checker(source_name, found);
        value = json::parse(text, [&](int depth, json::parse_event_t event, json& parsed) {
            return checker(depth, event, parsed);
        });
    } catch (const json::parse_error& e) {
        found.add({source_name + ":" + line_and_column(text, e.byte), "JSON (RFC 8259)", e.what(),
                   "correct the syntax at this line and column"});
    } catch (const json::out_of_range& e) {
        found.add({source_name, "numbers within the range of a double", e.what(), ""});
    }
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    return value;
}

std::string pointer_below(const std::string& pointer, const std::string& name) {
    return (json::json_pointer(pointer) / name).to_string();
}

std::string describe(const json& value) {
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    std::string text = value.dump(-1, ' ', true);
    if (text.size() > max_described_length) {
        text = text.substr(0, max_described_length) + "...";
    }
    return text;
}

std::string spelling_hint(std::string_view word, const std::vector<std::string>& known) {
    const std::string nearest = base::closest_match(word, known);
    return nearest.empty() ? "" : "did you mean \"" + nearest + "\"?";
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

object_reader::object_reader(const json& value, std::string pointer, base::findings& found)
    : pointer_(std::move(pointer)), findings_(found) {
    if (value.is_object()) {
        object_ = &value;
        return;
    }
    findings_.add({pointer_.empty() ? "/" : pointer_, "an object", describe(value), ""});
}

std::string object_reader::pointer_to(const std::string& field) const {
    return pointer_below(pointer_, field);
}

bool object_reader::has(const std::string& field) const {
    return usable() && object_->contains(field);
}

const json* object_reader::find(const std::string& field) {
    known_.push_back(field);
    if (!usable()) {
        return nullptr;
    }
    const auto it = object_->find(field);
    return it == object_->end() ? nullptr : &*it;
}

void object_reader::add_finding(const std::string& field, std::string expected, std::string found,
                                std::string advice) {
    findings_.add({pointer_to(field), std::move(expected), std::move(found), std::move(advice)});
}

std::optional<std::string> object_reader::text(const std::string& field) {
    const json* const value = find(field);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        add_finding(field, "a string", describe(*value));
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::string> object_reader::name(const std::string& field) {
    auto value = text(field);
    if (value && !is_name(*value)) {
        add_finding(field, name_rule, describe(*value));
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> object_reader::hexadecimal(const std::string& field,
                                                      std::size_t digits) {
    auto value = text(field);
    if (!value) {
        return std::nullopt;
    }
    const bool all_digits = std::all_of(value->begin(), value->end(),
                                        [](char c) { return is_one_of(c, "0123456789abcdef"); });
    if (value->size() != digits || !all_digits) {
        // Don't show the value: it may be a secret that was pasted into the wrong field.
        add_finding(field, std::to_string(digits) + " lower-case hexadecimal digits",
                    "a string of " + std::to_string(value->size()) + " characters",
                    "make the key with `cranberryctl key create`");
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> object_reader::choice(const std::string& field,
                                                 const std::vector<std::string>& known) {
    auto value = text(field);
    if (!value || std::find(known.begin(), known.end(), *value) != known.end()) {
        return value;
    }
    std::string expected;
    for (const auto& it : known) {
        expected += (expected.empty() ? "" : ", ") + it;
    }
    add_finding(field, (known.size() > 1 ? "one of " : "") + expected, describe(*value),
                spelling_hint(*value, known));
    return std::nullopt;
}

std::optional<bool> object_reader::boolean(const std::string& field) {
    const json* const value = find(field);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_boolean()) {
        add_finding(field, "true or false", describe(*value));
        return std::nullopt;
    }
    return value->get<bool>();
}

std::optional<std::int64_t> object_reader::integer(const std::string& field,
                                                   const integer_range& range) {
    const json* const value = find(field);
    if (value == nullptr) {
        return std::nullopt;
    }
    constexpr auto highest_signed =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const bool fits_signed =
        !value->is_number_unsigned() || value->get<std::uint64_t>() <= highest_signed;
    if (value->is_number_integer() && fits_signed) {
        const auto n = value->get<std::int64_t>();
        if (n >= range.lowest && n <= range.highest) {
            return n;
        }
    }
    add_finding(field,
                "a whole number from " + std::to_string(range.lowest) + " to " +
                    std::to_string(range.highest),
                describe(*value));
    return std::nullopt;
}

std::optional<double> object_reader::positive_number(const std::string& field, double highest) {
    const json* const value = find(field);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->is_number()) {
        const auto x = value->get<double>();
        if (std::isfinite(x) && x > 0 && x <= highest) {
            return x;
        }
    }
    add_finding(field, "a number above 0 and at most " + json(highest).dump(), describe(*value));
    return std::nullopt;
}

std::vector<std::string> object_reader::names(const std::string& field) {
    const json* const value = find(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_array()) {
        add_finding(field, "an array of names", describe(*value));
        return {};
    }
    std::vector<std::string> out;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json& element = (*value)[i];
        if (element.is_string() && is_name(element.get<std::string>())) {
            out.push_back(element.get<std::string>());
        } else {
            findings_.add({pointer_below(pointer_to(field), std::to_string(i)), name_rule,
                           describe(element), ""});
        }
    }
    return out;
}

const json* object_reader::member(const std::string& field) {
    return find(field);
}

void object_reader::require(const std::string& field, const std::string& expected) {
    if (usable() && !has(field)) {
        add_finding(field, expected, "nothing", "add the field");
    }
}

void object_reader::report_unknown_fields() {
    if (!usable()) {
        return;
    }
    for (const auto& it : object_->items()) {
        if (std::find(known_.begin(), known_.end(), it.key()) != known_.end()) {
            continue;
        }
        std::string expected;
        for (const auto& known : known_) {
            expected += (expected.empty() ? "one of the fields " : ", ") + known;
        }
        add_finding(it.key(), expected, "an unknown field", spelling_hint(it.key(), known_));
    }
}

}  // namespace cranberrydock::config::detail
