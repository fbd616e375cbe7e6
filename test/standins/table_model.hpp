// The table service as a plain value, for tests that interleave its operations themselves.
#pragma once

#include <cranberrydock/platform/table_service.hpp>

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <vector>

namespace cranberrydock::standins {

// Invariant: versions come from one counter, so a row that is created again gets a higher version.
class table_model {
public:
    tl::expected<platform::commit_result, platform::store_error> commit(
        const platform::transaction& requested) {
        for (const auto& it : requested.conditions) {
            if (version(it.key) != it.version) {
                return tl::make_unexpected(platform::store_error::conflict);
            }
        }
        platform::commit_result result;
        for (const auto& it : requested.writes) {
            last_version_ = last_version_.next();
            result.versions.push_back(last_version_);
            if (it.value) {
                rows_[it.key] = {it.key, last_version_, *it.value};
            } else {
                rows_.erase(it.key);
            }
        }
        return result;
    }

    // Rows whose key begins with `prefix` and is greater than `after`, at most `limit`.
    std::vector<platform::row> scan(const std::string& prefix, const platform::row_key& after = {},
                                    std::size_t limit = 1'000'000) const {
        std::vector<platform::row> result;
        for (const auto& it : rows_) {
            const bool wanted = it.first.str().rfind(prefix, 0) == 0 && after < it.first;
            if (wanted && result.size() < limit) {
                result.push_back(it.second);
            }
        }
        return result;
    }

    // Null if there is no such row.
    const platform::row* find(const platform::row_key& key) const {
        const auto it = rows_.find(key);
        return it != rows_.end() ? &it->second : nullptr;
    }

    platform::row_version version(const platform::row_key& key) const {
        const auto* it = find(key);
        return it != nullptr ? it->version : platform::row_version(0);
    }

private:
    std::map<platform::row_key, platform::row> rows_;
    platform::row_version last_version_{0};
};

}  // namespace cranberrydock::standins
