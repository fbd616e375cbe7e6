// A message as text that holds every field, for comparing two of them: the messages themselves have
// no equality. Written apart from the codec, and by structured bindings, so that a new field which
// is missing here doesn't compile.
#pragma once

#include <cranberrydock/mesh/messages.hpp>

#include <string>

namespace cranberrydock::standins {

std::string text_of(const mesh::message& what);

}  // namespace cranberrydock::standins
