// The table service's semantics, exact and without any I/O: what the in-memory platform and the
// stand-in server answer with, and what property tests compare against.
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

    // As table_service::scan.
    std::vector<row> scan(const row_key& prefix, const row_key& after, std::size_t limit) const;

    // Applies all writes in their order, or none. A deleted row's new version is 0.
    tl::expected<commit_result, store_error> commit(const transaction& what);

private:
    struct content {
        row_version version;
        std::string value;
    };

    row_version version_of(const row_key& key) const;
    row_version apply(const row_write& write);

    // Invariant: no row's version exceeds last_version_. One counter for all rows, so that a row
    // that was deleted and made again never takes a version that it had before.
    row_version last_version_{0};
    std::map<row_key, content> rows_;
};

}  // namespace cranberrydock::platform
