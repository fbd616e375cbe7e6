// The store, reached directly or, while it turns this daemon away, through a peer that it serves.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/steward/lifetime.hpp>
#include <cranberrydock/steward/peer_calls.hpp>

#include <map>
#include <memory>
#include <string>

namespace cranberrydock::steward {

class relayed_store final : public fleet::row_store {
public:
    // `name`: of this daemon's VM. Daemons that are turned away together go through different
    // peers.
    relayed_store(fleet::row_store& direct, std::string name, base::metrics& metrics);

    void set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers);

    // Whether the store has answered this daemon itself since it last left a call unanswered.
    bool direct_works() const;

    void commit(const fleet::row_transaction& what, base::milliseconds timeout,
                fleet::commit_done done) override;
    void read(const fleet::table_name& table, const fleet::part_name& part,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_done done) override;
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_done done) override;

private:
    struct way {
        std::string name;  // of the peer; empty: directly
        fleet::row_store* store = nullptr;
        std::shared_ptr<peer> keeps;
    };
    way choose();
    void note(const std::string& name, bool worked);

    struct record {
        int failures = 0;           // in a row
        base::time_point worked{};  // when it last did
        base::time_point avoid_until{};
    };

    fleet::row_store& direct_;
    std::string name_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, std::shared_ptr<peer>> peers_;
    std::map<std::string, record> records_;
    std::string relay_;  // the peer in use while the store turns this daemon away
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
