// Defines the tables and rows of the daemons in the store.
#pragma once

#include <cranberrydock/fleet/job_rows.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/work.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::fleet_daemon {

// Maps jobs to partitions of the store, which the store writes independently of each other. All
// rows of a job are in one partition. The number of partitions is stored beside the jobs: the first
// daemon determines it, and all others use it, whatever their settings say.
class job_layout {
public:
    job_layout() = default;
    explicit job_layout(std::size_t partition_count) : partition_count_(partition_count) {}

    // The other functions require that the layout is known.
    bool known() const { return partition_count_ > 0; }
    std::size_t partition_count() const { return partition_count_; }

    std::vector<fleet::partition_name> partitions() const;
    fleet::partition_name partition_of(const fleet::job_id& job) const;

    // The job as submitted; removed when the job has ended.
    fleet::row_address job_row(const fleet::job_id& job) const;
    // The job's progress; exists from the start of its first task until its end.
    fleet::row_address progress_row(const fleet::job_id& job) const;
    // A part of the job's progress; in the same table, directly after the job's progress row.
    fleet::row_address block_row(const fleet::job_id& job, const fleet::block_ref& block) const;
    // The job's final state; kept while callers can query the job.
    fleet::row_address ended_row(const fleet::job_id& job) const;

private:
    std::size_t partition_count_ = 0;  // 0: not known yet
};

std::string encode_layout(const job_layout& layout);
// Not known if the value can't be read.
job_layout decode_layout(const std::string& value);

extern const fleet::table_name job_table;
extern const fleet::table_name progress_table;
extern const fleet::table_name ended_table;
// Contains the owner's row and one row per daemon. Every daemon follows this table.
extern const fleet::table_name fleet_table;
// Contains the owner's fencing token for each partition of the jobs. No daemon follows this table,
// since each write of progress changes it.
extern const fleet::table_name fencing_token_table;
// Contains the owner's record of its VMs, in the partition of the owner's row. No daemon follows
// this table; a new owner reads it once.
extern const fleet::table_name vm_record_table;

// What a row of the progress table belongs to.
struct progress_row_name {
    fleet::job_id job;
    std::optional<fleet::block_ref> block;  // empty: the job's progress row
};
progress_row_name parse_progress_row(const fleet::row_name& row);

// In the fleet table.
fleet::row_address layout_row();
fleet::row_address owner_row();
fleet::row_address vm_record_row(std::size_t part);
fleet::row_address fencing_token_row(const fleet::partition_name& partition);
fleet::row_address daemon_row(const std::string& vm_name);
// The VM name of the daemon that the row belongs to; empty if it is not a daemon's row.
std::string vm_of_daemon_row(const fleet::row_name& row);

}  // namespace cranberrydock::fleet_daemon
