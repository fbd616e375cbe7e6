// Reads typed fields of a JSON object and reports each invalid field with its JSON pointer, for the
// codecs of this package's rows.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/strong_type.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace cranberrydock::cell::detail {

class json_fields {
public:
    // `place` is the JSON pointer of `object`. `object` and `faults` must outlive the reader.
    json_fields(const nlohmann::json& object, std::string place, base::findings& faults);

    std::string text(const char* name);
    std::int64_t number(const char* name);
    bool flag(const char* name);  // false when the field is missing

    // Returns the array of that name, or an empty one after an error.
    const nlohmann::json& list(const char* name);

    template <typename Id>
    Id id(const char* name) {
        return Id(text(name));
    }
    template <typename Number>
    Number count(const char* name) {
        return Number(number(name));
    }

    std::string place_of(const std::string& name) const { return place_ + "/" + name; }

private:
    const nlohmann::json* find(const char* name, const char* expected,
                               bool (nlohmann::json::*is)() const noexcept);

    const nlohmann::json& object_;
    std::string place_;
    base::findings& faults_;
};

// Returns the text as a JSON object, or an empty object after an error.
nlohmann::json parse_object(const std::string& text, base::findings& faults);

}  // namespace cranberrydock::cell::detail
