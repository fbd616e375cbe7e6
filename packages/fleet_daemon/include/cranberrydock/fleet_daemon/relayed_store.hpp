// The store over this daemon's own connection or, while that does not work, through a peer whose
// connection works.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>

#include <map>
#include <memory>
#include <string>

namespace cranberrydock::fleet_daemon {

class relayed_store final : public fleet::row_store {
public:
    // `name` is the name of this daemon's VM. It determines the order in which peers are tried, so
    // that daemons which lose their connections together use different peers.
    relayed_store(fleet::row_store& direct, std::string name, base::metrics& metrics);

    void set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers);

    // Whether the store answered the last direct call, if any was made.
    bool direct_path_works() const;

    void commit(const fleet::row_transaction& transaction, base::milliseconds timeout,
                fleet::commit_callback done) override;
    void read(const fleet::table_name& table, const fleet::partition_name& partition,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_callback done) override;
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_callback done) override;

private:
    // A path to the store.
    struct path {
        std::string name;  // of the peer; empty for the direct path
        fleet::row_store* store = nullptr;
        std::shared_ptr<peer> peer_reference;  // keeps `store` alive
    };
    path choose();
    void record_result(const std::string& name, bool succeeded);

    struct path_health {
        int failures = 0;  // consecutive
        base::time_point last_success{};
        base::time_point avoid_until{};
    };

    fleet::row_store& direct_;
    std::string name_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, std::shared_ptr<peer>> peers_;
    std::map<std::string, path_health> health_;  // by path name
    std::string relay_;                          // the peer in use while the direct path is avoided
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
