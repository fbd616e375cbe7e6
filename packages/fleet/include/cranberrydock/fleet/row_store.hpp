// What the fleet needs of the platform's store: rows in tables and parts, conditional transactions
// within one part, and a feed of a table's changes.
#pragma once

#include <cranberrydock/base/strong_type.hpp>
#include <cranberrydock/base/units.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

using table_name = base::strong_id<struct table_name_tag>;
using part_name = base::strong_id<struct part_name_tag>;
using row_name = base::strong_id<struct row_name_tag>;
// Raised by each transaction of the store; 0 stands for a row that does not exist.
using store_version = base::strong_number<struct store_version_tag>;

struct row_address {
    table_name table;
    part_name part;
    row_name name;
};

struct stored_row {
    row_address address;
    std::string value;
    store_version version;
    bool removed = false;  // only in feeds
};

struct row_condition {
    row_address address;
    store_version version;
};

struct row_put {
    row_address address;
    std::string value;
};

// All conditions are checked and all changes made, or none. All rows lie in one part.
struct row_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
    std::vector<row_address> removals;
};

enum class store_failure {
    refused,       // nothing was done
    conflict,      // a condition does not hold; nothing was done
    answer_lost,   // may have been done, or may still be done later if its conditions hold
    history_gone,  // feeds only: read the table anew
    behind,        // feeds through a peer only: the peer has no recent news itself
};

const char* to_string(store_failure failure);

struct store_error {
    store_failure failure = store_failure::refused;
    std::vector<stored_row> rows;  // on a conflict: the rows of the conditions as they are
};

struct rows_read {
    std::vector<stored_row> rows;
    bool more = false;
    store_version version;  // the store's newest version when the rows were read
};

using commit_done = std::function<void(tl::expected<store_version, store_error>)>;
using read_done = std::function<void(tl::expected<rows_read, store_error>)>;

// Asynchronous; each callback comes once, on the caller's loop, never inside the call.
class row_store {
public:
    virtual ~row_store() = default;

    virtual void commit(const row_transaction& what, base::milliseconds timeout,
                        commit_done done) = 0;
    // At most `limit` rows of one part in key order, from `from` on, as of one moment.
    virtual void read(const table_name& table, const part_name& part, const row_name& from,
                      std::size_t limit, base::milliseconds timeout, read_done done) = 0;
    // Answers with the changes after `after` as soon as there are any, or with none after `wait`.
    virtual void follow(const table_name& table, store_version after, base::milliseconds wait,
                        read_done done) = 0;
};

}  // namespace cranberrydock::fleet
