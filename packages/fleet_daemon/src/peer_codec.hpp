// CBOR encoding of the messages between daemons. Decoding throws an exception derived from
// std::exception if the body is not a valid message.
#pragma once

#include <cranberrydock/fleet_daemon/peer.hpp>

#include <string>

namespace cranberrydock::fleet_daemon::detail {

struct placement_call {
    fleet::placement_query placement;
    base::milliseconds timeout{0};
};
std::string encode(const placement_call& call);
placement_call decode_placement_call(const std::string& body);
std::string encode(const fleet::placement_response& answer);
fleet::placement_response decode_placement_response(const std::string& body);

struct commit_call {
    fleet::row_transaction transaction;
    base::milliseconds timeout{0};
};
std::string encode(const commit_call& call);
commit_call decode_commit_call(const std::string& body);
std::string encode(const tl::expected<fleet::store_version, fleet::store_error>& answer);
tl::expected<fleet::store_version, fleet::store_error> decode_commit(const std::string& body);

// Reads rows of a partition, or waits for changes of a table if `follow` is set.
struct read_call {
    fleet::row_address from;
    std::size_t limit = 0;
    base::milliseconds timeout{0};
    bool follow = false;
    fleet::store_version after;
};
std::string encode(const read_call& call);
read_call decode_read_call(const std::string& body);
std::string encode(const tl::expected<fleet::rows_read, fleet::store_error>& answer);
tl::expected<fleet::rows_read, fleet::store_error> decode_read(const std::string& body);

std::string encode(const written_job& job);
written_job decode_written_job(const std::string& body);

struct write_call {
    delegated_job delegated;
    base::milliseconds timeout{0};
};
std::string encode(const write_call& call);
write_call decode_write_call(const std::string& body);
std::string encode(const write_result& result);
write_result decode_write_result(const std::string& body);

std::string encode(const std::optional<owner_job_status>& status);
std::optional<owner_job_status> decode_status(const std::string& body);

std::string encode(const command_batch& batch);
command_batch decode_command_batch(const std::string& body);
std::string encode(const outcome_batch& batch);
outcome_batch decode_outcome_batch(const std::string& body);

}  // namespace cranberrydock::fleet_daemon::detail
