// Encoding of configuration versions as rows of the platform's table service: one head row, and one
// row for each version. A transaction writes both rows, so the version in the head row always
// exists.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <optional>
#include <string>

namespace cranberrydock::config {

// The row "config/head" holds the number of the newest version, in decimal. If the row is absent,
// the newest version is 0, the empty document.
platform::row_key head_key();
std::string encode_head(base::config_version version);
// Returns nullopt when the text is not a version number.
std::optional<base::config_version> decode_head(const std::string& text);

// The value of the row "config/version/NNNNNNNNNN", which is written once and never changed.
struct version_record {
    std::string document;
    std::string author;  // id of the key that the patch was sent with
    std::string patch;   // the patch against the previous version
    std::string at;      // the writer's wall-clock time, for display only
    std::string writer;  // unique id of this write, to recognize it if its answer is lost
};

platform::row_key version_key(base::config_version version);
std::string encode(const version_record& record);
// Returns nullopt when the text is not a JSON object with a document.
std::optional<version_record> decode_version(const std::string& text);

// The key prefix of all version rows, for scans.
platform::row_key version_prefix();
// The version of a row with that prefix; nullopt for any other key.
std::optional<base::config_version> version_of(const platform::row_key& key);

}  // namespace cranberrydock::config
