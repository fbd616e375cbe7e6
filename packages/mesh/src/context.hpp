// The dependencies that all parts of one mesh share.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/mesh/mesh.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include "deferred_deletion.hpp"
#include "websocket.hpp"

namespace cranberrydock::mesh::detail {

struct context {
    net::event_loop& loop;
    const base::clock& clock;
    base::metrics& metrics;
    const mesh_settings& settings;
    websocket_factory& websockets;
    deferred_deletion& deferred_deletions;
};

}  // namespace cranberrydock::mesh::detail
