// Reads typed fields from a JSON or CBOR document.
#include <cranberrydock/platform/document.hpp>

namespace cranberrydock::platform::detail {
namespace {

const nlohmann::json missing;

constexpr std::size_t max_value_chars = 80;  // characters of a value in a finding

std::string describe_value(const nlohmann::json& found) {
    if (found.is_number()) {
        return found.dump();
    }
    if (found.is_string()) {
        return found.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            .substr(0, max_value_chars);
    }
    return found.is_null() ? "nothing" : found.type_name();
}

}  // namespace

object_reader::object_reader(const nlohmann::json& value, std::string place, base::findings& faults)
    : value_(&value), place_(std::move(place)), faults_(&faults) {
    if (!value.is_object()) {
        faults.add({place_.empty() ? "/" : place_, "an object", value.type_name(), ""});
        value_ = &missing;
    }
}

bool object_reader::has(const char* name) const {
    return value_->is_object() && value_->contains(name);
}

const nlohmann::json& object_reader::field(const char* name) const {
    return has(name) ? value_->at(name) : missing;
}

void object_reader::fault(const char* name, std::string expected,
                          const nlohmann::json& found) const {
    // A missing object has already been reported by the constructor.
    if (value_->is_object()) {
        faults_->add({place_ + "/" + name, std::move(expected), describe_value(found), ""});
    }
}

std::string object_reader::text(const char* name) const {
    const auto& it = field(name);
    if (!it.is_string()) {
        fault(name, "a text", it);
        return {};
    }
    return it.get<std::string>();
}

std::string object_reader::bytes(const char* name) const {
    const auto& it = field(name);
    if (!it.is_binary()) {
        fault(name, "a byte string", it);
        return {};
    }
    const auto& buf = it.get_binary();
    return {buf.begin(), buf.end()};
}

bool object_reader::flag(const char* name) const {
    const auto& it = field(name);
    if (!it.is_boolean()) {
        fault(name, "true or false", it);
        return false;
    }
    return it.get<bool>();
}

std::int64_t object_reader::number(const char* name) const {
    const auto& it = field(name);
    if (!it.is_number_integer() ||
        (it.is_number_unsigned() &&
         it.get<std::uint64_t>() > std::uint64_t{std::numeric_limits<std::int64_t>::max()})) {
        fault(name, "a whole number", it);
        return 0;
    }
    return it.get<std::int64_t>();
}

std::int64_t object_reader::amount(const char* name) const {
    const std::int64_t n = number(name);
    if (n < 0 || n > max_amount) {
        fault(name, "an amount from 0 to " + std::to_string(max_amount), field(name));
        return 0;
    }
    return n;
}

object_reader object_reader::object(const char* name) const {
    return {field(name), place_ + "/" + name, *faults_};
}

const nlohmann::json& object_reader::list(const char* name) const {
    static const nlohmann::json empty = nlohmann::json::array();
    const auto& it = field(name);
    if (!it.is_array()) {
        fault(name, "a list", it);
        return empty;
    }
    return it;
}

std::vector<object_reader> object_reader::objects(const char* name) const {
    std::vector<object_reader> out;
    for (const auto& it : list(name)) {
        out.emplace_back(it, place_ + "/" + name + "/" + std::to_string(out.size()), *faults_);
    }
    return out;
}

std::vector<std::string> object_reader::texts(const char* name) const {
    std::vector<std::string> out;
    for (const auto& it : list(name)) {
        if (!it.is_string()) {
            fault(name, "a list of texts", it);
            return {};
        }
        out.push_back(it.get<std::string>());
    }
    return out;
}

base::resources object_reader::resources(const char* name) const {
    const auto in = object(name);
    return {in.number_of<base::millicores>("millicores"),
            in.number_of<base::mebibytes>("mebibytes"),
            in.number_of<base::accelerator_count>("accelerators"),
            in.number_of<base::slot_count>("slots")};
}

void object_reader::add_fault(const char* name, std::string expected) const {
    fault(name, std::move(expected), field(name));
}

void object_reader::reject_unknown_name(const char* name,
                                        const std::vector<std::string>& known) const {
    std::string expected = "one of";
    for (const auto& it : known) {
        expected += " " + it;
    }
    fault(name, expected, field(name));
}

nlohmann::json binary(const std::string& bytes) {
    return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

nlohmann::json document_of(const base::resources& amounts) {
    return {{"millicores", amounts.cores.value()},
            {"mebibytes", amounts.memory.value()},
            {"accelerators", amounts.accelerators.value()},
            {"slots", amounts.slots.value()}};
}

std::string to_cbor(const nlohmann::json& document) {
    std::string out;
    nlohmann::json::to_cbor(document, out);
    return out;
}

namespace {

tl::expected<nlohmann::json, base::findings> parsed_or_fault(nlohmann::json document,
                                                             const char* expected,
                                                             std::size_t size) {
    if (document.is_discarded()) {
        base::findings faults;
        faults.add({"/", expected,
                    "a malformed or truncated body of " + std::to_string(size) + " bytes", ""});
        return tl::unexpected(std::move(faults));
    }
    return document;
}

}  // namespace

tl::expected<nlohmann::json, base::findings> from_cbor(const std::string& bytes) {
    return parsed_or_fault(nlohmann::json::from_cbor(bytes, true, false), "a CBOR document",
                           bytes.size());
}

tl::expected<nlohmann::json, base::findings> from_json(const std::string& text) {
    return parsed_or_fault(nlohmann::json::parse(text, nullptr, false), "a JSON document",
                           text.size());
}

}  // namespace cranberrydock::platform::detail
