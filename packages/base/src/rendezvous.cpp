// Rendezvous hashing with xxHash.
#include <cranberrydock/base/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace cranberrydock::base {

std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate) {
    const std::uint64_t seed = XXH64(subject.data(), subject.size(), 0);
    return XXH64(candidate.data(), candidate.size(), seed);
}

std::vector<std::size_t> rendezvous_order(std::string_view subject,
                                          const std::vector<std::string>& candidates) {
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const auto& it : candidates) {
        weights.push_back(rendezvous_weight(subject, it));
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return weights[a] != weights[b] ? weights[a] > weights[b] : candidates[a] < candidates[b];
    });
    return order;
}

}  // namespace cranberrydock::base
