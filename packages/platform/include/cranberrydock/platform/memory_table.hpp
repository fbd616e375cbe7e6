// Implements the exact semantics of the table service without I/O. The in-memory platform and the
// stand-in server answer from it, and property tests use it as the reference.
#pragma once

#include <cranberrydock/platform/table_service.hpp>

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::platform {

class memory_table {
public:
    std::optional<row> read(const row_key& key) const;

    // See table_service::scan.
    std::vector<row> scan(const row_key& prefix, const row_key& after, std::size_t limit) const;

    // Applies all writes in order, or none. The new version of a deleted row is 0.
    tl::expected<commit_result, store_error> commit(const transaction& changes);

private:
    struct content {
        row_version version;
        std::string value;
    };

    row_version version_of(const row_key& key) const;
    row_version apply(const row_write& write);

    // Invariant: no row's version exceeds last_version_. All rows share one counter, so that a row
    // that is deleted and created again never gets a version that it had before.
    row_version last_version_{0};
    std::map<row_key, content> rows_;
};

}  // namespace cranberrydock::platform
