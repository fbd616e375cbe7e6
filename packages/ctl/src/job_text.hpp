// Text output for jobs and answers.
#pragma once

#include "output.hpp"

#include <string>

namespace cranberrydock::ctl {

// The contents of the answers, each with its task and VM. An answer whose digest does not match is
// marked as damaged.
std::string answers_text(const json& document);

// Whether the content of every answer matches its digest.
bool answers_intact(const json& document);

std::string job_text(const json& job);

// Whether the job is in a final state.
bool has_ended(const json& job);

}  // namespace cranberrydock::ctl
