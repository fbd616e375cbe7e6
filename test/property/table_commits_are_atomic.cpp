// Random transactions against the in-memory platform and a plain model of it. A commit succeeds
// exactly if its conditions hold, is applied completely or not at all, also when its answer is
// lost, and no row gets the same version twice.
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/platform/memory_platform.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;

constexpr int max_versions = 12;  // small, so that conditions often hold

row_key any_key() {
    return row_key("k/" + std::to_string(*rc::gen::inRange(0, 4)));
}

transaction any_transaction() {
    transaction out;
    for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
        out.conditions.push_back({any_key(), row_version(*rc::gen::inRange(0, max_versions))});
    }
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
        row_write write{any_key(), std::nullopt};
        if (*rc::gen::inRange(0, 4) != 0) {
            write.value = *rc::gen::string<std::string>();
        }
        out.writes.push_back(std::move(write));
    }
    return out;
}

// The expected content of the table, implemented as simply as possible.
class model {
public:
    bool holds(const transaction& request) const {
        for (const auto& it : request.conditions) {
            const auto found = rows.find(it.key);
            const auto version = found == rows.end() ? row_version{0} : found->second.version;
            if (version != it.version) {
                return false;
            }
        }
        return true;
    }

    // Applies the writes with the versions that the table assigned to them.
    void apply(const transaction& request, const std::vector<row_version>& versions) {
        RC_ASSERT(versions.size() == request.writes.size());
        for (std::size_t i = 0; i < versions.size(); ++i) {
            const auto& write = request.writes[i];
            if (write.value) {
                RC_ASSERT(versions[i] > highest);
                highest = versions[i];
                rows[write.key] = {write.key, versions[i], *write.value};
            } else {
                RC_ASSERT(versions[i] == row_version{0});
                rows.erase(write.key);
            }
        }
    }

    std::map<row_key, row> rows;
    row_version highest{0};
};

bool rows_match(const std::vector<row>& found, const std::map<row_key, row>& expected) {
    if (found.size() != expected.size()) {
        return false;
    }
    auto it = expected.begin();
    for (const auto& actual : found) {
        if (actual.key != it->first || actual.version != it->second.version ||
            actual.value != it->second.value) {
            return false;
        }
        ++it;
    }
    return true;
}

std::vector<row> all_rows(memory_platform& table) {
    constexpr std::size_t no_limit = 1'000;
    return table.scan(row_key("k/"), row_key(), no_limit).value();
}

// The rows found, by key, with the versions that the table assigned.
std::map<row_key, row> rows_by_key(const std::vector<row>& found) {
    std::map<row_key, row> out;
    for (const auto& it : found) {
        out[it.key] = it;
    }
    return out;
}

std::map<row_key, std::string> values(const std::map<row_key, row>& rows) {
    std::map<row_key, std::string> out;
    for (const auto& it : rows) {
        out[it.first] = it.second.value;
    }
    return out;
}

std::map<row_key, std::string> values_after(const std::map<row_key, row>& rows,
                                            const transaction& request) {
    auto out = values(rows);
    for (const auto& it : request.writes) {
        if (it.value) {
            out[it.key] = *it.value;
        } else {
            out.erase(it.key);
        }
    }
    return out;
}

// After a lost answer the table must hold all of the writes or none, and all of them only if the
// conditions held.
void check_after_lost_answer(const transaction& request, model& expected, memory_platform& table) {
    const auto found = all_rows(table);
    if (rows_match(found, expected.rows)) {
        return;
    }
    RC_ASSERT(expected.holds(request));
    const auto current = rows_by_key(found);
    RC_ASSERT(values(current) == values_after(expected.rows, request));
    for (const auto& it : current) {
        const auto previous = expected.rows.find(it.first);
        const bool unchanged =
            previous != expected.rows.end() && previous->second.version == it.second.version;
        RC_ASSERT(unchanged || it.second.version > expected.highest);
    }
    for (const auto& it : current) {
        expected.highest = std::max(expected.highest, it.second.version);
    }
    expected.rows = current;
}

void check_commit(const transaction& request, model& expected, memory_platform& table) {
    const auto result = table.commit(request);
    if (result) {
        RC_ASSERT(expected.holds(request));
        expected.apply(request, result->versions);
    } else if (result.error() == store_error::answer_lost) {
        check_after_lost_answer(request, expected, table);
    } else {
        RC_ASSERT(result.error() == store_error::conflict);
        RC_ASSERT(!expected.holds(request));
    }
    RC_ASSERT(rows_match(all_rows(table), expected.rows));
}

// A scan that starts after any key returns the rows of the model after that key.
void check_scan(const model& expected, memory_platform& table) {
    const auto after = any_key();
    const auto limit = *rc::gen::inRange<std::size_t>(0, 4);
    std::map<row_key, row> expected_rows;
    for (auto it = expected.rows.upper_bound(after);
         it != expected.rows.end() && expected_rows.size() < limit; ++it) {
        expected_rows.insert(*it);
    }
    RC_ASSERT(rows_match(table.scan(row_key("k/"), after, limit).value(), expected_rows));
}

TEST(table, commits_are_atomic) {
    EXPECT_TRUE(rc::check("commits wholly or not at all", [] {
        const base::manual_clock clock;
        memory_platform table(clock);
        platform_faults faults;
        faults.lose_permille = *rc::gen::inRange(0, 400);
        faults.seed = *rc::gen::inRange<std::uint32_t>(1, 1'000'000);
        table.set_faults(faults);
        model expected;
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            check_commit(any_transaction(), expected, table);
            check_scan(expected, table);
        }
    }));
}

}  // namespace
