// Changes of the configuration: read the newest version, patch it.
#pragma once

#include "command.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cranberrydock::ctl {

// A version as GET /v1/config shows it.
struct shown_version {
    std::int64_t version = 0;
    json document;
};

// The newest version; the error is the exit code, and what is wrong has been printed.
tl::expected<shown_version, exit_code> read_newest(const command_context& context);

// Sends a merge patch against --base, or against the newest version. When another operator was
// faster, a patch without --base is sent again against the version that is newest then:
// `keeps_its_meaning` says that it names its fields alone and does not depend on what else changed.
// Prints the outcome; the new version on success.
tl::expected<std::int64_t, exit_code> send_patch(const std::string& patch, bool keeps_its_meaning,
                                                 const command_context& context);

// Puts the field only when its option was given, so that the patch keeps its meaning whatever else
// changes.
template <typename Option>
void put_given(json& fields, const char* field, const Option& value) {
    if (value) {
        fields[field] = *value;
    }
}

// An entry of one of the configuration's lists and the fields of it to set.
struct edited_entry {
    const char* list = "";  // "teams" or "queues"
    const char* word = "";  // for one entry of it, in the result
    std::string name;
    json fields;
};

// Sends the patch that sets the fields, and prints the new version.
exit_code set_entry(const edited_entry& entry, const command_context& context);

}  // namespace cranberrydock::ctl
