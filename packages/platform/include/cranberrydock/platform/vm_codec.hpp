// The VM protocol on the wire: one POST /v1/vm/command a command, command and reply in CBOR. CBOR
// rather than JSON because payloads and answers are arbitrary bytes: JSON would carry them as
// base64, a third longer, and encode and decode them at every hop.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::platform {

constexpr const char* vm_command_path = "/v1/vm/command";

std::string encode(const vm_command& command);
std::string encode(const vm_reply& reply);

// Everything that is wrong with the bytes, all together. Amounts must not be negative.
tl::expected<vm_command, base::findings> decode_vm_command(const std::string& bytes);
tl::expected<vm_reply, base::findings> decode_vm_reply(const std::string& bytes);

}  // namespace cranberrydock::platform
