// The store, reached directly or through a peer.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/steward/relayed_store.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::steward {
namespace {

// So many failures in a row, and no success for so long, mean that a way does not work; single ones
// happen under load.
constexpr int failures_until_avoided = 2;
constexpr base::milliseconds silence_until_avoided{800};
constexpr base::milliseconds avoid_direct{700};
constexpr base::milliseconds avoid_peer{1'000};
constexpr int most_avoided_times = 3;  // longer the more often in a row a way has failed
const char* const direct_way = "";

// Nothing was done, or nothing is known: the way may be to blame.
bool failed(fleet::store_failure failure) {
    return failure == fleet::store_failure::refused || failure == fleet::store_failure::answer_lost;
}

}  // namespace

relayed_store::relayed_store(fleet::row_store& direct, std::string name, base::metrics& metrics)
    : direct_(direct), name_(std::move(name)), metrics_(metrics) {}

void relayed_store::set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers) {
    peers_ = peers;
}

relayed_store::way relayed_store::choose() {
    const auto now = clock_.now();
    if (now >= records_[direct_way].avoid_until) {
        return {direct_way, &direct_, nullptr};
    }
    const auto usable = [&](const auto& it) { return now >= records_[it.first].avoid_until; };
    auto it = peers_.find(relay_);
    if (it == peers_.end() || !usable(*it)) {
        it = peers_.end();
        std::uint64_t best = 0;
        for (auto one = peers_.begin(); one != peers_.end(); ++one) {
            const auto weight = base::rendezvous_weight(name_, one->first);
            if (usable(*one) && (it == peers_.end() || weight > best)) {
                it = one;
                best = weight;
            }
        }
    }
    if (it == peers_.end()) {
        return {direct_way, &direct_, nullptr};
    }
    if (relay_ != it->first) {
        relay_ = it->first;
        spdlog::info("event=store_relayed through={}", relay_);
    }
    metrics_.count("cranberrydock_store_calls_relayed_total", "");
    return {it->first, it->second.get(), it->second};
}

bool relayed_store::direct_works() const {
    const auto direct = records_.find(direct_way);
    return direct == records_.end() || direct->second.failures == 0;
}

void relayed_store::note(const std::string& name, bool worked) {
    record& one = records_[name];
    if (worked) {
        one = {};
        one.worked = clock_.now();
        return;
    }
    if (++one.failures >= failures_until_avoided &&
        clock_.now() - one.worked >= silence_until_avoided) {
        const int times = std::min(one.failures - 1, most_avoided_times);
        one.avoid_until = clock_.now() + (name.empty() ? avoid_direct : avoid_peer) * times;
    }
}

void relayed_store::commit(const fleet::row_transaction& what, base::milliseconds timeout,
                           fleet::commit_done done) {
    const way chosen = choose();
    chosen.store->commit(
        what, timeout, lifetime_.guard([this, chosen, done = std::move(done)](const auto& answer) {
            note(chosen.name, answer || !failed(answer.error().failure));
            done(answer);
        }));
}

void relayed_store::read(const fleet::table_name& table, const fleet::part_name& part,
                         const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
                         fleet::read_done done) {
    const way chosen = choose();
    chosen.store->read(table, part, from, limit, timeout,
                       lifetime_.guard([this, chosen, done = std::move(done)](const auto& answer) {
                           note(chosen.name, answer || !failed(answer.error().failure));
                           done(answer);
                       }));
}

void relayed_store::follow(const fleet::table_name& table, fleet::store_version after,
                           base::milliseconds wait, fleet::read_done done) {
    const way chosen = choose();
    chosen.store->follow(
        table, after, wait,
        lifetime_.guard([this, chosen, done = std::move(done)](const auto& answer) {
            note(chosen.name, answer || !failed(answer.error().failure));
            done(answer);
        }));
}

}  // namespace cranberrydock::steward
