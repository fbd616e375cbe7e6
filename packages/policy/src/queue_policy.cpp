// Maps a queue's configured kind to its policy.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/policy/queue_policy.hpp>

namespace cranberrydock::policy {

std::unique_ptr<queue_policy> make_queue_policy(queue_kind kind) {
    switch (kind) {
        case queue_kind::latency:
            return make_latency_policy();
        case queue_kind::must_finish:
            return make_must_finish_policy();
        case queue_kind::batch:
            return make_batch_policy();
        case queue_kind::gang:
            return make_gang_policy();
        case queue_kind::service:
            return make_service_policy();
    }
    CRANBERRYDOCK_CHECK(false, "expected a known queue_kind");
    return nullptr;
}

}  // namespace cranberrydock::policy
