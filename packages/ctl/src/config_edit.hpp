// Changes to the configuration: reads the newest version and patches it.
#pragma once

#include "command.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cranberrydock::ctl {

// A version of the configuration as returned by GET /v1/config.
struct versioned_document {
    std::int64_t version = 0;
    json document;
};

// Reads the newest version. On failure prints the error and returns the exit code.
tl::expected<versioned_document, exit_code> read_newest(const command_context& context);

// Sends a merge patch against --base, or against the newest version, and returns the new version.
// On failure prints the error and returns the exit code. When another operator has committed a
// version first, a patch without --base is sent again against the version that is the newest by
// then if `retry_on_conflict` is set. Set it only for a patch that names its own fields alone and
// does not depend on other changes.
tl::expected<std::int64_t, exit_code> send_patch(const std::string& patch, bool retry_on_conflict,
                                                 const command_context& context);

// Sets the field only when its option was given, so that the patch does not depend on other
// changes.
template <typename Option>
void set_if_given(json& fields, const char* field, const Option& value) {
    if (value) {
        fields[field] = *value;
    }
}

// An entry of one of the configuration's lists, with the fields to set.
struct edited_entry {
    const char* list = "";      // "teams" or "queues"
    const char* singular = "";  // names the entry in the result, as in "team"
    std::string name;
    json fields;
};

// Sends a patch that sets the fields of the entry, and prints the new version.
exit_code set_entry(const edited_entry& entry, const command_context& context);

}  // namespace cranberrydock::ctl
