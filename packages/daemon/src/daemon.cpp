// Connects the components of a daemon: each of them owns its state, and this file passes the
// messages between them.
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/promise_monitor.hpp>
#include <cranberrydock/daemon/daemon.hpp>
#include <cranberrydock/entry/api_server.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include "cell_host.hpp"
#include "cell_rules.hpp"
#include "component_settings.hpp"
#include "config_manager.hpp"
#include "fleet_promise_monitor.hpp"
#include "fleet_usage.hpp"
#include "platform_services.hpp"
#include "registry_manager.hpp"
#include "routing_table.hpp"
#include "work_forwarder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds tick_period{50};
constexpr base::milliseconds member_period{500};
constexpr base::milliseconds rules_period{500};
constexpr base::milliseconds peers_period{1'000};
// The time from the request to stop until balancers have seen that the daemon is unready.
constexpr base::milliseconds unready_period{1'000};

bool belongs_to(const platform::member& vm, const config::cell& cell) {
    if (vm.role == platform::member_role::entry || vm.zone != cell.zone) {
        return false;
    }
    return cell.racks.empty() ||
           std::find(cell.racks.begin(), cell.racks.end(), vm.rack) != cell.racks.end();
}

}  // namespace

class daemon::state final : public mesh::mesh_events,
                            public cell_host_listener,
                            public config_listener,
                            public registry_listener,
                            public peer_sender,
                            public entry::cluster_view {
public:
    state(net::event_loop& loop, const config::daemon_settings& settings, const std::string& secret)
        : loop_(loop),
          self_(make_daemon_id(settings.identity)),
          routes_(self_),
          services_(make_platform_services(settings.platform, settings.identity)),
          table_(services_->make_table_service(loop)),
          members_(services_->make_member_list(loop)),
          host_(settings, self_, loop, *services_, metrics_, *this),
          config_(settings, self_, *table_, clock_, metrics_, *this),
          forwarder_(config_, routes_, host_, *this, metrics_, clock_),
          api_({config_, config_, forwarder_, *this, metrics_, clock_,
                settings.limits.max_open_requests}),
          http_(loop, settings.listen.http,
                {settings.limits.max_body, settings.limits.max_headers,
                 settings.limits.slow_sender_timeout},
                api_),
          mesh_(mesh::make_websocket_mesh(loop, mesh_settings_of(settings, self_, secret), *this,
                                          metrics_, clock_)),
          registry_(ownership_settings_of(settings, self_, mesh_->listen_endpoint(),
                                          http_.listen_endpoint()),
                    *table_, *this, clock_, metrics_, *this) {
        for (const auto reason : base::all_refusal_reasons()) {
            metrics_.count("cranberrydock_refusals_total",
                           "reason=\"" + std::string(to_string(reason)) + "\"", 0);
        }
        for (const auto promise : cell::all_promises()) {
            metrics_.count("cranberrydock_promises_broken_total",
                           "promise=\"" + to_string(promise) + "\"", 0);
        }
        timers_.push_back(loop.every(tick_period, [this] { tick(); }));
        timers_.push_back(loop.every(member_period, [this] { read_members(); }));
        timers_.push_back(loop.every(rules_period, [this] { publish_rules(); }));
        timers_.push_back(loop.every(peers_period, [this] { publish_peers(); }));
        tick();
        read_members();
        spdlog::info("event=started daemon={} http={} mesh={}", self_.str(),
                     http_.listen_endpoint().text(), mesh_->listen_endpoint().text());
    }

    net::endpoint http_address() const { return http_.listen_endpoint(); }

    void stop() {
        if (stopping_) {
            return;
        }
        stopping_ = true;
        spdlog::info("event=stopping daemon={}", self_.str());
        timers_.push_back(loop_.after(unready_period, [this] { release_cells(); }));
    }

    // ---- Mesh

    void on_message(const base::daemon_id& from, mesh::message incoming) override {
        registry_.on_peer_alive(from);
        std::visit([this, &from](const auto& message) { receive(from, message); }, incoming);
    }

    void on_link(const base::daemon_id& peer, bool up) override {
        spdlog::info("event=link peer={} up={}", peer.str(), up);
        if (up) {
            forwarder_.on_peer_linked(peer);
            return;
        }
        usage_.forget(peer);
        routes_.forget(peer);
        forwarder_.on_peer_lost(peer);
    }

    mesh::heartbeat current_state() override {
        mesh::heartbeat out;
        const auto current = config_.current();
        out.version = current ? current->version : base::config_version(0);
        out.ready = !stopping_;
        for (const auto& it : routes_.owned()) {
            out.owned.push_back({it.cell, it.epoch});
        }
        out.usage = usage_.own();
        return out;
    }

    bool send(const base::daemon_id& recipient, const mesh::message& outgoing) override {
        return mesh_ != nullptr && mesh_->send(recipient, outgoing);
    }

    mesh::round_trip_summary round_trips(const base::daemon_id& peer) const override {
        for (const auto& it : mesh_->links()) {
            if (it.peer == peer) {
                return it.round_trips;
            }
        }
        return {};
    }

    // ---- Cells

    void on_reply(cell::reply_id request_id, const base::work_outcome& outcome,
                  const std::vector<base::trace_step>& trace) override {
        forwarder_.on_reply(request_id, outcome, trace);
    }

    void on_drained(const base::cell_id& cell) override {
        routes_.remove_owned(cell);
        host_.remove_cell(cell);
        usage_.forget(cell);
        forwarder_.on_cell_lost(cell);
        registry_.on_drained(cell);
    }

    void on_superseded(const base::cell_id& cell, base::epoch seen_epoch) override {
        spdlog::warn("event=superseded cell={} seen_epoch={}", cell.str(), seen_epoch.value());
    }

    void on_loads(const base::cell_id& cell, const std::vector<policy::team_load>& loads) override {
        if (routes_.owned_here(cell)) {
            usage_.set(cell, loads);
        }
    }

    void on_gained(const cell_start& start) override {
        routes_.add_owned(start.cell, start.epoch);
        host_.add_cell(start);
        publish_vms();
        publish_rules();
        host_.extend_evidence(start.cell, registry_.evidence_until(start.cell));
    }

    void on_lost(const base::cell_id& cell) override {
        routes_.remove_owned(cell);
        usage_.forget(cell);
        host_.remove_cell(cell);
        forwarder_.on_cell_lost(cell);
    }

    void on_drain_requested(const base::cell_id& cell) override { host_.drain(cell); }

    void on_routes(const cell::routes_changed& routes) override {
        routes_.update(routes);
        publish_peers();
    }

    void on_stopped() override {
        registry_stopped_ = true;
        // The other daemons scan the registry now instead of at their next period.
        for (const auto& it : mesh_->links()) {
            mesh_->send(it.peer, mesh::cells_offered{});
        }
    }

    // ---- Configuration

    void on_configuration(const config::configuration_ptr& current) override {
        registry_.set_cells(*current);
        publish_vms();
        publish_rules();
    }

    void announce(const base::daemon_id& recipient,
                  const mesh::config_announcement& announcement) override {
        if (!recipient.empty()) {
            mesh_->send(recipient, announcement);
            return;
        }
        for (const auto& it : mesh_->links()) {
            mesh_->send(it.peer, announcement);
        }
    }

    // ---- Views for operators

    std::vector<entry::cell_status> cells() const override {
        std::vector<entry::cell_status> out;
        const auto current = config_.current();
        if (!current) {
            return out;
        }
        for (const auto& it : current->cells) {
            const auto owner = routes_.owner(it.id);
            entry::cell_status status;
            status.cell = it.id;
            status.owner = owner.value_or(base::daemon_id{});
            status.owned_here = routes_.owned_here(it.id);
            for (const auto& row : routes_.routes().cells) {
                status.epoch = row.id == it.id ? row.epoch : status.epoch;
            }
            out.push_back(status);
        }
        return out;
    }

    std::vector<entry::link_view> links() const override {
        std::vector<entry::link_view> out;
        for (const auto& it : mesh_->links()) {
            out.push_back({it.peer, it.up, it.round_trip});
        }
        return out;
    }

    void vms(entry::vms_callback done) override { host_.vms(std::move(done)); }
    void drain(const base::vm_id& vm, bool drain) override { host_.drain_vm(vm, drain); }
    void promises(entry::promises_callback done) override {
        host_.promises([fleet_wide = promise_monitor_.broken(),
                        done = std::move(done)](std::vector<cell::broken_promise> all) {
            all.insert(all.end(), fleet_wide.begin(), fleet_wide.end());
            done(std::move(all));
        });
    }
    bool ready() const override { return !stopping_ && config_.current() != nullptr; }

private:
    void release_cells() {
        cells_released_ = true;
        registry_.release_cells();
    }

    // Deletes the registry row only after all open requests have been answered: other daemons close
    // their links to this daemon with the row, and the answers come over these links.
    void stop_when_idle() {
        if (cells_released_ && api_.open_requests() == 0) {
            registry_.stop();
        }
        if (registry_stopped_ && api_.open_requests() == 0) {
            spdlog::info("event=stopped daemon={}", self_.str());
            loop_.stop();
        }
    }

    void receive(const base::daemon_id& from, const mesh::heartbeat& received) {
        usage_.set(from, received.usage);
        routes_.set_claims(from, received.owned);
        promise_monitor_.check_version(from, received.version);
        config_.on_peer_version(from, received.version);
    }
    void receive(const base::daemon_id& from, const mesh::submit_work& request) {
        forwarder_.on_submit(from, request);
    }
    void receive(const base::daemon_id& /*from*/, const mesh::work_result& result) {
        forwarder_.on_result(result);
    }
    void receive(const base::daemon_id& from, const mesh::job_query& request) {
        forwarder_.on_query(from, request);
    }
    void receive(const base::daemon_id& /*from*/, const mesh::job_reply& reply) {
        forwarder_.on_job_reply(reply);
    }
    void receive(const base::daemon_id& /*from*/, const mesh::config_announcement& announcement) {
        config_.on_announcement(announcement);
    }
    void receive(const base::daemon_id& from, const mesh::hold_off_request& request) {
        registry_.on_hold_off_request(from, request);
    }
    void receive(const base::daemon_id& from, const mesh::hold_off_answer& answer) {
        registry_.on_hold_off_answer(from, answer);
    }
    void receive(const base::daemon_id& /*from*/, const mesh::cells_offered& /*offer*/) {
        registry_.on_cells_offered();
    }

    void tick() {
        config_.tick();
        registry_.tick();
        forwarder_.tick();
        for (const auto& it : routes_.owned()) {
            host_.extend_evidence(it.cell, registry_.evidence_until(it.cell));
        }
        stop_when_idle();
    }

    void read_members() {
        members_->read([this](const auto& members) {
            if (!members) {
                return;
            }
            listed_members_ = *members;
            std::vector<base::vm_id> daemon_vms;
            for (const auto& it : listed_members_) {
                if (it.role == platform::member_role::entry) {
                    daemon_vms.push_back(it.id);
                }
            }
            registry_.set_daemon_vms(std::move(daemon_vms));
            publish_vms();
        });
    }

    // Sets the mesh's peers: the daemons of the registry, and those whose row has expired while
    // their link is up. A daemon that can't reach the store, but can reach its peers, still serves
    // callers and receives reports of takeovers.
    void publish_peers() {
        std::vector<mesh::peer> next_peers;
        for (const auto& it : routes_.routes().daemons) {
            if (it.id != self_) {
                next_peers.push_back({it.id, it.mesh_address});
            }
        }
        const auto current_links = mesh_->links();
        for (const auto& it : peers_) {
            const bool listed = std::any_of(next_peers.begin(), next_peers.end(),
                                            [&](const auto& other) { return other.id == it.id; });
            const bool link_up =
                std::any_of(current_links.begin(), current_links.end(),
                            [&](const auto& link) { return link.peer == it.id && link.up; });
            if (!listed && link_up) {
                next_peers.push_back(it);
            }
        }
        peers_ = std::move(next_peers);
        mesh_->set_peers(peers_);
    }

    void publish_vms() {
        const auto current = config_.current();
        if (!current) {
            return;
        }
        for (const auto& owned : routes_.owned()) {
            const config::cell* const cell = current->find_cell(owned.cell);
            if (cell == nullptr) {
                continue;
            }
            std::vector<platform::member> vms;
            for (const auto& it : listed_members_) {
                if (belongs_to(it, *cell)) {
                    vms.push_back(it);
                }
            }
            host_.set_vms(owned.cell, std::move(vms));
        }
    }

    void publish_rules() {
        const auto current = config_.current();
        if (!current) {
            return;
        }
        for (const auto& it : routes_.owned()) {
            host_.set_limits(it.cell, limits_for(*current, it.cell));
            host_.set_rules(it.cell, rules_for(*current, usage_.elsewhere(it.cell)));
        }
        promise_monitor_.check_usage(*current, usage_, clock_.now());
    }

    net::event_loop& loop_;
    const base::daemon_id self_;
    base::monotonic_clock clock_;
    base::metrics metrics_;
    routing_table routes_;
    std::unique_ptr<platform_services> services_;
    std::unique_ptr<platform::table_service> table_;
    std::unique_ptr<platform::member_list> members_;
    cell_host host_;
    config_manager config_;
    work_forwarder forwarder_;
    entry::api_server api_;
    net::http_server http_;
    std::unique_ptr<mesh::mesh> mesh_;
    registry_manager registry_;
    std::vector<mesh::peer> peers_;  // as last passed to the mesh
    std::vector<platform::member> listed_members_;
    fleet_usage usage_;
    fleet_promise_monitor promise_monitor_{metrics_};
    std::vector<std::unique_ptr<net::timer>> timers_;
    bool stopping_ = false;
    bool cells_released_ = false;  // at the end of the unready period
    bool registry_stopped_ = false;
};

daemon::daemon(net::event_loop& loop, const config::daemon_settings& settings,
               const std::string& mesh_secret)
    : state_(std::make_unique<state>(loop, settings, mesh_secret)) {}

daemon::~daemon() = default;

net::endpoint daemon::http_address() const {
    return state_->http_address();
}

void daemon::stop() {
    state_->stop();
}

}  // namespace cranberrydock::daemon
