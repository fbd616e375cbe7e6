// The mesh: a listener, the links to the peers, and the connections of authenticated daemons that
// are not peers yet.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/mesh/codec.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include "connection.hpp"
#include "context.hpp"
#include "deferred_deletion.hpp"
#include "link.hpp"
#include "listener.hpp"
#include "websocket.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

namespace cranberrydock::mesh {
namespace {

using detail::connection;
using detail::link;

// Number of liveness checks per peer_timeout.
constexpr int checks_per_deadline = 8;

class websocket_mesh final : public mesh,
                             private detail::listener_events,
                             private detail::connection_events,
                             private detail::link_events {
public:
    websocket_mesh(net::event_loop& loop, mesh_settings settings, mesh_events& observer,
                   base::metrics& metrics, const base::clock& clock)
        : settings_(std::move(settings)),
          observer_(observer),
          websockets_(detail::make_websocket_factory(settings_.max_frame)),
          deferred_deletions_(loop),
          context_{loop, clock, metrics, settings_, *websockets_, deferred_deletions_},
          listener_(loop, settings_.listen, *this),
          last_check_(clock.now()),
          heartbeat_timer_(loop.every(settings_.heartbeat_period, [this] { send_heartbeats(); })),
          liveness_timer_(loop.every(settings_.peer_timeout / checks_per_deadline,
                                     [this] { check_links(); })) {}

    void set_peers(const std::vector<peer>& peers) override {
        std::map<base::daemon_id, peer> wanted;
        for (const auto& it : peers) {
            if (it.id != settings_.self) {
                wanted.emplace(it.id, it);
            }
        }
        drop_links_except(wanted);
        detail::link_events& self = *this;
        for (const auto& it : wanted) {
            if (links_.count(it.first) == 0) {
                links_.emplace(it.first, std::make_shared<link>(context_, it.second, self));
            }
        }
        choose_near(wanted);
        adopt_listed();
    }

    bool send(const base::daemon_id& recipient, const message& msg) override {
        const auto it = links_.find(recipient);
        if (it == links_.end()) {
            context_.metrics.count("mesh_sends_refused_total", "reason=\"no_peer\"");
            return false;
        }
        return it->second->send(encode(msg));
    }

    std::vector<link_status> links() const override {
        std::vector<link_status> out;
        for (const auto& it : links_) {
            out.push_back(it.second->status());
        }
        return out;
    }

    net::endpoint listen_endpoint() const override { return listener_.listen_endpoint(); }

private:
    // The connection of a daemon that has proved the secret but is not in the list of peers yet.
    // After a start the lists of two daemons differ for a while, and refusing the connection would
    // only make the new daemon dial again. Nothing more is read from the connection until
    // set_peers() lists the daemon; it is closed when that does not happen within peer_timeout.
    struct unlisted_daemon {
        std::shared_ptr<connection> conn;
        base::time_point since;
    };

    using unlisted_daemons = std::vector<unlisted_daemon>;
    using connection_list = std::vector<std::shared_ptr<connection>>;

    void on_accepted(int socket) override {
        detail::connection_events& self = *this;
        unauthenticated_.push_back(std::make_shared<connection>(context_, socket, self));
    }

    void on_authenticated(connection& from) override {
        std::shared_ptr<connection> fresh = take_unlinked(from);
        const auto it = links_.find(from.peer_id());
        if (it != links_.end()) {
            it->second->adopt(std::move(fresh));
            return;
        }
        fresh->set_reading(false);
        unlisted_.push_back({std::move(fresh), context_.clock.now()});
    }

    void on_frame(connection& /*from*/, const std::string& /*frame*/) override {
        // A frame of an unlisted daemon that arrived in the same segment as its proof. It is
        // dropped: a daemon sends only heartbeats before it receives one, and its next heartbeat
        // carries the same state.
    }

    void on_closed(connection& from, const std::string& /*why*/) override {
        deferred_deletions_.schedule(take_unlinked(from));
    }

    // Removes a connection that belongs to no link from its list and returns it.
    std::shared_ptr<connection> take_unlinked(const connection& target) {
        const auto it =
            std::find_if(unauthenticated_.begin(), unauthenticated_.end(),
                         [&](const auto& candidate) { return candidate.get() == &target; });
        if (it != unauthenticated_.end()) {
            std::shared_ptr<connection> out = std::move(*it);
            unauthenticated_.erase(it);
            return out;
        }
        const auto unlisted =
            std::find_if(unlisted_.begin(), unlisted_.end(),
                         [&](const auto& candidate) { return candidate.conn.get() == &target; });
        if (unlisted == unlisted_.end()) {
            return nullptr;
        }
        std::shared_ptr<connection> out = std::move(unlisted->conn);
        unlisted_.erase(unlisted);
        return out;
    }

    void adopt_listed() {
        unlisted_daemons still_unlisted;
        for (auto& it : std::exchange(unlisted_, {})) {
            const auto known = links_.find(it.conn->peer_id());
            if (known == links_.end()) {
                still_unlisted.push_back(std::move(it));
                continue;
            }
            it.conn->set_reading(true);
            known->second->adopt(std::move(it.conn));
        }
        unlisted_.insert(unlisted_.end(), still_unlisted.begin(), still_unlisted.end());
    }

    void drop_links_except(const std::map<base::daemon_id, peer>& wanted) {
        std::vector<std::shared_ptr<link>> dropped;
        for (auto it = links_.begin(); it != links_.end();) {
            const auto kept = wanted.find(it->first);
            if (kept != wanted.end() && kept->second.address == it->second->remote().address) {
                ++it;
                continue;
            }
            dropped.push_back(std::move(it->second));
            it = links_.erase(it);
        }
        for (auto& it : dropped) {
            it->stop();
            deferred_deletions_.schedule(std::move(it));
        }
    }

    void send_heartbeats() {
        const heartbeat state = current_state();
        for (const auto& it : current_links()) {
            it->send_heartbeat_if_due(state);
        }
    }

    void check_links() {
        const base::time_point now = context_.clock.now();
        // After a pause of this daemon the peers' data may still wait in the sockets. Read it
        // before checking any link.
        const bool was_paused = now - std::exchange(last_check_, now) > settings_.peer_timeout / 2;
        for (const auto& it : current_links()) {
            if (!was_paused) {
                it->check_liveness();
            }
            it->count_bytes();
        }
        close_expired_unlisted(now);
    }

    void close_expired_unlisted(base::time_point now) {
        unlisted_daemons remaining;
        for (auto& it : std::exchange(unlisted_, {})) {
            if (now - it.since < settings_.peer_timeout) {
                remaining.push_back(std::move(it));
                continue;
            }
            context_.metrics.count("mesh_strangers_closed_total", "");
            spdlog::info("event=mesh_stranger_closed peer={}", it.conn->peer_id().str());
            it.conn->close();
            deferred_deletions_.schedule(std::move(it.conn));
        }
        unlisted_.insert(unlisted_.end(), remaining.begin(), remaining.end());
    }

    // Returns a copy, because callbacks may change the map.
    std::vector<std::shared_ptr<link>> current_links() const {
        std::vector<std::shared_ptr<link>> out;
        out.reserve(links_.size());
        for (const auto& it : links_) {
            out.push_back(it.second);
        }
        return out;
    }

    void on_link_message(link& from, message msg) override {
        observer_.on_message(from.remote().id, std::move(msg));
    }

    void on_link_change(link& source, bool up) override {
        observer_.on_link(source.remote().id, up);
    }

    heartbeat current_state() override { return observer_.current_state(); }

    // Each daemon ranks the others in a different order, so that the near links are spread evenly
    // over the fleet.
    void choose_near(const std::map<base::daemon_id, peer>& wanted) {
        std::vector<std::string> ids;
        ids.reserve(links_.size());
        for (const auto& it : links_) {
            ids.push_back(it.first.str());
        }
        const std::size_t near_count =
            settings_.near_peers == 0 ? ids.size() : settings_.near_peers;
        std::size_t rank = 0;
        for (const std::size_t it : base::rendezvous_order(settings_.self.str(), ids)) {
            const base::daemon_id id(ids[it]);
            links_.at(id)->set_near(rank++ < near_count || wanted.at(id).near);
        }
    }

    mesh_settings settings_;
    mesh_events& observer_;
    std::unique_ptr<detail::websocket_factory> websockets_;
    detail::deferred_deletion deferred_deletions_;
    detail::context context_;
    detail::listener listener_;
    connection_list unauthenticated_;  // accepted, not authenticated yet
    unlisted_daemons unlisted_;
    std::map<base::daemon_id, std::shared_ptr<link>> links_;
    base::time_point last_check_;
    std::unique_ptr<net::timer> heartbeat_timer_;
    std::unique_ptr<net::timer> liveness_timer_;
};

}  // namespace

std::unique_ptr<mesh> make_websocket_mesh(net::event_loop& loop, const mesh_settings& settings,
                                          mesh_events& listener, base::metrics& metrics,
                                          const base::clock& clock) {
    return std::make_unique<websocket_mesh>(loop, settings, listener, metrics, clock);
}

}  // namespace cranberrydock::mesh
