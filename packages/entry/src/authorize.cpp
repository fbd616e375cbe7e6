// Identifies callers by their keys.
#include "authorize.hpp"

#include "stage_authenticate.hpp"

#include <algorithm>

namespace cranberrydock::entry {
namespace {

constexpr base::milliseconds retry_soon{1'000};

bool has_operator(const config::configuration& current) {
    return std::any_of(current.keys.begin(), current.keys.end(), [](const config::key& it) {
        return it.role == config::key_role::operations && !it.withdrawn;
    });
}

tl::expected<config::configuration_ptr, stage_refusal> fresh_configuration(
    const configuration_source& source) {
    auto current = source.current();
    if (!current || !source.fresh()) {
        return refuse(base::refusal_reason::configuration_not_fresh,
                      "this daemon can't prove that its configuration is the newest; try another "
                      "entry, or try again later",
                      retry_soon);
    }
    return current;
}

}  // namespace

tl::expected<base::team_id, stage_refusal> team_of(const configuration_source& source,
                                                   const net::http_request& request) {
    const auto current = fresh_configuration(source);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto key = verify_key(**current, request);
    if (!key) {
        return tl::unexpected(key.error());
    }
    return (*key)->team;
}

tl::expected<base::key_id, stage_refusal> operator_of(const configuration_source& source,
                                                      const net::http_request& request) {
    const auto current = fresh_configuration(source);
    if (!current) {
        return tl::unexpected(current.error());
    }
    if (!has_operator(**current)) {
        return base::key_id("bootstrap");
    }
    const auto key = verify_key(**current, request);
    if (!key) {
        return tl::unexpected(key.error());
    }
    if ((*key)->role != config::key_role::operations) {
        return refuse(base::refusal_reason::not_an_operator,
                      "expected an operator's key, found a team's");
    }
    return (*key)->id;
}

}  // namespace cranberrydock::entry
