// Simulated daemons of a region in one process. They follow one table of a store; some read it for
// the others.
#pragma once

#include <cranberrydock/fleet_daemon/table_follower.hpp>
#include <cranberrydock/fleet_daemon/zone_reader.hpp>

#include "unresponsive_peer.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

class following_daemon final : public unresponsive_peer, public fleet_daemon::table_listener {
public:
    following_daemon(net::event_loop& loop, fleet::row_store& store, const std::string& name,
                     const fleet::zone_name& own_zone, const std::set<fleet::zone_name>& region,
                     double cores)
        : loop_(loop),
          zone(store, name, own_zone, region, cores, metrics_),
          feed_(loop, [this] { return has_recent_update(); }),
          follower_(loop, zone, fleet::table_name("configuration"), {fleet::partition_name("")},
                    base::milliseconds{1'000}, base::milliseconds{0}, *this,
                    fleet_daemon::catch_up::by_full_read) {}

    void follow_configuration(fleet::store_version after, base::milliseconds wait,
                              fleet::read_callback done) override {
        if (unresponsive) {
            constexpr base::milliseconds extra_delay{300};
            timers_.push_back(loop_.after(wait + extra_delay, [done] {
                done(tl::unexpected(fleet::store_error{fleet::store_failure::answer_lost, {}}));
            }));
        } else if (zone.serves_other_daemons()) {
            feed_.follow(after, wait, done);
        } else {
            done(tl::unexpected(fleet::store_error{fleet::store_failure::refused, {}}));
        }
    }

    void start() { follower_.start(); }
    void on_table(const std::vector<fleet::stored_row>& rows) override { on_changes(rows); }
    void on_changes(const std::vector<fleet::stored_row>& rows) override {
        if (!lagging) {
            feed_.update(rows, follower_.delivered_version());
        }
        for (const auto& it : rows) {
            if (first_version.value() == 0) {
                first_version = it.version;
            }
            newest_version = std::max(newest_version, it.version);
        }
    }
    void on_up_to_date() override {}
    void on_unavailable() override {}

    bool unresponsive = false;  // fails follow_configuration() with answer_lost after its wait
    bool lagging = false;  // passes no changes on, as a reader whose read of the store takes long
    fleet::store_version first_version;   // of the first row received
    fleet::store_version newest_version;  // the newest one received

private:
    bool has_recent_update() const {
        constexpr base::milliseconds max_age{2'500};
        return !lagging && clock_.now() - zone.store_read_as_of() <= max_age;
    }

    net::event_loop& loop_;
    base::suspend_aware_clock clock_;
    base::metrics metrics_;
    std::vector<std::unique_ptr<net::timer>> timers_;

public:
    fleet_daemon::zone_reader zone;

private:
    fleet_daemon::shared_feed feed_;
    fleet_daemon::table_follower follower_;
};

// The daemons of a region. Each has the others on record as relay candidates.
class following_daemons {
public:
    following_daemons(net::event_loop& loop, fleet::row_store& store,
                      std::set<fleet::zone_name> zones)
        : loop_(loop), store_(store), zones_(std::move(zones)) {}

    // Adds `count` daemons; the first `readers` of them have the most cores, so that they are
    // chosen as readers.
    void add_zone(const fleet::zone_name& zone, std::size_t count, std::size_t readers) {
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name = zone.str() + std::to_string(100 + i);
            const double cores = i < readers ? 0.5 : 0.12;
            daemons.push_back(
                std::make_shared<following_daemon>(loop_, store_, name, zone, zones_, cores));
            candidates_[name] = {daemons.back(), zone, cores};
        }
    }

    void start() {
        for (const auto& it : candidates_) {
            auto others = candidates_;
            others.erase(it.first);
            std::static_pointer_cast<following_daemon>(it.second.connection)
                ->zone.set_daemons(others);
        }
        for (const auto& it : daemons) {
            it->start();
        }
    }

    // Starts one more daemon with fewer cores than the others. They do not have it on record.
    following_daemon& start_late_daemon(const fleet::zone_name& zone) {
        constexpr double late_strength = 0.06;
        daemons.push_back(std::make_shared<following_daemon>(loop_, store_, zone.str() + "-late",
                                                             zone, zones_, late_strength));
        daemons.back()->zone.set_daemons(candidates_);
        daemons.back()->start();
        return *daemons.back();
    }

    // The number of daemons whose newest version is `version`.
    std::size_t count_at_version(fleet::store_version version) const {
        return static_cast<std::size_t>(
            std::count_if(daemons.begin(), daemons.end(),
                          [&](const auto& it) { return it->newest_version == version; }));
    }

    std::vector<std::shared_ptr<following_daemon>> daemons;

private:
    net::event_loop& loop_;
    fleet::row_store& store_;
    std::set<fleet::zone_name> zones_;
    std::map<std::string, fleet_daemon::relay_candidate> candidates_;
};

}  // namespace cranberrydock::standins
