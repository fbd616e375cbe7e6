// Encodes and decodes the rows of configuration versions. Version records are JSON.
#include <cranberrydock/config/json_reader.hpp>
#include <cranberrydock/config/version_record.hpp>

#include <charconv>

namespace cranberrydock::config {
namespace {

using detail::json;

const std::string version_key_prefix = "config/version/";
constexpr std::size_t key_digits = 10;  // padded with zeros, so that row keys sort by version

std::string string_field(const json& object, const char* field) {
    const auto it = object.find(field);
    return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

platform::row_key head_key() {
    return platform::row_key("config/head");
}

std::string encode_head(base::config_version version) {
    return std::to_string(version.value());
}

std::optional<base::config_version> decode_head(const std::string& text) {
    std::int64_t n = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, n);
    if (parsed.ec != std::errc() || parsed.ptr != end || n < 0) {
        return std::nullopt;
    }
    return base::config_version(n);
}

platform::row_key version_prefix() {
    return platform::row_key(version_key_prefix);
}

platform::row_key version_key(base::config_version version) {
    const std::string number = std::to_string(version.value());
    const std::size_t zeros = number.size() < key_digits ? key_digits - number.size() : 0;
    return platform::row_key(version_key_prefix + std::string(zeros, '0') + number);
}

std::optional<base::config_version> version_of(const platform::row_key& key) {
    if (key.str().compare(0, version_key_prefix.size(), version_key_prefix) != 0) {
        return std::nullopt;
    }
    return decode_head(key.str().substr(version_key_prefix.size()));
}

std::string encode(const version_record& record) {
    return json{{"document", record.document},
                {"author", record.author},
                {"patch", record.patch},
                {"at", record.at},
                {"writer", record.writer}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<version_record> decode_version(const std::string& text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("document")) {
        return std::nullopt;
    }
    version_record out;
    out.document = string_field(parsed, "document");
    out.author = string_field(parsed, "author");
    out.patch = string_field(parsed, "patch");
    out.at = string_field(parsed, "at");
    out.writer = string_field(parsed, "writer");
    return out;
}

}  // namespace cranberrydock::config
