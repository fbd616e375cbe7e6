// Rows of configuration versions, as JSON.
#include <cranberrydock/config/json_reader.hpp>
#include <cranberrydock/config/version_record.hpp>

#include <charconv>

namespace cranberrydock::config {
namespace {

using detail::json;

const std::string prefix = "config/version/";
constexpr std::size_t key_digits = 10;  // so that the keys' order is the versions' order

std::string text_in(const json& from, const char* field) {
    const auto it = from.find(field);
    return it != from.end() && it->is_string() ? it->get<std::string>() : "";
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
    const auto read = std::from_chars(text.data(), end, n);
    if (read.ec != std::errc() || read.ptr != end || n < 0) {
        return std::nullopt;
    }
    return base::config_version(n);
}

platform::row_key version_prefix() {
    return platform::row_key(prefix);
}

platform::row_key version_key(base::config_version version) {
    const std::string number = std::to_string(version.value());
    const std::size_t zeros = number.size() < key_digits ? key_digits - number.size() : 0;
    return platform::row_key(prefix + std::string(zeros, '0') + number);
}

std::optional<base::config_version> version_of(const platform::row_key& key) {
    if (key.str().compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return decode_head(key.str().substr(prefix.size()));
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
    const json read = json::parse(text, nullptr, false);
    if (!read.is_object() || !read.contains("document")) {
        return std::nullopt;
    }
    version_record out;
    out.document = text_in(read, "document");
    out.author = text_in(read, "author");
    out.patch = text_in(read, "patch");
    out.at = text_in(read, "at");
    out.writer = text_in(read, "writer");
    return out;
}

}  // namespace cranberrydock::config
