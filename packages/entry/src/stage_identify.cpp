// Gives the request its ids.
#include "stage_identify.hpp"

#include <cranberrydock/base/digest.hpp>

namespace cranberrydock::entry {
namespace {

constexpr std::size_t request_id_bytes = 8;
constexpr std::size_t generated_key_bytes = 16;
constexpr std::size_t job_id_digits = 32;
constexpr char separator = '\0';  // stands in no name

}  // namespace

tl::expected<void, stage_refusal> identify_stage::run(request_state& request) {
    base::work& what = request.what;
    if (what.key.empty()) {
        what.key = base::idempotency_key("entry-" + base::random_hex(generated_key_bytes));
    }
    what.id = base::request_id("r-" + base::random_hex(request_id_bytes));
    what.digest = base::sha256_hex(request.http.path + separator + request.http.body);
    const std::string name = what.team.str() + separator + what.key.str();
    what.job = base::job_id("j-" + base::sha256_hex(name).substr(0, job_id_digits));
    return {};
}

}  // namespace cranberrydock::entry
