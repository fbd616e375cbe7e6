// The platform's state in memory, with configurable faults.
#include <cranberrydock/platform/memory_platform.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::platform {
namespace {

constexpr int permille = 1'000;

// Decrements `remaining_count`; a negative count is unlimited. Returns false when it is zero.
bool consume_one(std::int64_t& remaining_count) {
    if (remaining_count == 0) {
        return false;
    }
    remaining_count -= remaining_count > 0 ? 1 : 0;
    return true;
}

}  // namespace

memory_platform::memory_platform(const base::clock& clock) : clock_(clock) {}

void memory_platform::set_faults(const platform_faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    random_.seed(faults.seed);
}

platform_faults memory_platform::faults() const {
    const std::lock_guard lock(mutex_);
    return faults_;
}

platform_counters memory_platform::counters() const {
    const std::lock_guard lock(mutex_);
    return counters_;
}

std::vector<member> memory_platform::current_members() const {
    return published_.empty() ? std::vector<member>{} : published_.back().members;
}

void memory_platform::publish(std::vector<member> members, base::milliseconds lag) {
    published_.push_back({clock_.now() + lag, std::move(members)});
}

void memory_platform::set_members(std::vector<member> members, base::milliseconds lag) {
    const std::lock_guard lock(mutex_);
    publish(std::move(members), lag);
}

void memory_platform::put_members(const std::vector<member>& members, base::milliseconds lag) {
    const std::lock_guard lock(mutex_);
    auto next = current_members();
    for (const auto& listed : members) {
        const auto it = std::find_if(next.begin(), next.end(),
                                     [&](const member& old) { return old.id == listed.id; });
        if (it == next.end()) {
            next.push_back(listed);
        } else {
            *it = listed;
        }
    }
    publish(std::move(next), lag);
}

void memory_platform::remove_members(const std::vector<base::vm_id>& ids, base::milliseconds lag) {
    const std::lock_guard lock(mutex_);
    auto next = current_members();
    const auto is_removed = [&](const member& listed) {
        return std::find(ids.begin(), ids.end(), listed.id) != ids.end();
    };
    next.erase(std::remove_if(next.begin(), next.end(), is_removed), next.end());
    publish(std::move(next), lag);
}

tl::expected<std::optional<row>, store_error> memory_platform::read(const row_key& key) {
    const std::lock_guard lock(mutex_);
    ++counters_.reads;
    if (faults_.unavailable) {
        return tl::unexpected(store_error::unavailable);
    }
    return table_.read(key);
}

tl::expected<std::vector<row>, store_error> memory_platform::scan(const row_key& prefix,
                                                                  const row_key& after,
                                                                  std::size_t limit) {
    const std::lock_guard lock(mutex_);
    ++counters_.scans;
    if (faults_.unavailable) {
        return tl::unexpected(store_error::unavailable);
    }
    return table_.scan(prefix, after, limit);
}

memory_platform::commit_fate memory_platform::draw_fate() {
    if (consume_one(faults_.lost_applied_commits)) {
        return commit_fate::lost_applied;
    }
    if (consume_one(faults_.lost_unapplied_commits)) {
        return commit_fate::lost_unapplied;
    }
    std::uniform_int_distribution<int> draw(0, permille - 1);
    if (faults_.lose_permille > 0 && draw(random_) < faults_.lose_permille) {
        return draw(random_) % 2 == 0 ? commit_fate::lost_applied : commit_fate::lost_unapplied;
    }
    return commit_fate::normal;
}

tl::expected<commit_result, store_error> memory_platform::commit(const transaction& changes) {
    const std::lock_guard lock(mutex_);
    ++counters_.commits;
    if (faults_.unavailable) {
        return tl::unexpected(store_error::unavailable);
    }
    const commit_fate fate = draw_fate();
    if (fate == commit_fate::lost_unapplied) {
        return tl::unexpected(store_error::answer_lost);
    }
    auto out = table_.commit(changes);
    if (out) {
        for (const auto& it : changes.writes) {
            counters_.bytes_written += static_cast<std::int64_t>(it.value ? it.value->size() : 0);
        }
    } else {
        ++counters_.conflicts;
    }
    if (fate == commit_fate::lost_applied) {
        return tl::unexpected(store_error::answer_lost);
    }
    return out;
}

tl::expected<std::optional<std::string>, store_error> memory_platform::get(
    const object_name& name) {
    const std::lock_guard lock(mutex_);
    ++counters_.object_gets;
    if (faults_.unavailable) {
        return tl::unexpected(store_error::unavailable);
    }
    const auto it = objects_.find(name);
    return it == objects_.end() ? std::optional<std::string>{}
                                : std::optional<std::string>{it->second};
}

tl::expected<void, store_error> memory_platform::put(const object_name& name, std::string content) {
    const std::lock_guard lock(mutex_);
    ++counters_.object_puts;
    if (faults_.unavailable) {
        return tl::unexpected(store_error::unavailable);
    }
    counters_.bytes_written += static_cast<std::int64_t>(content.size());
    // Objects are immutable once written: a second put of the same name has no effect.
    objects_.emplace(name, std::move(content));
    return {};
}

tl::expected<std::vector<member>, store_error> memory_platform::read_members() {
    const std::lock_guard lock(mutex_);
    ++counters_.member_reads;
    if (faults_.unavailable) {
        return tl::unexpected(store_error::unavailable);
    }
    // Find the newest visible list. Older lists are no longer needed.
    const auto now = clock_.now();
    const auto newest =
        std::find_if(published_.rbegin(), published_.rend(),
                     [&](const published_members& it) { return it.visible_from <= now; });
    if (newest == published_.rend()) {
        return std::vector<member>{};
    }
    published_.erase(published_.begin(), std::prev(newest.base()));
    return published_.front().members;
}

}  // namespace cranberrydock::platform
