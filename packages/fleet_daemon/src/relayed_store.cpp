// The store, over this daemon's own connection or through a peer.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/fleet_daemon/relayed_store.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

// A path counts as broken after this many consecutive failures and this long without a success.
// Single failures happen under load.
constexpr int failures_until_avoided = 2;
constexpr base::milliseconds min_time_without_success{800};
constexpr base::milliseconds direct_avoidance{700};
constexpr base::milliseconds peer_avoidance{1'000};
// The time for which a path is avoided grows with its consecutive failures, up to this multiple.
constexpr int max_avoidance_factor = 3;
const char* const direct_path = "";

// Whether the path may have caused the failure: the call was not executed, or its outcome is
// unknown.
bool failed(fleet::store_failure failure) {
    return failure == fleet::store_failure::refused || failure == fleet::store_failure::answer_lost;
}

}  // namespace

relayed_store::relayed_store(fleet::row_store& direct, std::string name, base::metrics& metrics)
    : direct_(direct), name_(std::move(name)), metrics_(metrics) {}

void relayed_store::set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers) {
    peers_ = peers;
}

relayed_store::path relayed_store::choose() {
    const auto now = clock_.now();
    if (now >= health_[direct_path].avoid_until) {
        return {direct_path, &direct_, nullptr};
    }
    const auto usable = [&](const auto& it) { return now >= health_[it.first].avoid_until; };
    auto it = peers_.find(relay_);
    if (it == peers_.end() || !usable(*it)) {
        it = peers_.end();
        std::uint64_t best_weight = 0;
        for (auto candidate = peers_.begin(); candidate != peers_.end(); ++candidate) {
            const auto weight = base::rendezvous_weight(name_, candidate->first);
            if (usable(*candidate) && (it == peers_.end() || weight > best_weight)) {
                it = candidate;
                best_weight = weight;
            }
        }
    }
    if (it == peers_.end()) {
        return {direct_path, &direct_, nullptr};
    }
    if (relay_ != it->first) {
        relay_ = it->first;
        spdlog::info("event=store_relayed through={}", relay_);
    }
    metrics_.count("cranberrydock_store_calls_relayed_total", "");
    return {it->first, it->second.get(), it->second};
}

bool relayed_store::direct_path_works() const {
    const auto direct = health_.find(direct_path);
    return direct == health_.end() || direct->second.failures == 0;
}

void relayed_store::record_result(const std::string& name, bool succeeded) {
    path_health& health = health_[name];
    if (succeeded) {
        health = {};
        health.last_success = clock_.now();
        return;
    }
    if (++health.failures >= failures_until_avoided &&
        clock_.now() - health.last_success >= min_time_without_success) {
        const int factor = std::min(health.failures - 1, max_avoidance_factor);
        health.avoid_until =
            clock_.now() + (name.empty() ? direct_avoidance : peer_avoidance) * factor;
    }
}

void relayed_store::commit(const fleet::row_transaction& transaction, base::milliseconds timeout,
                           fleet::commit_callback done) {
    const path chosen = choose();
    chosen.store->commit(
        transaction, timeout,
        lifetime_.guard([this, chosen, done = std::move(done)](const auto& answer) {
            record_result(chosen.name, answer || !failed(answer.error().failure));
            done(answer);
        }));
}

void relayed_store::read(const fleet::table_name& table, const fleet::partition_name& partition,
                         const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
                         fleet::read_callback done) {
    const path chosen = choose();
    chosen.store->read(table, partition, from, limit, timeout,
                       lifetime_.guard([this, chosen, done = std::move(done)](const auto& answer) {
                           record_result(chosen.name, answer || !failed(answer.error().failure));
                           done(answer);
                       }));
}

void relayed_store::follow(const fleet::table_name& table, fleet::store_version after,
                           base::milliseconds wait, fleet::read_callback done) {
    const path chosen = choose();
    chosen.store->follow(
        table, after, wait,
        lifetime_.guard([this, chosen, done = std::move(done)](const auto& answer) {
            record_result(chosen.name, answer || !failed(answer.error().failure));
            done(answer);
        }));
}

}  // namespace cranberrydock::fleet_daemon
