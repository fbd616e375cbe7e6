// Reads a table through a few daemons of each zone.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/fleet_daemon/zone_reader.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

// The daemons of smaller zones all read from the store.
constexpr std::size_t min_daemons = 4;
constexpr std::size_t daemons_per_reader = 8;
// Longest time for which a reader may keep a query open: short enough that a suspended reader is
// detected, and the store queried instead, in time.
constexpr base::milliseconds max_wait{500};
constexpr base::milliseconds avoid_after_failure{2'000};
// While the readers are behind, fallback readers do not query the store for this long.
constexpr base::milliseconds max_time_without_update{5'000};
// The order in which readers are tried.
constexpr int own_readers_rank = 0;
constexpr int other_readers_rank = 1;
constexpr int fallback_readers_rank = 2;
const fleet::store_version nothing_known(0);

struct named_daemon {
    std::string name;
    double cores = 0;
};

struct zone_roles {
    std::vector<named_daemon> readers;
    std::vector<named_daemon> fallback_readers;
};

// One in eight daemons, those with the most cores, are readers. As many of the next ones are
// fallback readers.
zone_roles assign_roles(std::vector<named_daemon> daemons) {
    zone_roles out;
    if (daemons.size() < min_daemons) {
        return out;
    }
    std::sort(daemons.begin(), daemons.end(), [](const auto& a, const auto& b) {
        return a.cores != b.cores ? a.cores > b.cores : a.name < b.name;
    });
    const std::size_t n = (daemons.size() + daemons_per_reader - 1) / daemons_per_reader;
    for (std::size_t i = 0; i < std::min(2 * n, daemons.size()); ++i) {
        (i < n ? out.readers : out.fallback_readers).push_back(daemons[i]);
    }
    return out;
}

bool contains(const std::vector<named_daemon>& daemons, const std::string& name) {
    return std::any_of(daemons.begin(), daemons.end(),
                       [&](const auto& it) { return it.name == name; });
}

}  // namespace

zone_reader::zone_reader(fleet::row_store& store, std::string name, fleet::zone_name zone,
                         std::set<fleet::zone_name> region, double cores, base::metrics& metrics)
    : store_(store),
      name_(std::move(name)),
      zone_(std::move(zone)),
      region_(std::move(region)),
      cores_(cores),
      metrics_(metrics) {}

void zone_reader::set_daemons(const std::map<std::string, relay_candidate>& others) {
    std::map<fleet::zone_name, std::vector<named_daemon>> zones;
    zones[zone_].push_back({name_, cores_});
    for (const auto& it : others) {
        const auto& zone = it.second.zone;
        if (!zone.empty() && (zone == zone_ || region_.count(zone) > 0)) {
            zones[zone].push_back({it.first, it.second.cores});
        }
    }
    const auto previous = std::exchange(readers_, {});
    const auto own_roles = assign_roles(zones[zone_]);
    const bool is_reader = contains(own_roles.readers, name_);
    is_fallback_reader_ = contains(own_roles.fallback_readers, name_);
    reads_for_others_ = is_reader || is_fallback_reader_;
    if (own_roles.readers.empty() || is_reader) {
        return;
    }
    const auto add = [&](const std::vector<named_daemon>& daemons, int rank) {
        for (const auto& it : daemons) {
            const auto previous_reader = previous.find(it.name);
            readers_[it.name] = {others.at(it.name).connection, rank,
                                 previous_reader == previous.end()
                                     ? base::time_point{}
                                     : previous_reader->second.avoid_until};
        }
    };
    for (const auto& zone : zones) {
        const auto roles = assign_roles(zone.second);
        add(roles.readers, zone.first == zone_ ? own_readers_rank : other_readers_rank);
        if (!is_fallback_reader_) {
            add(roles.fallback_readers, fallback_readers_rank);
        }
    }
}

void zone_reader::commit(const fleet::row_transaction& transaction, base::milliseconds timeout,
                         fleet::commit_callback done) {
    store_.commit(transaction, timeout, std::move(done));
}

void zone_reader::read(const fleet::table_name& table, const fleet::partition_name& partition,
                       const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
                       fleet::read_callback done) {
    query_next(std::make_shared<read_request>(
        read_request{nothing_known,
                     timeout,
                     [=](fleet::read_callback store_done) {
                         store_.read(table, partition, from, limit, timeout, std::move(store_done));
                     },
                     std::move(done),
                     {},
                     false}));
}

void zone_reader::follow(const fleet::table_name& table, fleet::store_version after,
                         base::milliseconds wait, fleet::read_callback done) {
    query_next(std::make_shared<read_request>(read_request{after,
                                                           wait,
                                                           [=](fleet::read_callback store_done) {
                                                               store_.follow(table, after, wait,
                                                                             std::move(store_done));
                                                           },
                                                           std::move(done),
                                                           {},
                                                           false}));
}

// Chooses by rank. Within a rank each daemon prefers the readers in a different order, which
// distributes the load.
zone_reader::readers::const_iterator zone_reader::choose(const std::set<std::string>& tried) const {
    auto best = readers_.end();
    std::uint64_t best_weight = 0;
    for (auto it = readers_.begin(); it != readers_.end(); ++it) {
        const auto weight = base::rendezvous_weight(name_, it->first);
        const bool usable = clock_.now() >= it->second.avoid_until && tried.count(it->first) == 0;
        if (usable && (best == readers_.end() || it->second.rank < best->second.rank ||
                       (it->second.rank == best->second.rank && weight > best_weight))) {
            best = it;
            best_weight = weight;
        }
    }
    return best;
}

void zone_reader::query_next(const std::shared_ptr<read_request>& request) {
    const auto chosen = choose(request->tried);
    if (chosen != readers_.end()) {
        const std::string& name = *request->tried.insert(chosen->first).first;
        chosen->second.connection->follow_configuration(
            request->after, std::min(request->wait, max_wait),
            lifetime_.guard([this, request, name](const auto& answer) {
                if (answer) {
                    last_answer_ = clock_.now();
                    request->done(answer);
                    return;
                }
                on_reader_failed(name, *request, answer.error().failure);
                query_next(request);
            }));
        return;
    }
    const bool has_waited =
        is_fallback_reader_ && clock_.now() - last_answer_ >= max_time_without_update;
    if (request->any_reader_behind && !has_waited) {
        request->done(tl::unexpected(fleet::store_error{fleet::store_failure::stale_peer, {}}));
        return;
    }
    query_store(*request);
}

void zone_reader::query_store(const read_request& request) {
    const auto sent = clock_.now();
    request.query_store(lifetime_.guard([this, sent, done = request.done](const auto& answer) {
        if (answer) {
            last_answer_ = clock_.now();
            store_read_as_of_ = sent;
        }
        done(answer);
    }));
}

void zone_reader::on_reader_failed(const std::string& name, read_request& request,
                                   fleet::store_failure failure) {
    metrics_.count("cranberrydock_zone_reader_failures_total",
                   std::string("reason=\"") + fleet::to_string(failure) + "\"");
    base::milliseconds avoid_for{0};
    if (failure == fleet::store_failure::stale_peer) {
        request.any_reader_behind = true;
    } else {
        avoid_for = avoid_after_failure;
        const auto it = readers_.find(name);
        if (it != readers_.end()) {
            it->second.avoid_until = clock_.now() + avoid_for;
        }
    }
    if (!failure_log_limiter_.allows(clock_.now())) {
        return;
    }
    spdlog::info(
        "event=zone_reader_failed reader={} reason={} avoid_for_ms={} news_age_ms={}", name,
        fleet::to_string(failure), avoid_for.count(),
        std::chrono::duration_cast<base::milliseconds>(clock_.now() - last_answer_).count());
}

void shared_feed::update(const std::vector<fleet::stored_row>& rows, fleet::store_version version) {
    for (const auto& it : rows) {
        auto& stored = rows_[it.address.name.str()];
        // The row may have come from another reader with an older copy.
        if (it.version >= stored.version) {
            stored = it;
        }
    }
    version_ = std::max(version_, version);
    std::list<query> answered;
    for (auto it = open_.begin(); it != open_.end();) {
        const auto next = std::next(it);
        if (has_changes_after(it->after)) {
            answered.splice(answered.end(), open_, it);
        }
        it = next;
    }
    for (const auto& it : answered) {
        it.done(changes_after(it.after));
    }
}

void shared_feed::follow(fleet::store_version after, base::milliseconds wait,
                         const fleet::read_callback& done) {
    const auto added = open_.insert(open_.end(), {after, done, nullptr});
    // A query with `after` 0 waits even if the copy is old: when many daemons start at the same
    // time, a reader will soon have read the table.
    const bool is_stale = after > nothing_known && !is_recent_();
    const bool at_once = has_changes_after(after) || is_stale;
    added->timeout = loop_.after(at_once ? base::milliseconds{0} : wait, [this, added] {
        const query closed = std::move(*added);
        open_.erase(added);
        if (has_changes_after(closed.after) || is_recent_()) {
            closed.done(changes_after(closed.after));
        } else {
            closed.done(tl::unexpected(fleet::store_error{fleet::store_failure::stale_peer, {}}));
        }
    });
}

bool shared_feed::has_changes_after(fleet::store_version after) const {
    const bool any_changed = std::any_of(rows_.begin(), rows_.end(),
                                         [&](const auto& it) { return it.second.version > after; });
    return any_changed && (after > nothing_known || is_recent_());
}

fleet::rows_read shared_feed::changes_after(fleet::store_version after) const {
    fleet::rows_read out;
    // Never less than `after`: the querying daemon may have newer rows than this one.
    out.version = std::max(version_, after);
    for (const auto& it : rows_) {
        if (it.second.version > after) {
            out.rows.push_back(it.second);
        }
    }
    std::sort(out.rows.begin(), out.rows.end(),
              [](const auto& a, const auto& b) { return a.version < b.version; });
    return out;
}

}  // namespace cranberrydock::fleet_daemon
