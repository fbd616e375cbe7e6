// Assigns the ids of the request.
#include "stage_identify.hpp"

#include <cranberrydock/base/digest.hpp>

namespace cranberrydock::entry {
namespace {

constexpr std::size_t request_id_bytes = 8;
constexpr std::size_t generated_key_bytes = 16;
constexpr std::size_t job_id_digits = 32;
constexpr char separator = '\0';  // not in paths or names, so the hash input is unambiguous

}  // namespace

tl::expected<void, stage_refusal> identify_stage::run(request_state& request) {
    base::work& spec = request.spec;
    if (spec.key.empty()) {
        spec.key = base::idempotency_key("entry-" + base::random_hex(generated_key_bytes));
    }
    spec.id = base::request_id("r-" + base::random_hex(request_id_bytes));
    spec.digest = base::sha256_hex(request.http.path + separator + request.http.body);
    const std::string name = spec.team.str() + separator + spec.key.str();
    spec.job = base::job_id("j-" + base::sha256_hex(name).substr(0, job_id_digits));
    return {};
}

}  // namespace cranberrydock::entry
