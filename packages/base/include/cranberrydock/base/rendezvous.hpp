// Rendezvous hashing: every process computes the same order of the candidates for a subject. When a
// candidate is removed, only the subjects assigned to it are reassigned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::base {

// The weight of `candidate` for `subject`. The candidate with the highest weight is preferred.
std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate);

// The indexes of the candidates by descending weight. Candidates of equal weight are ordered by
// name.
std::vector<std::size_t> rendezvous_order(std::string_view subject,
                                          const std::vector<std::string>& candidates);

}  // namespace cranberrydock::base
