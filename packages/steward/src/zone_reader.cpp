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

}  // namespace

zone_reader::zone_reader(fleet::row_store& store, std::string name, fleet::zone_name zone,
                         double strength, base::metrics& metrics)
    : store_(store),
      name_(std::move(name)),
      zone_(std::move(zone)),
      strength_(strength),
      metrics_(metrics) {}

void zone_reader::set_daemons(const std::map<std::string, relay_candidate>& others) {
    struct daemon {
        std::string name;
        double strength = 0;
    };
    std::vector<daemon> daemons{{name_, strength_}};
    for (const auto& it : others) {
        if (it.second.zone == zone_ && !zone_.empty()) {
            daemons.push_back({it.first, it.second.strength});
        }
    }
    const auto known = std::exchange(readers_, {});
    reads_for_others_ = false;
    if (daemons.size() < least_daemons) {
        return;
    }
    std::sort(daemons.begin(), daemons.end(), [](const daemon& a, const daemon& b) {
        return a.strength != b.strength ? a.strength > b.strength : a.name < b.name;
    });
    daemons.resize((daemons.size() + daemons_per_reader - 1) / daemons_per_reader);
    for (const auto& it : daemons) {
        reads_for_others_ = reads_for_others_ || it.name == name_;
    }
    if (reads_for_others_) {
        return;
    }
    for (const auto& it : daemons) {
        const auto before = known.find(it.name);
        readers_[it.name] = {others.at(it.name).way, before == known.end()
                                                         ? base::time_point{}
                                                         : before->second.avoid_until};
    }
}

void zone_reader::commit(const fleet::row_transaction& what, base::milliseconds timeout,
                         fleet::commit_done done) {
    store_.commit(what, timeout, std::move(done));
}

void zone_reader::read(const fleet::table_name& table, const fleet::part_name& part,
                       const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
                       fleet::read_done done) {
    store_.read(table, part, from, limit, timeout, std::move(done));
}

void zone_reader::follow(const fleet::table_name& table, fleet::store_version after,
                         base::milliseconds wait, fleet::read_done done) {
    const reader* chosen = nullptr;
    std::string chosen_name;
    std::uint64_t best = 0;
    for (const auto& it : readers_) {
        const auto weight = base::rendezvous_weight(name_, it.first);
        if (clock_.now() >= it.second.avoid_until && (chosen == nullptr || weight > best)) {
            chosen = &it.second;
            chosen_name = it.first;
            best = weight;
        }
    }
    if (chosen == nullptr) {
        store_.follow(table, after, wait, std::move(done));
        return;
    }
    chosen->way->follow_configuration(
        after, std::min(wait, longest_wait),
        lifetime_.guard([this, chosen_name, table, after, wait, done](const auto& answer) {
            if (answer) {
                done(answer);
                return;
            }
            const auto it = readers_.find(chosen_name);
            if (it != readers_.end()) {
                it->second.avoid_until = clock_.now() + avoid_after_failure;
            }
            metrics_.count("cranberrydock_zone_reader_failures_total", "");
            spdlog::info("event=zone_reader_avoided reader={} reason={} for_ms={}", chosen_name,
                         fleet::to_string(answer.error().failure), avoid_after_failure.count());
            store_.follow(table, after, wait, done);
        }));
}

void shared_feed::heard(const std::vector<fleet::stored_row>& rows, fleet::store_version version) {
    for (const auto& it : rows) {
        rows_[it.address.name.str()] = it;
    }
    version_ = std::max(version_, version);
    std::list<question> answered;
    for (auto it = open_.begin(); it != open_.end();) {
        const auto next = std::next(it);
        if (!changes_after(it->after).rows.empty()) {
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
    auto changes = changes_after(after);
    if (!changes.rows.empty()) {
        done(std::move(changes));
        return;
    }
    const auto one = open_.insert(open_.end(), {after, done, nullptr});
    one->timeout = loop_.after(wait, [this, one] {
        const question what = std::move(*one);
        open_.erase(one);
        what.done(changes_after(what.after));
    });
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
