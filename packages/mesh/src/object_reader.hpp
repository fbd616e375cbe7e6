// Reads the members of one map of a decoded document as typed fields. A missing or invalid member
// is recorded as a finding with its location and reads as empty or zero, so that one pass finds all
// faults of a message.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/strong_type.hpp>
#include <cranberrydock/base/units.hpp>

#include "cbor.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::mesh::detail {

class object_reader {
public:
    // `value` is expected to be a map. Text strings are moved out of it when they are read. `value`
    // and `faults` must outlive the reader.
    object_reader(json& value, std::string place, base::findings& faults);

    std::string text(const char* key);
    std::string bytes(const char* key);
    bool flag(const char* key);
    // An integer from 0 to `max_value`.
    std::int64_t count(const char* key,
                       std::int64_t max_value = std::numeric_limits<std::int64_t>::max());
    // Any signed 64-bit integer; differences of times may be negative.
    std::int64_t number(const char* key);

    template <typename Id>
    Id id(const char* key) {
        return Id(text(key));
    }
    template <typename Quantity>
    Quantity quantity(const char* key) {
        return Quantity(count(key));
    }
    base::microseconds micros(const char* key) { return base::microseconds(number(key)); }
    base::milliseconds millis(const char* key) { return base::milliseconds(count(key)); }
    // Returns nothing when the member is absent.
    std::optional<base::milliseconds> optional_millis(const char* key);

    bool has(const char* key) const;
    object_reader object(const char* key);

    // Calls `read(object_reader&)` for each entry of a list of maps and collects the results.
    template <typename Read>
    auto objects(const char* key, Read read) {
        std::vector<decltype(read(std::declval<object_reader&>()))> out;
        json* const list = list_member(key);
        for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
            object_reader entry((*list)[i], place_of(key) + "/" + std::to_string(i), *faults_);
            out.push_back(read(entry));
        }
        return out;
    }

    // Reads a list of texts as ids or plain strings.
    template <typename Text>
    std::vector<Text> texts(const char* key) {
        std::vector<Text> out;
        json* const list = list_member(key);
        for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
            out.emplace_back(text_of(&(*list)[i], place_of(key) + "/" + std::to_string(i)));
        }
        return out;
    }

    // Reads a list of integers from 0.
    template <typename Quantity>
    std::vector<Quantity> quantities(const char* key) {
        std::vector<Quantity> out;
        json* const list = list_member(key);
        for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
            out.emplace_back(count_of(&(*list)[i], place_of(key) + "/" + std::to_string(i),
                                      std::numeric_limits<std::int64_t>::max()));
        }
        return out;
    }

    // Records a finding for the member `key`.
    void fault(const char* key, const std::string& expected, const std::string& found);

private:
    object_reader(json* value, std::string place, base::findings& faults);

    json* member(const char* key);
    json* list_member(const char* key);
    std::string place_of(const char* key) const { return place_ + "/" + key; }
    std::string text_of(json* value, const std::string& place);
    std::int64_t count_of(json* value, const std::string& place, std::int64_t max_value);
    void add_fault(const std::string& place, const std::string& expected, const json* found);
    void add(base::finding item);

    json* value_;  // null when the value is not a map
    std::string place_;
    base::findings* faults_;
};

}  // namespace cranberrydock::mesh::detail
