// How versions stand in the platform's table service: one row for the head, one for each version.
// Both are written in one transaction, so the head never names a version that is not there.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <optional>
#include <string>

namespace cranberrydock::config {

// The row "config/head": the number of the newest version, in decimal. No row: version 0, the empty
// document.
platform::row_key head_key();
std::string encode_head(base::config_version version);
// Nothing when the text is not a version number.
std::optional<base::config_version> decode_head(const std::string& text);

// The row "config/version/NNNNNNNNNN"; written once, never changed.
struct version_record {
    std::string document;
    std::string author;  // the key that the patch came with
    std::string patch;   // that led from the version before
    std::string at;      // wall-clock time at the writer, for people; nothing is decided by it
    std::string writer;  // unique to this one write, to know it again after a lost answer
};

platform::row_key version_key(base::config_version version);
std::string encode(const version_record& record);
std::optional<version_record> decode_version(const std::string& text);

// The prefix of every version's row, for listings; and the version that such a row's key names.
platform::row_key version_prefix();
std::optional<base::config_version> version_of(const platform::row_key& key);

}  // namespace cranberrydock::config
