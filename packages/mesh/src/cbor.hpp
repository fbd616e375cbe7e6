// CBOR into a JSON document, safely. The library's reader recurses on nested containers and on
// indefinite-length strings, so hostile bytes could exhaust the stack: a scan of the item heads
// comes first and lets through only what is bounded in depth, count and length.
#pragma once

#include <cranberrydock/base/finding.hpp>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::mesh::detail {

using json = nlohmann::json;

// Allows integers, booleans, null, and strings, byte strings, lists and maps of definite length.
tl::expected<json, base::findings> read_cbor(const std::string& bytes);

std::string write_cbor(const json& document);

// A CBOR byte string of these bytes.
json binary(const std::string& bytes);

}  // namespace cranberrydock::mesh::detail
