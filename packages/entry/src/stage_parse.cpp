// Reads the body and the headers that describe the work.
#include "stage_parse.hpp"

#include <cranberrydock/entry/request_body.hpp>

#include <utility>

namespace cranberrydock::entry {
namespace {

constexpr std::size_t longest_idempotency_key = 255;

}  // namespace

tl::expected<void, stage_refusal> parse_stage::run(request_state& request) {
    auto what = parse_request_body(request.http.body);
    if (!what) {
        base::refusal why{base::refusal_reason::malformed_request, true, base::milliseconds{0},
                          "the body has " + std::to_string(what.error().size()) +
                              " fault(s); each is listed under findings"};
        return tl::unexpected(stage_refusal{std::move(why), std::move(what.error())});
    }
    request.what = *std::move(what);
    request.what.durable = request.job;
    request.what.traceparent = request.http.header("traceparent");
    request.what.key = base::idempotency_key(request.http.header("Idempotency-Key"));
    if (request.what.key.str().size() > longest_idempotency_key) {
        return refuse(base::refusal_reason::malformed_request,
                      "expected an Idempotency-Key of at most 255 characters, found " +
                          std::to_string(request.what.key.str().size()));
    }
    const bool key_needed = request.job || !request.what.repeatable;
    if (key_needed && request.what.key.empty()) {
        return refuse(base::refusal_reason::idempotency_key_missing,
                      "expected an Idempotency-Key header, for jobs and for work that may not be "
                      "repeated; found none; choose a new one for each new work and send the same "
                      "one when trying again");
    }
    if (request.what.service && !request.job) {
        return refuse(base::refusal_reason::malformed_request,
                      "expected a service as POST /v1/jobs, found it as a request; it would never "
                      "be answered");
    }
    return {};
}

}  // namespace cranberrydock::entry
