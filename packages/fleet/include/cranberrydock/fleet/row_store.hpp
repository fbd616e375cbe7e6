// Interface to the platform's store. Rows are addressed by table, part and name. The store supports
// conditional transactions within one part and a change feed for each table.
#pragma once

#include <cranberrydock/base/strong_type.hpp>
#include <cranberrydock/base/units.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

using table_name = base::strong_id<struct table_name_tag>;
using partition_name = base::strong_id<struct partition_name_tag>;
using row_name = base::strong_id<struct row_name_tag>;
// Incremented by each transaction of the store. 0 is the version of a row that does not exist.
using store_version = base::strong_number<struct store_version_tag>;

struct row_address {
    table_name table;
    partition_name partition;
    row_name name;
};

struct stored_row {
    row_address address;
    std::string value;
    store_version version;
    bool removed = false;  // only in change feeds
};

// Largest sizes that the store accepts, in bytes of row values.
struct store_limits {
    std::size_t row_bytes = 65'536;
    std::size_t transaction_bytes = 700'000;  // all rows of a transaction together
};

struct row_condition {
    row_address address;
    store_version version;
};

struct row_put {
    row_address address;
    std::string value;
};

// An atomic transaction: either all conditions hold and all changes are made, or no change is made.
// All rows belong to the same part.
struct row_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    std::vector<row_address> removals;
};

enum class store_failure {
    refused,            // not applied
    conflict,           // not applied: a condition does not hold
    answer_lost,        // outcome unknown: may be applied already, or later if its conditions hold
    history_truncated,  // change feeds only: the table has to be read again
    stale_peer,         // change feeds through a peer only: the peer's own feed is not up to date
    rejected,           // transactions only: not applied, and never will be as it is
};

const char* to_string(store_failure failure);

struct store_error {
    store_failure failure = store_failure::refused;
    std::vector<stored_row> rows;  // on a conflict: the current rows of the conditions
};

struct rows_read {
    std::vector<stored_row> rows;
    bool more = false;      // the limit was reached before the last row
    store_version version;  // the store's newest version when the rows were read
};

using commit_callback = std::function<void(tl::expected<store_version, store_error>)>;
using read_callback = std::function<void(tl::expected<rows_read, store_error>)>;

// All calls are asynchronous. Each callback is invoked exactly once, on the caller's event loop,
// and never before the call returns.
class row_store {
public:
    virtual ~row_store() = default;

    virtual void commit(const row_transaction& transaction, base::milliseconds timeout,
                        commit_callback done) = 0;
    // Reads at most `limit` rows of one part, in key order from `from` on, as a consistent
    // snapshot.
    virtual void read(const table_name& table, const partition_name& part, const row_name& from,
                      std::size_t limit, base::milliseconds timeout, read_callback done) = 0;
    // Long poll: completes with the changes after version `after` as soon as there are any, or with
    // no rows after `wait`.
    virtual void follow(const table_name& table, store_version after, base::milliseconds wait,
                        read_callback done) = 0;
};

}  // namespace cranberrydock::fleet
