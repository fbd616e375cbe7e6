// Maintains the configuration in force at this daemon: runs the version chain against the
// platform's table service and the mesh.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/config/version_chain.hpp>
#include <cranberrydock/entry/daemon_interfaces.hpp>
#include <cranberrydock/mesh/messages.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberrydock::daemon {

// Receives the changes of the configuration, and sends the announcements for other daemons.
class config_listener {
public:
    virtual ~config_listener() = default;
    virtual void on_configuration(const config::configuration_ptr& current) = 0;
    // An empty `recipient` stands for every daemon.
    virtual void announce(const base::daemon_id& recipient,
                          const mesh::config_announcement& announcement) = 0;
};

class config_manager final : public entry::configuration_source,
                             public entry::configuration_editor {
public:
    config_manager(const config::daemon_settings& settings, const base::daemon_id& self,
                   platform::table_service& table, const base::clock& clock, base::metrics& metrics,
                   config_listener& listener);

    config::configuration_ptr current() const override { return chain_.in_force(); }
    bool fresh() const override;

    void patch(const entry::patch_request& request, entry::patch_callback done) override;
    entry::version_document newest() const override;
    void list(base::config_version after, std::size_t limit,
              entry::versions_callback done) override;

    void tick();
    void on_announcement(const mesh::config_announcement& announcement);
    // The version in force at another daemon, from its heartbeat.
    void on_peer_version(const base::daemon_id& peer, base::config_version version);

private:
    void handle(const config::chain_event& event);
    void carry_out(const config::read_row& effect);
    void carry_out(const config::commit_rows& effect);
    void carry_out(const config::version_in_force& effect);
    void carry_out(const config::version_unreadable& effect);
    void carry_out(const config::patch_finished& effect);
    void carry_out(const config::announce_version& effect);
    void carry_out(const config::outage_answer& effect);

    config::version_chain chain_;
    platform::table_service& table_;
    const base::clock& clock_;
    base::metrics& metrics_;
    config_listener& listener_;
    std::int64_t next_call_ = 1;
    std::map<std::int64_t, entry::patch_callback> patches_;
    // Callbacks hold a weak pointer to it, so that they do nothing after the destruction.
    std::shared_ptr<config_manager*> self_ = std::make_shared<config_manager*>(this);
};

}  // namespace cranberrydock::daemon
