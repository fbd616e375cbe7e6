// The mesh: a listener, the peers' links, and authenticated daemons that are not peers yet.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/mesh/codec.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include "connection.hpp"
#include "context.hpp"
#include "link.hpp"
#include "listener.hpp"
#include "retired.hpp"
#include "websocket.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

namespace cranberrydock::mesh {
namespace {

using detail::connection;
using detail::link;

// How many times silence is looked for within its deadline.
constexpr int watches_per_deadline = 8;

class websocket_mesh final : public mesh,
                             private detail::listener_events,
                             private detail::connection_events,
                             private detail::link_events {
public:
    websocket_mesh(net::event_loop& loop, mesh_settings settings, mesh_listener& told,
                   base::metrics& metrics, const base::clock& clock)
        : settings_(std::move(settings)),
          told_(told),
          websockets_(detail::make_websocket_factory(settings_.max_frame)),
          retired_(loop),
          parts_{loop, clock, metrics, settings_, *websockets_, retired_},
          listener_(loop, settings_.listen, *this),
          last_watch_(clock.now()),
          beat_(loop.every(settings_.heartbeat_period, [this] { send_heartbeats(); })),
          watch_(
              loop.every(settings_.silence_deadline / watches_per_deadline, [this] { watch(); })) {}

    void set_peers(const std::vector<peer>& peers) override {
        std::map<base::daemon_id, peer> wanted;
        for (const auto& it : peers) {
            if (it.id != settings_.self) {
                wanted.emplace(it.id, it);
            }
        }
        drop_links_besides(wanted);
        detail::link_events& self = *this;
        for (const auto& it : wanted) {
            if (links_.count(it.first) == 0) {
                links_.emplace(it.first, std::make_shared<link>(parts_, it.second, self));
            }
        }
        choose_near(wanted);
        adopt_strangers();
    }

    bool send(const base::daemon_id& to, const message& what) override {
        const auto it = links_.find(to);
        if (it == links_.end()) {
            parts_.metrics.count("mesh_sends_refused_total", "reason=\"no_peer\"");
            return false;
        }
        return it->second->send(encode(what));
    }

    std::vector<link_status> links() const override {
        std::vector<link_status> out;
        for (const auto& it : links_) {
            out.push_back(it.second->status());
        }
        return out;
    }

    net::endpoint listening_on() const override { return listener_.listening_on(); }

private:
    // A daemon that has proved the secret but that no list names yet. The lists of two daemons
    // differ for a while after a start: refusing would only make the newcomer dial again. Nothing
    // more is read from it until set_peers() names it, and after the silence deadline it is closed.
    struct stranger {
        std::shared_ptr<connection> held;
        base::time_point since;
    };

    using strangers = std::vector<stranger>;
    using connections = std::vector<std::shared_ptr<connection>>;

    void on_accepted(int socket) override {
        detail::connection_events& self = *this;
        unproved_.push_back(std::make_shared<connection>(parts_, socket, self));
    }

    void on_proved(connection& from) override {
        std::shared_ptr<connection> fresh = take(from);
        const auto it = links_.find(from.peer_id());
        if (it != links_.end()) {
            it->second->adopt(std::move(fresh));
            return;
        }
        fresh->set_reading(false);
        strangers_.push_back({std::move(fresh), parts_.clock.now()});
    }

    void on_frame(connection& /*from*/, const std::string& /*frame*/) override {
        // A stranger's frame that came in the same segment as its proof. A daemon sends nothing but
        // heartbeats before it hears one, and the next heartbeat says the same.
    }

    void on_closed(connection& from, const std::string& /*why*/) override {
        retired_.keep(take(from));
    }

    // Takes the connection out of those that belong to no link.
    std::shared_ptr<connection> take(const connection& one) {
        const auto it = std::find_if(unproved_.begin(), unproved_.end(),
                                     [&](const auto& has) { return has.get() == &one; });
        if (it != unproved_.end()) {
            std::shared_ptr<connection> out = std::move(*it);
            unproved_.erase(it);
            return out;
        }
        const auto held = std::find_if(strangers_.begin(), strangers_.end(),
                                       [&](const auto& has) { return has.held.get() == &one; });
        if (held == strangers_.end()) {
            return nullptr;
        }
        std::shared_ptr<connection> out = std::move(held->held);
        strangers_.erase(held);
        return out;
    }

    void adopt_strangers() {
        strangers left;
        for (auto& it : std::exchange(strangers_, {})) {
            const auto known = links_.find(it.held->peer_id());
            if (known == links_.end()) {
                left.push_back(std::move(it));
                continue;
            }
            it.held->set_reading(true);
            known->second->adopt(std::move(it.held));
        }
        strangers_.insert(strangers_.end(), left.begin(), left.end());
    }

    void drop_links_besides(const std::map<base::daemon_id, peer>& wanted) {
        std::vector<std::shared_ptr<link>> dropped;
        for (auto it = links_.begin(); it != links_.end();) {
            const auto kept = wanted.find(it->first);
            if (kept != wanted.end() && kept->second.address == it->second->to().address) {
                ++it;
                continue;
            }
            dropped.push_back(std::move(it->second));
            it = links_.erase(it);
        }
        for (auto& it : dropped) {
            it->stop();
            retired_.keep(std::move(it));
        }
    }

    void send_heartbeats() {
        const heartbeat state = current_state();
        for (const auto& it : current_links()) {
            it->beat_if_due(state);
        }
    }

    void watch() {
        const base::time_point now = parts_.clock.now();
        // After a pause of this daemon nothing could be heard: what waits in the sockets comes
        // first.
        const bool was_paused =
            now - std::exchange(last_watch_, now) > settings_.silence_deadline / 2;
        for (const auto& it : current_links()) {
            if (!was_paused) {
                it->watch();
            }
            it->count_bytes();
        }
        close_old_strangers(now);
    }

    void close_old_strangers(base::time_point now) {
        strangers held;
        for (auto& it : std::exchange(strangers_, {})) {
            if (now - it.since < settings_.silence_deadline) {
                held.push_back(std::move(it));
                continue;
            }
            parts_.metrics.count("mesh_strangers_closed_total", "");
            spdlog::info("event=mesh_stranger_closed peer={}", it.held->peer_id().str());
            it.held->close();
            retired_.keep(std::move(it.held));
        }
        strangers_.insert(strangers_.end(), held.begin(), held.end());
    }

    // A copy: what the listener does when told may change the map.
    std::vector<std::shared_ptr<link>> current_links() const {
        std::vector<std::shared_ptr<link>> out;
        out.reserve(links_.size());
        for (const auto& it : links_) {
            out.push_back(it.second);
        }
        return out;
    }

    void on_link_message(link& from, message what) override {
        told_.on_message(from.to().id, std::move(what));
    }

    void on_link_change(link& which, bool up) override { told_.on_link(which.to().id, up); }

    heartbeat current_state() override { return told_.current_state(); }

    // Every daemon ranks the others in an order of its own, so that the near links are spread
    // evenly.
    void choose_near(const std::map<base::daemon_id, peer>& wanted) {
        std::vector<std::string> ids;
        ids.reserve(links_.size());
        for (const auto& it : links_) {
            ids.push_back(it.first.str());
        }
        const std::size_t all = settings_.near_peers == 0 ? ids.size() : settings_.near_peers;
        std::size_t rank = 0;
        for (const std::size_t it : base::rendezvous_order(settings_.self.str(), ids)) {
            const base::daemon_id id(ids[it]);
            links_.at(id)->set_near(rank++ < all || wanted.at(id).near);
        }
    }

    mesh_settings settings_;
    mesh_listener& told_;
    std::unique_ptr<detail::websocket_factory> websockets_;
    detail::retired retired_;
    detail::context parts_;
    detail::listener listener_;
    connections unproved_;  // accepted, not proved yet
    strangers strangers_;
    std::map<base::daemon_id, std::shared_ptr<link>> links_;
    base::time_point last_watch_;
    std::unique_ptr<net::timer> beat_;
    std::unique_ptr<net::timer> watch_;
};

}  // namespace

std::unique_ptr<mesh> make_websocket_mesh(net::event_loop& loop, const mesh_settings& settings,
                                          mesh_listener& listener, base::metrics& metrics,
                                          const base::clock& clock) {
    return std::make_unique<websocket_mesh>(loop, settings, listener, metrics, clock);
}

}  // namespace cranberrydock::mesh
