// The routes that show the state of the cluster and drain VMs.
#include "cluster_routes.hpp"

#include <cranberrydock/entry/problem.hpp>

#include "api_json.hpp"
#include "authorize.hpp"

#include <utility>

namespace cranberrydock::entry {
namespace {

constexpr int ok = 200;

}  // namespace

std::vector<route> cluster_routes::routes() {
    using net::http_method;
    using handler = std::function<void(routed_request, net::http_responder)>;
    // Wraps a handler so that it accepts only operators.
    const auto guarded = [this](handler inner) {
        return [this, inner = std::move(inner)](const routed_request& request,
                                                const net::http_responder& respond) {
            const auto operator_key = operator_of(dependencies_.configuration, request.http);
            if (!operator_key) {
                respond(problem(operator_key.error().cause));
                return;
            }
            inner(request, respond);
        };
    };
    const auto drain = [this](bool enable) {
        return [this, enable](const routed_request& request, const net::http_responder& respond) {
            dependencies_.cluster.drain(base::vm_id(request.name), enable);
            respond(net::json_response(ok, "{}"));
        };
    };
    return {
        {http_method::get, "/v1/cells",
         guarded([this](const routed_request& /*request*/, const net::http_responder& respond) {
             respond(net::json_response(
                 ok, cells_json(dependencies_.cluster.cells(), dependencies_.cluster.links())));
         })},
        {http_method::get, "/v1/vms",
         guarded([this](const routed_request& /*request*/, const net::http_responder& respond) {
             dependencies_.cluster.vms([respond](const std::vector<cell::vm_view>& vms) {
                 respond(net::json_response(ok, vms_json(vms)));
             });
         })},
        {http_method::post, "/v1/vms/{name}/drain", guarded(drain(true))},
        {http_method::del, "/v1/vms/{name}/drain", guarded(drain(false))},
        {http_method::get, "/v1/promises",
         guarded([this](const routed_request& /*request*/, const net::http_responder& respond) {
             dependencies_.cluster.promises(
                 [respond](const std::vector<cell::broken_promise>& promises) {
                     respond(net::json_response(ok, promises_json(promises)));
                 });
         })},
    };
}

}  // namespace cranberrydock::entry
