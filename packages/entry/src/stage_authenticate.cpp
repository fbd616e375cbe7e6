// Determines the team of the work from its key.
#include "stage_authenticate.hpp"

#include <cranberrydock/config/keys.hpp>

namespace cranberrydock::entry {
namespace {

constexpr const char* scheme = "Bearer ";
constexpr base::milliseconds retry_soon{1'000};

std::string describe_refusal(base::refusal_reason reason) {
    switch (reason) {
        case base::refusal_reason::key_missing:
            return "expected Authorization: Bearer ID.SECRET, found no such header";
        case base::refusal_reason::key_withdrawn:
            return "this key was withdrawn; ask an operator for another";
        default:
            return "no key matches the bearer token that was sent";
    }
}

}  // namespace

std::string bearer_token(const net::http_request& request) {
    const std::string header = request.header("Authorization");
    const std::string prefix = scheme;
    return header.compare(0, prefix.size(), prefix) == 0 ? header.substr(prefix.size()) : "";
}

tl::expected<const config::key*, stage_refusal> verify_key(const config::configuration& current,
                                                           const net::http_request& request) {
    const auto key = config::verify(current, bearer_token(request));
    if (!key) {
        return refuse(key.error(), describe_refusal(key.error()));
    }
    return *key;
}

tl::expected<void, stage_refusal> authenticate_stage::run(request_state& request) {
    request.configuration = source_.current();
    if (!request.configuration) {
        return refuse(base::refusal_reason::configuration_not_fresh,
                      "this daemon has not read a configuration version yet", retry_soon);
    }
    const config::queue* const queue = request.configuration->find_queue(request.spec.queue);
    if (queue == nullptr) {
        return refuse(base::refusal_reason::unknown_queue,
                      "expected a queue of configuration version " +
                          std::to_string(request.configuration->version.value()) + ", found \"" +
                          request.spec.queue.str() + "\"");
    }
    const bool has_key = !bearer_token(request.http).empty();
    if (queue->open && !has_key) {
        request.spec.team = queue->open_team;
        return {};
    }
    if (!source_.fresh()) {
        return refuse(
            base::refusal_reason::configuration_not_fresh,
            "this daemon can't prove that its configuration is the newest, so the key may "
            "have been withdrawn; try another entry, or try again later",
            retry_soon);
    }
    const auto key = verify_key(*request.configuration, request.http);
    if (!key) {
        return tl::unexpected(key.error());
    }
    if ((*key)->role != config::key_role::submitter) {
        return refuse(base::refusal_reason::key_not_for_queue,
                      "expected a team's key, found an operator's");
    }
    request.key = *key;
    request.spec.team = (*key)->team;
    return {};
}

}  // namespace cranberrydock::entry
