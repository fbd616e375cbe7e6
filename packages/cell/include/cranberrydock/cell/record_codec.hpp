// Encodes and decodes a journal row: a batch of work records as CBOR.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/cell/work_record.hpp>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace cranberrydock::cell {

std::string encode_records(const std::vector<work_record>& records);

// Reports each invalid field as a finding with its JSON pointer.
tl::expected<std::vector<work_record>, base::findings> decode_records(const std::string& bytes);

}  // namespace cranberrydock::cell
