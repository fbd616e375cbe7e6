// The wire format of the table service and the member list. Table calls use CBOR because row values
// are arbitrary bytes. The member list uses JSON because it contains only names and numbers and
// people read it too.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/object_store.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::platform {

constexpr const char* table_read_path = "/v1/table/read";      // POST row_key
constexpr const char* table_scan_path = "/v1/table/scan";      // POST scan_request
constexpr const char* table_commit_path = "/v1/table/commit";  // POST transaction
constexpr const char* objects_path = "/v1/objects";            // GET or PUT ?name=NAME
constexpr const char* members_path = "/v1/members";            // GET

struct scan_request {
    row_key prefix;
    row_key after;
    std::size_t limit = 0;
};

std::string encode(const row_key& key);
std::string encode(const scan_request& request);
std::string encode(const transaction& changes);
std::string encode(const std::optional<row>& found);
std::string encode(const std::vector<row>& rows);
std::string encode(const commit_result& result);
std::string encode(const std::vector<member>& members);

tl::expected<row_key, base::findings> decode_row_key(const std::string& bytes);
tl::expected<scan_request, base::findings> decode_scan_request(const std::string& bytes);
tl::expected<transaction, base::findings> decode_transaction(const std::string& bytes);
tl::expected<std::optional<row>, base::findings> decode_row(const std::string& bytes);
tl::expected<std::vector<row>, base::findings> decode_rows(const std::string& bytes);
tl::expected<commit_result, base::findings> decode_commit_result(const std::string& bytes);
tl::expected<std::vector<member>, base::findings> decode_members(const std::string& text);

// The query string that names an object.
std::string object_query(const object_name& name);

std::string to_string(member_role role);
std::string to_string(member_state state);

}  // namespace cranberrydock::platform
