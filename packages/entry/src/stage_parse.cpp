// Parses the body and the headers that describe the work.
#include "stage_parse.hpp"

#include <cranberrydock/entry/request_body.hpp>

#include <utility>

namespace cranberrydock::entry {
namespace {

constexpr std::size_t max_idempotency_key_length = 255;

}  // namespace

tl::expected<void, stage_refusal> parse_stage::run(request_state& request) {
    auto spec = parse_request_body(request.http.body);
    if (!spec) {
        base::refusal cause{base::refusal_reason::malformed_request, true, base::milliseconds{0},
                            "the body has " + std::to_string(spec.error().size()) +
                                " fault(s); each is listed under findings"};
        return tl::unexpected(stage_refusal{std::move(cause), std::move(spec.error())});
    }
    request.spec = *std::move(spec);
    request.spec.durable = request.job;
    request.spec.traceparent = request.http.header("traceparent");
    request.spec.key = base::idempotency_key(request.http.header("Idempotency-Key"));
    if (request.spec.key.str().size() > max_idempotency_key_length) {
        return refuse(base::refusal_reason::malformed_request,
                      "expected an Idempotency-Key of at most 255 characters, found " +
                          std::to_string(request.spec.key.str().size()));
    }
    const bool key_required = request.job || !request.spec.repeatable;
    if (key_required && request.spec.key.empty()) {
        return refuse(
            base::refusal_reason::idempotency_key_missing,
            "expected an Idempotency-Key header, required for jobs and for work that may "
            "not be repeated, found none; choose a new key for each new piece of work and "
            "send the same key with every retry");
    }
    if (request.spec.service && !request.job) {
        return refuse(base::refusal_reason::malformed_request,
                      "expected a service as POST /v1/jobs, found it as a request, which would "
                      "never be answered");
    }
    return {};
}

}  // namespace cranberrydock::entry
