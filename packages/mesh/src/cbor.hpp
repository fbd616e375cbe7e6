// Parses untrusted CBOR into a JSON document. The library's parser recurses on nested containers
// and on indefinite-length strings, so malicious input could exhaust the stack. A scan of the item
// heads therefore rejects input that is not bounded in depth, count and length before it is parsed.
#pragma once

#include <cranberrydock/base/finding.hpp>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::mesh::detail {

using json = nlohmann::json;

// Accepts integers, booleans, null, and text strings, byte strings, lists and maps of definite
// length.
tl::expected<json, base::findings> read_cbor(const std::string& bytes);

std::string write_cbor(const json& document);

// Returns `bytes` as a CBOR byte string.
json binary(const std::string& bytes);

}  // namespace cranberrydock::mesh::detail
