// Writes a message as a text with all its fields. Tests compare these texts because the message
// types have no equality operator. The code is independent of the codec. It uses structured
// bindings, so that it does not compile if a new field is missing here.
#pragma once

#include <cranberrydock/mesh/messages.hpp>

#include <string>

namespace cranberrydock::standins {

std::string to_text(const mesh::message& source);

}  // namespace cranberrydock::standins
