// The codec's functions, by message family. Each message type has a write_fields() that returns its
// fields as a map, and a read_NAME() that reads them back.
#pragma once

#include <cranberrydock/mesh/messages.hpp>

#include "cbor.hpp"
#include "object_reader.hpp"

namespace cranberrydock::mesh::detail {

// State of daemons and cells: codec_state.cpp.
json write_fields(const heartbeat& msg);
json write_fields(const hold_off_request& msg);
json write_fields(const hold_off_answer& msg);
json write_fields(const cells_offered& msg);
json write_fields(const config_announcement& msg);
heartbeat read_heartbeat(object_reader& in);
hold_off_request read_hold_off_request(object_reader& in);
hold_off_answer read_hold_off_answer(object_reader& in);
cells_offered read_cells_offered(object_reader& in);
config_announcement read_config_announcement(object_reader& in);

// Work and its outcome: codec_work.cpp.
json write_fields(const submit_work& msg);
json write_fields(const work_result& msg);
submit_work read_submit_work(object_reader& in);
work_result read_work_result(object_reader& in);

// Job queries and replies: codec_job.cpp.
json write_fields(const job_query& msg);
json write_fields(const job_reply& msg);
job_query read_job_query(object_reader& in);
job_reply read_job_reply(object_reader& in);

// Parts that several messages contain: codec_shared.cpp.
json write_list(const std::vector<base::trace_step>& steps);
json write_list(const std::vector<base::task_answer>& answers);
json write_fields(const base::refusal& refused);
std::vector<base::trace_step> read_trace(object_reader& in, const char* key);
std::vector<base::task_answer> read_answers(object_reader& in, const char* key);
base::refusal read_refusal(object_reader in);

}  // namespace cranberrydock::mesh::detail
