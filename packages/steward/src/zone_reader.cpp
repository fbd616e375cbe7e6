// Changes of a table, read by a few daemons of each zone for the others.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/steward/zone_reader.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::steward {
namespace {

// Smaller zones read for themselves.
constexpr std::size_t least_daemons = 4;
constexpr std::size_t daemons_per_reader = 8;
// A reader is asked for no longer at a time: if it freezes, that is found out soon enough for the
// store to be asked instead.
constexpr base::milliseconds longest_wait{500};
constexpr base::milliseconds avoid_after_failure{2'000};
// While the readers are behind, their substitutes leave the store to them for so long.
constexpr base::milliseconds longest_without_news{5'000};
// In which order the daemons that read for others are asked.
constexpr int own_readers_turn = 0;
constexpr int other_readers_turn = 1;
constexpr int substitutes_turn = 2;
const fleet::store_version nothing_known(0);

struct named_daemon {
    std::string name;
    double strength = 0;
};

struct zone_roles {
    std::vector<named_daemon> readers;
    std::vector<named_daemon> substitutes;
};

// The strongest read, one of eight; as many of the next strongest stand in for them.
zone_roles roles_among(std::vector<named_daemon> daemons) {
    zone_roles out;
    if (daemons.size() < least_daemons) {
        return out;
    }
    std::sort(daemons.begin(), daemons.end(), [](const auto& a, const auto& b) {
        return a.strength != b.strength ? a.strength > b.strength : a.name < b.name;
    });
    const std::size_t n = (daemons.size() + daemons_per_reader - 1) / daemons_per_reader;
    for (std::size_t i = 0; i < std::min(2 * n, daemons.size()); ++i) {
        (i < n ? out.readers : out.substitutes).push_back(daemons[i]);
    }
    return out;
}

bool contains(const std::vector<named_daemon>& daemons, const std::string& name) {
    return std::any_of(daemons.begin(), daemons.end(),
                       [&](const auto& it) { return it.name == name; });
}

}  // namespace

zone_reader::zone_reader(fleet::row_store& store, std::string name, fleet::zone_name zone,
                         std::set<fleet::zone_name> region, double strength, base::metrics& metrics)
    : store_(store),
      name_(std::move(name)),
      zone_(std::move(zone)),
      region_(std::move(region)),
      strength_(strength),
      metrics_(metrics) {}

void zone_reader::set_daemons(const std::map<std::string, relay_candidate>& others) {
    std::map<fleet::zone_name, std::vector<named_daemon>> zones;
    zones[zone_].push_back({name_, strength_});
    for (const auto& it : others) {
        const auto& zone = it.second.zone;
        if (!zone.empty() && (zone == zone_ || region_.count(zone) > 0)) {
            zones[zone].push_back({it.first, it.second.strength});
        }
    }
    const auto known = std::exchange(readers_, {});
    const auto own = roles_among(zones[zone_]);
    const bool is_reader = contains(own.readers, name_);
    is_substitute_ = contains(own.substitutes, name_);
    reads_for_others_ = is_reader || is_substitute_;
    if (own.readers.empty() || is_reader) {
        return;
    }
    const auto add = [&](const std::vector<named_daemon>& daemons, int turn) {
        for (const auto& it : daemons) {
            const auto before = known.find(it.name);
            readers_[it.name] = {
                others.at(it.name).way, turn,
                before == known.end() ? base::time_point{} : before->second.avoid_until};
        }
    };
    for (const auto& zone : zones) {
        const auto roles = roles_among(zone.second);
        add(roles.readers, zone.first == zone_ ? own_readers_turn : other_readers_turn);
        if (!is_substitute_) {
            add(roles.substitutes, substitutes_turn);
        }
    }
}

void zone_reader::commit(const fleet::row_transaction& what, base::milliseconds timeout,
                         fleet::commit_done done) {
    store_.commit(what, timeout, std::move(done));
}

void zone_reader::read(const fleet::table_name& table, const fleet::part_name& part,
                       const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
                       fleet::read_done done) {
    ask_next(std::make_shared<question>(question{nothing_known,
                                                 timeout,
                                                 [=](fleet::read_done answered) {
                                                     store_.read(table, part, from, limit, timeout,
                                                                 std::move(answered));
                                                 },
                                                 std::move(done),
                                                 {},
                                                 false}));
}

void zone_reader::follow(const fleet::table_name& table, fleet::store_version after,
                         base::milliseconds wait, fleet::read_done done) {
    ask_next(std::make_shared<question>(question{
        after,
        wait,
        [=](fleet::read_done answered) { store_.follow(table, after, wait, std::move(answered)); },
        std::move(done),
        {},
        false}));
}

// In turn; within a turn each daemon has an order of its own, so that they share the load.
zone_reader::readers::const_iterator zone_reader::choose(const std::set<std::string>& asked) const {
    auto best = readers_.end();
    std::uint64_t most = 0;
    for (auto it = readers_.begin(); it != readers_.end(); ++it) {
        const auto weight = base::rendezvous_weight(name_, it->first);
        const bool usable = clock_.now() >= it->second.avoid_until && asked.count(it->first) == 0;
        if (usable && (best == readers_.end() || it->second.turn < best->second.turn ||
                       (it->second.turn == best->second.turn && weight > most))) {
            best = it;
            most = weight;
        }
    }
    return best;
}

void zone_reader::ask_next(const std::shared_ptr<question>& one) {
    const auto chosen = choose(one->asked);
    if (chosen != readers_.end()) {
        const std::string& name = *one->asked.insert(chosen->first).first;
        chosen->second.way->follow_configuration(
            one->after, std::min(one->wait, longest_wait),
            lifetime_.guard([this, one, name](const auto& answer) {
                if (answer) {
                    heard_ = clock_.now();
                    one->done(answer);
                    return;
                }
                reader_failed(name, *one, answer.error().failure);
                ask_next(one);
            }));
        return;
    }
    const bool has_waited = is_substitute_ && clock_.now() - heard_ >= longest_without_news;
    if (one->some_are_behind && !has_waited) {
        one->done(tl::unexpected(fleet::store_error{fleet::store_failure::behind, {}}));
        return;
    }
    ask_store(*one);
}

void zone_reader::ask_store(const question& one) {
    const auto asked = clock_.now();
    one.ask_store(lifetime_.guard([this, asked, done = one.done](const auto& answer) {
        if (answer) {
            heard_ = clock_.now();
            store_news_as_of_ = asked;
        }
        done(answer);
    }));
}

void zone_reader::reader_failed(const std::string& name, question& one,
                                fleet::store_failure failure) {
    metrics_.count("cranberrydock_zone_reader_failures_total",
                   std::string("reason=\"") + fleet::to_string(failure) + "\"");
    base::milliseconds avoid_for{0};
    if (failure == fleet::store_failure::behind) {
        one.some_are_behind = true;
    } else {
        avoid_for = avoid_after_failure;
        const auto it = readers_.find(name);
        if (it != readers_.end()) {
            it->second.avoid_until = clock_.now() + avoid_for;
        }
    }
    if (!failure_lines_.allows(clock_.now())) {
        return;
    }
    spdlog::info("event=zone_reader_failed reader={} reason={} avoid_for_ms={} news_age_ms={}",
                 name, fleet::to_string(failure), avoid_for.count(),
                 std::chrono::duration_cast<base::milliseconds>(clock_.now() - heard_).count());
}

void shared_feed::heard(const std::vector<fleet::stored_row>& rows, fleet::store_version version) {
    for (const auto& it : rows) {
        auto& known = rows_[it.address.name.str()];
        // Another reader's table may be older.
        if (it.version >= known.version) {
            known = it;
        }
    }
    version_ = std::max(version_, version);
    std::list<question> answered;
    for (auto it = open_.begin(); it != open_.end();) {
        const auto next = std::next(it);
        if (has_news_for(it->after)) {
            answered.splice(answered.end(), open_, it);
        }
        it = next;
    }
    for (const auto& it : answered) {
        it.done(changes_after(it.after));
    }
}

void shared_feed::follow(fleet::store_version after, base::milliseconds wait,
                         const fleet::read_done& done) {
    const auto one = open_.insert(open_.end(), {after, done, nullptr});
    // While many start together, a reader has soon read what the others wait for.
    const bool is_known_to_be_behind = after > nothing_known && !is_current_();
    const bool at_once = has_news_for(after) || is_known_to_be_behind;
    one->timeout = loop_.after(at_once ? base::milliseconds{0} : wait, [this, one] {
        const question what = std::move(*one);
        open_.erase(one);
        if (has_news_for(what.after) || is_current_()) {
            what.done(changes_after(what.after));
        } else {
            what.done(tl::unexpected(fleet::store_error{fleet::store_failure::behind, {}}));
        }
    });
}

bool shared_feed::has_news_for(fleet::store_version after) const {
    const bool some_changed = std::any_of(
        rows_.begin(), rows_.end(), [&](const auto& it) { return it.second.version > after; });
    return some_changed && (after > nothing_known || is_current_());
}

fleet::rows_read shared_feed::changes_after(fleet::store_version after) const {
    fleet::rows_read out;
    // Never ahead of what the asker will have heard: it may know more than this daemon.
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

}  // namespace cranberrydock::steward
