// The messages between daemons as CBOR. Decoding throws std::exception on what is not a message.
#pragma once

#include <cranberrydock/steward/peer_calls.hpp>

#include <string>

namespace cranberrydock::steward::detail {

struct advice_call {
    fleet::advice_question question;
    base::milliseconds timeout{0};
};
std::string encode(const advice_call& call);
advice_call decode_advice_call(const std::string& body);
std::string encode(const fleet::advice_answer& answer);
fleet::advice_answer decode_advice(const std::string& body);

struct commit_call {
    fleet::row_transaction what;
    base::milliseconds timeout{0};
};
std::string encode(const commit_call& call);
commit_call decode_commit_call(const std::string& body);
std::string encode(const tl::expected<fleet::store_version, fleet::store_error>& answer);
tl::expected<fleet::store_version, fleet::store_error> decode_commit(const std::string& body);

// Reads a part, or follows a table when `wait` is set.
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
    handed_job what;
    base::milliseconds timeout{0};
};
std::string encode(const write_call& call);
write_call decode_write_call(const std::string& body);
std::string encode(const write_result& result);
write_result decode_write_result(const std::string& body);

std::string encode(const std::optional<known_status>& status);
std::optional<known_status> decode_status(const std::string& body);

std::string encode(const order_batch& batch);
order_batch decode_orders(const std::string& body);
std::string encode(const outcome_batch& batch);
outcome_batch decode_outcomes(const std::string& body);

}  // namespace cranberrydock::steward::detail
