// The wire format of the VM protocol: one POST /v1/vm/command per command, with command and reply
// in CBOR. Payloads and answers are arbitrary bytes. JSON would have to carry them as base64, which
// is a third longer and must be encoded and decoded at every hop.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::platform {

constexpr const char* vm_command_path = "/v1/vm/command";

std::string encode(const vm_command& command);
std::string encode(const vm_reply& reply);

// On failure these return all faults found. Amounts must not be negative.
tl::expected<vm_command, base::findings> decode_vm_command(const std::string& bytes);
tl::expected<vm_reply, base::findings> decode_vm_reply(const std::string& bytes);

}  // namespace cranberrydock::platform
