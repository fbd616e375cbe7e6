// Rendezvous hashing: every process orders the same candidates for the same subject alike, and when
// a candidate goes only its own subjects move.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::base {

// The weight of `candidate` for `subject`; the highest wins.
std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate);

// The candidates' indexes, best first.
std::vector<std::size_t> rendezvous_order(std::string_view subject,
                                          const std::vector<std::string>& candidates);

}  // namespace cranberrydock::base
