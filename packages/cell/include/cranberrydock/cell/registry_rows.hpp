// The registry's rows in the table service: their keys and their JSON.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/cell/ownership.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::cell {

constexpr const char* daemon_prefix = "daemon/";
constexpr const char* cell_prefix = "cell/";

platform::row_key daemon_row_key(const base::daemon_id& id);
platform::row_key cell_row_key(const base::cell_id& id);

std::string encode(const daemon_row& row);
std::string encode(const cell_row& row);

// Report each invalid field as a finding with its JSON pointer. Unknown fields are ignored, so that
// daemons of two releases can read each other's rows.
tl::expected<daemon_row, base::findings> decode_daemon_row(const std::string& text);
tl::expected<cell_row, base::findings> decode_cell_row(const std::string& text);

}  // namespace cranberrydock::cell
