// Base64, for payloads and answers that JSON can't carry as they are.
#pragma once

#include <string>

namespace cranberrydock::ctl {

std::string to_base64(const std::string& bytes);
// Empty when the text is not base64.
std::string from_base64(const std::string& text);

}  // namespace cranberrydock::ctl
