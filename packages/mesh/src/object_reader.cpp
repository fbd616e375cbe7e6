// Reads map members as typed fields and records a finding for each invalid member.
#include "object_reader.hpp"

#include <cranberrydock/mesh/codec.hpp>

#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// Bounds the findings of a malicious message, which could have a fault in each of a million items.
constexpr std::size_t max_findings = 100;

const char* const advice = "check that both daemons run the same release";

// Describes a value by its type only: untrusted bytes must not get into a log.
std::string describe_type(const json* value) {
    return value == nullptr ? "nothing" : std::string("a value of type ") + value->type_name();
}

}  // namespace

object_reader::object_reader(json& value, std::string place, base::findings& faults)
    : object_reader(&value, std::move(place), faults) {}

object_reader::object_reader(json* value, std::string place, base::findings& faults)
    : value_(value), place_(std::move(place)), faults_(&faults) {
    if (value == nullptr || !value->is_object()) {
        add_fault(place_, "a map", value);
        value_ = nullptr;
    }
}

std::string object_reader::text(const char* key) {
    return text_of(member(key), place_of(key));
}

std::string object_reader::text_of(json* value, const std::string& place) {
    if (value == nullptr || !value->is_string()) {
        add_fault(place, "a text", value);
        return {};
    }
    auto& found = value->get_ref<std::string&>();
    if (found.size() > codec_limits::text_bytes) {
        add_fault(place, "a text of at most " + std::to_string(codec_limits::text_bytes) + " bytes",
                  value);
        return {};
    }
    return std::move(found);
}

std::string object_reader::bytes(const char* key) {
    json* const value = member(key);
    if (value == nullptr || !value->is_binary()) {
        add_fault(place_of(key), "a byte string", value);
        return {};
    }
    const auto& found = value->get_binary();
    return {found.begin(), found.end()};
}

bool object_reader::flag(const char* key) {
    json* const value = member(key);
    if (value == nullptr || !value->is_boolean()) {
        add_fault(place_of(key), "true or false", value);
        return false;
    }
    return value->get<bool>();
}

std::int64_t object_reader::count(const char* key, std::int64_t max_value) {
    return count_of(member(key), place_of(key), max_value);
}

std::int64_t object_reader::count_of(json* value, const std::string& place,
                                     std::int64_t max_value) {
    const bool fits = value != nullptr && value->is_number_unsigned() &&
                      value->get<std::uint64_t>() <= static_cast<std::uint64_t>(max_value);
    if (!fits) {
        add_fault(place, "a whole number from 0 to " + std::to_string(max_value), value);
        return 0;
    }
    return value->get<std::int64_t>();
}

std::int64_t object_reader::number(const char* key) {
    const json* const value = member(key);
    if (value == nullptr || !value->is_number_integer()) {
        add_fault(place_of(key), "a whole number", value);
        return 0;
    }
    return value->get<std::int64_t>();
}

std::optional<base::milliseconds> object_reader::optional_millis(const char* key) {
    if (!has(key)) {
        return std::nullopt;
    }
    return millis(key);
}

bool object_reader::has(const char* key) const {
    return value_ != nullptr && value_->contains(key);
}

object_reader object_reader::object(const char* key) {
    return {member(key), place_of(key), *faults_};
}

void object_reader::fault(const char* key, const std::string& expected, const std::string& found) {
    add({place_of(key), expected, found, advice});
}

json* object_reader::member(const char* key) {
    if (value_ == nullptr) {
        return nullptr;
    }
    const auto it = value_->find(key);
    return it == value_->end() ? nullptr : &*it;
}

json* object_reader::list_member(const char* key) {
    json* const value = member(key);
    if (value == nullptr || !value->is_array() || value->size() > codec_limits::list_entries) {
        add_fault(place_of(key),
                  "a list of at most " + std::to_string(codec_limits::list_entries) + " entries",
                  value);
        return nullptr;
    }
    return value;
}

void object_reader::add_fault(const std::string& place, const std::string& expected,
                              const json* found) {
    add({place, expected, describe_type(found), advice});
}

void object_reader::add(base::finding item) {
    if (faults_->size() < max_findings) {
        faults_->add(std::move(item));
    }
}

}  // namespace cranberrydock::mesh::detail
