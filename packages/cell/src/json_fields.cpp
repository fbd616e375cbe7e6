// Reads typed fields of a JSON object with nlohmann/json.
#include "json_fields.hpp"

namespace cranberrydock::cell::detail {

json_fields::json_fields(const nlohmann::json& object, std::string place, base::findings& faults)
    : object_(object), place_(std::move(place)), faults_(faults) {
    if (!object_.is_object()) {
        faults_.add({place_, "an object", object_.type_name(), ""});
    }
}

const nlohmann::json* json_fields::find(const char* name, const char* expected,
                                        bool (nlohmann::json::*is)() const noexcept) {
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto it = object_.find(name);
    if (it == object_.end()) {
        faults_.add({place_of(name), expected, "nothing", ""});
        return nullptr;
    }
    if (!((*it).*is)()) {
        faults_.add({place_of(name), expected, it->type_name(), ""});
        return nullptr;
    }
    return &*it;
}

std::string json_fields::text(const char* name) {
    const auto* it = find(name, "a string", &nlohmann::json::is_string);
    return it != nullptr ? it->get<std::string>() : std::string();
}

std::int64_t json_fields::number(const char* name) {
    const auto* it = find(name, "an integer", &nlohmann::json::is_number_integer);
    return it != nullptr ? it->get<std::int64_t>() : 0;
}

bool json_fields::flag(const char* name) {
    if (!object_.is_object() || !object_.contains(name)) {
        return false;
    }
    const auto* it = find(name, "true or false", &nlohmann::json::is_boolean);
    return it != nullptr && it->get<bool>();
}

const nlohmann::json& json_fields::list(const char* name) {
    static const nlohmann::json empty = nlohmann::json::array();
    const auto* it = find(name, "an array", &nlohmann::json::is_array);
    return it != nullptr ? *it : empty;
}

nlohmann::json parse_object(const std::string& text, base::findings& faults) {
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        faults.add({"", "a JSON object",
                    parsed.is_discarded() ? "invalid JSON" : parsed.type_name(),
                    "remove the row if no release of cranberrydock wrote it"});
        return nlohmann::json::object();
    }
    return parsed;
}

}  // namespace cranberrydock::cell::detail
