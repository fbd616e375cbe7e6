// The table that the version chains of a property test share. It records when each version was
// committed, so that a claim to have had the newest version at some time can be checked.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/config/version_record.hpp>

#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::config {

// Stores rows as the platform's table service does.
class table_model {
public:
    std::optional<platform::row> read(const platform::row_key& key) const {
        const auto it = rows_.find(key);
        return it == rows_.end() ? std::optional<platform::row>() : it->second;
    }

    bool commit(const platform::transaction& request, base::time_point now) {
        for (const auto& it : request.conditions) {
            const auto row = read(it.key);
            if ((row ? row->version : platform::row_version(0)) != it.version) {
                return false;
            }
        }
        for (const auto& it : request.writes) {
            last_ = last_.next();
            rows_[it.key] = {it.key, last_, *it.value};
        }
        committed_at_.push_back(now);
        return true;
    }

    base::config_version head() const {
        const auto row = read(head_key());
        return row ? *decode_head(row->value) : base::config_version(0);
    }

    // The newest version that was committed before `time`.
    base::config_version head_before(base::time_point time) const {
        std::int64_t n = 0;
        for (const auto& it : committed_at_) {
            n += it < time ? 1 : 0;
        }
        return base::config_version(n);
    }

    std::string document(base::config_version version) const {
        const auto row = read(version_key(version));
        return row ? decode_version(row->value)->document : "{}";
    }

    std::vector<std::string> authors() const {
        std::vector<std::string> out;
        for (base::config_version v(1); v <= head(); v = v.next()) {
            const auto row = read(version_key(v));
            RC_ASSERT(row.has_value());
            out.push_back(decode_version(row->value)->author);
        }
        return out;
    }

private:
    std::map<platform::row_key, platform::row> rows_;
    platform::row_version last_;
    std::vector<base::time_point> committed_at_;
};

}  // namespace cranberrydock::config
