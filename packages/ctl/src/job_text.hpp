// Jobs and answers as text.
#pragma once

#include "output.hpp"

#include <string>

namespace cranberrydock::ctl {

// What the answers hold, each with its task and where it ran. An answer whose digest does not match
// is said to be damaged.
std::string answers_text(const json& document);

// Whether every answer's content is what its VM made, by the digest.
bool answers_whole(const json& document);

std::string job_text(const json& job);

// A view of a job that will not change any more.
bool has_ended(const json& job);

}  // namespace cranberrydock::ctl
