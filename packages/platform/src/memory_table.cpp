// Implements the table service's semantics in memory.
#include <cranberrydock/platform/memory_table.hpp>

#include <algorithm>

namespace cranberrydock::platform {

std::optional<row> memory_table::read(const row_key& key) const {
    const auto it = rows_.find(key);
    if (it == rows_.end()) {
        return std::nullopt;
    }
    return row{key, it->second.version, it->second.value};
}

std::vector<row> memory_table::scan(const row_key& prefix, const row_key& after,
                                    std::size_t limit) const {
    std::vector<row> out;
    auto it = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; it != rows_.end() && out.size() < limit; ++it) {
        if (it->first.str().compare(0, prefix.str().size(), prefix.str()) != 0) {
            break;
        }
        out.push_back({it->first, it->second.version, it->second.value});
    }
    return out;
}

tl::expected<commit_result, store_error> memory_table::commit(const transaction& changes) {
    const bool all_hold =
        std::all_of(changes.conditions.begin(), changes.conditions.end(),
                    [this](const row_condition& it) { return version_of(it.key) == it.version; });
    if (!all_hold) {
        return tl::unexpected(store_error::conflict);
    }
    commit_result out;
    for (const auto& it : changes.writes) {
        out.versions.push_back(apply(it));
    }
    return out;
}

row_version memory_table::version_of(const row_key& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? row_version{0} : it->second.version;
}

row_version memory_table::apply(const row_write& write) {
    if (!write.value) {
        rows_.erase(write.key);
        return row_version{0};
    }
    last_version_ = last_version_.next();
    rows_[write.key] = {last_version_, *write.value};
    return last_version_;
}

}  // namespace cranberrydock::platform
