// The encoding of the store's job rows: the submitted job and its progress. Jobs survive the loss
// of every process in these rows.
#pragma once

#include <cranberrydock/fleet/crash_evidence.hpp>
#include <cranberrydock/fleet/work.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cranberrydock::fleet {

// The progress of one step of one occurrence, with one entry per task.
struct step_progress {
    std::vector<bool> done;
    // The failed runs of each task. A completion that is reported twice counts once. Empty for
    // long-running tasks, whose failures are not limited.
    std::vector<std::vector<run_number>> failed_runs;
    // Empty: there is none for any task.
    std::vector<crash_evidence> crashes{};
};

// A block of consecutive tasks of one step of one occurrence. The progress of a job that may
// outgrow a row is stored in blocks, each in a row of its own beside the job's progress row.
struct block_ref {
    int occurrence = 0;
    int step = 0;
    int first_task = 0;  // a multiple of tasks_per_block

    friend bool operator<(const block_ref& a, const block_ref& b) {
        return std::tie(a.occurrence, a.step, a.first_task) <
               std::tie(b.occurrence, b.step, b.first_task);
    }
    friend bool operator==(const block_ref& a, const block_ref& b) {
        return a.occurrence == b.occurrence && a.step == b.step && a.first_task == b.first_task;
    }
};

constexpr int tasks_per_block = 64;
block_ref block_of(const task_ref& task);
std::string to_string(const block_ref& block);
// Empty if the text names no block.
std::optional<block_ref> parse_block_ref(const std::string& text);

struct job_progress {
    customer_name customer;
    queue_name queue;
    job_state state = job_state::queued;
    unix_time ended;          // set in a final state
    bool withdrawn = false;   // see job_row_kind::withdrawn
    int finished_before = 0;  // all occurrences before this one are finished
    // The occurrences from `finished_before` on; one without steps is finished. Empty for a final
    // state. If the job is stored in blocks, the steps of the others are empty.
    std::vector<std::vector<step_progress>> occurrences;
    bool in_blocks = false;
    // Of a job to be written: the blocks that have changed. Of one that was read: all blocks.
    std::map<block_ref, step_progress> blocks{};

    // Whether all tasks of the occurrence are done, so that its blocks are not needed.
    bool is_finished(int occurrence) const;
};

// What the row of a cancelled job keeps: the names that requests about the job are checked against.
struct cancelled_job {
    customer_name customer;
    queue_name queue;
    bool withdrawn = false;
};

std::string encode_job(const job_spec& job);
std::string encode_cancelled(const cancelled_job& job);
std::string encode_progress(const job_progress& progress);

std::string encode_block(const step_progress& block);

// Most tasks of a job, or of one occurrence of it: they are all in an owner's memory.
constexpr int max_tasks_per_job = 65'536;
// The tasks of the job, or of one occurrence of it.
std::int64_t task_count_of(const job_spec& job);
// Upper bound of the size of the job's progress row if it is not stored in blocks, whatever becomes
// of its tasks. Empty if there is none, since any number of occurrences may be open.
std::optional<std::size_t> largest_progress_bytes(const job_spec& job);

enum class job_row_kind {
    submitted,
    cancelled,
    // Cancelled before any submission of the job was stored. The row only prevents that a
    // submission that arrives later is accepted; for callers the job does not exist.
    withdrawn,
};

struct job_row {
    job_row_kind kind = job_row_kind::submitted;
    job_spec job;  // a cancelled or withdrawn job has only its id, customer and queue
};

// An error describes why the row cannot be decoded.
tl::expected<job_row, std::string> decode_job(const job_id& id, const std::string& value);
tl::expected<job_progress, std::string> decode_progress(const std::string& value);
tl::expected<step_progress, std::string> decode_block(const std::string& value);

}  // namespace cranberrydock::fleet
