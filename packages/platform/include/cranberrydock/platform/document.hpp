// Reads typed fields out of a JSON or CBOR document and collects every fault with its place, so
// that a codec is one line a field and a malformed message is refused whole.
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

// Amounts above this are refused, so that sums of amounts can't overflow.
constexpr std::int64_t max_amount = std::int64_t{1} << 50;

// One object of a document. The document must outlive it. A field that is missing or of another
// type adds a finding and reads as empty or zero.
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string place, base::findings& faults);

    bool has(const char* name) const;
    std::string text(const char* name) const;
    std::string bytes(const char* name) const;
    bool flag(const char* name) const;
    std::int64_t number(const char* name) const;  // of either sign
    std::int64_t amount(const char* name) const;  // 0 to max_amount
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

    // Says that the field, though of the right type, is not what was expected.
    void reject(const char* name, std::string expected) const;

    // Says that the field holds none of the known words.
    void unknown_word(const char* name, const std::vector<std::string>& known) const;

    // The value among `all` whose to_string() stands in the field; the first with a finding when
    // there is none.
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
        unknown_word(name, known);
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

nlohmann::json binary(const std::string& bytes);
nlohmann::json document_of(const base::resources& amounts);

std::string to_cbor(const nlohmann::json& document);
tl::expected<nlohmann::json, base::findings> from_cbor(const std::string& bytes);
tl::expected<nlohmann::json, base::findings> from_json(const std::string& text);

// The value when nothing was found, else the findings.
template <typename Value>
tl::expected<Value, base::findings> value_or_findings(Value value, base::findings faults) {
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return value;
}

}  // namespace cranberrydock::platform::detail
