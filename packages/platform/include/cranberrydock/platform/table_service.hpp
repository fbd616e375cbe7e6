// The interface to the platform's transactional table service: rows with versions, and transactions
// that are conditional on versions. docs/OWN-PLATFORM.md states the assumptions about the service.
#pragma once

#include <cranberrydock/base/strong_type.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::platform {

using row_key = base::strong_id<struct row_key_tag>;  // path-like, e.g. "cell/northcoast-a"
// Increases with every write of the row; 0 is the version of a row that does not exist. A row that
// is deleted and created again never gets an earlier version.
using row_version = base::strong_number<struct row_version_tag>;

struct row {
    row_key key;
    row_version version;
    std::string value;
};

enum class store_error {
    conflict,     // a condition did not hold; nothing was written
    unavailable,  // the service was not reached or refused the call; nothing was written
    answer_lost,  // outcome unknown, the write may be applied; read back before retrying
};

std::string to_string(store_error error);

// The row must have this version when the transaction commits. Version 0 requires that it does not
// exist.
struct row_condition {
    row_key key;
    row_version version;
};

struct row_write {
    row_key key;
    std::optional<std::string> value;  // no value deletes the row
};

// Atomic: all writes are applied if all conditions hold, and none otherwise.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

// The new version of each written row, in the order of the writes.
struct commit_result {
    std::vector<row_version> versions;
};

using read_callback = std::function<void(tl::expected<std::optional<row>, store_error>)>;
using scan_callback = std::function<void(tl::expected<std::vector<row>, store_error>)>;
using commit_callback = std::function<void(tl::expected<commit_result, store_error>)>;

// Calls are asynchronous. Each callback is invoked once, on the caller's loop and never from within
// the call.
class table_service {
public:
    virtual ~table_service() = default;

    virtual void read(const row_key& key, read_callback done) = 0;

    // Returns at most `limit` rows whose key begins with `prefix` and is greater than `after`, in
    // key order.
    virtual void scan(const row_key& prefix, const row_key& after, std::size_t limit,
                      scan_callback done) = 0;

    virtual void commit(transaction changes, commit_callback done) = 0;
};

}  // namespace cranberrydock::platform
