// Reads typed fields from a JSON or CBOR document and collects all faults with their locations. A
// codec needs one line per field, and a malformed message is refused completely.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/strong_type.hpp>
#include <cranberrydock/base/units.hpp>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::platform::detail {

// Larger amounts are refused, so that sums of amounts cannot overflow.
constexpr std::int64_t max_amount = std::int64_t{1} << 50;

// Reads one object of a document. The document and the findings must outlive the reader. A field
// that is missing or has another type adds a finding and reads as empty or zero.
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string place, base::findings& faults);

    bool has(const char* name) const;
    std::string text(const char* name) const;
    std::string bytes(const char* name) const;
    bool flag(const char* name) const;
    std::int64_t number(const char* name) const;  // signed
    std::int64_t amount(const char* name) const;  // from 0 to max_amount
    object_reader object(const char* name) const;
    std::vector<object_reader> objects(const char* name) const;
    std::vector<std::string> texts(const char* name) const;

    template <typename Id>
    Id id(const char* name) const {
        return Id(text(name));
    }
    template <typename Number>
    Number number_of(const char* name) const {
        return Number(amount(name));
    }
    base::milliseconds milliseconds(const char* name) const {
        return base::milliseconds{amount(name)};
    }
    base::resources resources(const char* name) const;

    // Adds a finding for a field that has the right type but an invalid value.
    void add_fault(const char* name, std::string expected) const;

    // Adds a finding for a field whose text is none of the `known` names.
    void reject_unknown_name(const char* name, const std::vector<std::string>& known) const;

    // Returns the value in `all` whose to_string() equals the field's text. If there is none, adds
    // a finding and returns the first value.
    template <typename Enum>
    Enum word(const char* name, const std::vector<Enum>& all) const {
        const std::string found = text(name);
        std::vector<std::string> known;
        for (const Enum it : all) {
            known.push_back(to_string(it));
            if (known.back() == found) {
                return it;
            }
        }
        reject_unknown_name(name, known);
        return all.front();
    }

private:
    const nlohmann::json& field(const char* name) const;
    const nlohmann::json& list(const char* name) const;
    void fault(const char* name, std::string expected, const nlohmann::json& found) const;

    const nlohmann::json* value_;
    std::string place_;
    base::findings* faults_;
};

// Returns `bytes` as a binary value.
nlohmann::json binary(const std::string& bytes);
nlohmann::json document_of(const base::resources& amounts);

std::string to_cbor(const nlohmann::json& document);
tl::expected<nlohmann::json, base::findings> from_cbor(const std::string& bytes);
tl::expected<nlohmann::json, base::findings> from_json(const std::string& text);

// Returns the findings if there are any, and the value otherwise.
template <typename Value>
tl::expected<Value, base::findings> value_or_findings(Value value, base::findings faults) {
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return value;
}

}  // namespace cranberrydock::platform::detail
