// The state of the owner's task, shared by its stages: loading (owner_startup.cpp), VM sessions
// (owner_vms.cpp), scheduling (owner_task.cpp) and saving (owner_persistence.cpp).
#pragma once

#include <cranberrydock/base/log_rate_limiter.hpp>
#include <cranberrydock/fleet/inherited_vms.hpp>
#include <cranberrydock/fleet_daemon/job_layout.hpp>
#include <cranberrydock/fleet_daemon/listening_clock.hpp>
#include <cranberrydock/fleet_daemon/owner_task.hpp>
#include <cranberrydock/fleet_daemon/table_follower.hpp>

#include "rows_listener.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace cranberrydock::fleet_daemon {

struct owner_task::state final : session_listener {
    state(net::event_loop& event_loop, fleet::row_store& rows_store, fleet::vm_control& vm_calls,
          const fleet::platform_rows& platform, const job_layout& job_rows_layout,
          advisor_pool& pool, ownership_view& ownership, fleet::fencing_token token,
          const owner_settings& initial_settings, base::metrics& metrics_registry);

    // owner_startup.cpp
    // Writes the fencing token to each partition of the jobs, after which no previous owner can
    // write progress any more. Then reads the jobs' progress and the jobs.
    void load();
    void fencing_token_partition(const fleet::partition_name& partition);
    void read_progress();
    void load_progress_row(const fleet::stored_row& row);
    // Blocks that a previous owner had not removed when their job ended.
    void remove_blocks_of_ended_jobs(const std::vector<fleet::stored_row>& open_jobs);
    void on_progress_loaded();
    // Reads which VMs the previous owner had on record.
    void read_vm_record();
    void on_vm_record(const std::vector<fleet::stored_row>& rows);
    void on_job_table(const std::vector<fleet::stored_row>& rows);
    void on_job_changes(const std::vector<fleet::stored_row>& rows);
    // `loaded` means that the row was in the store when this owner loaded the jobs.
    void add_job(const fleet::stored_row& row, bool loaded);
    // Whether all jobs that were accepted until recently have been read.
    bool jobs_are_current() const;
    // Whether the jobs have been read once more since they were loaded. Another daemon may have
    // confirmed a cancellation after the load had read the job.
    bool knows_earlier_cancellations() const { return jobs_known && jobs.as_of() >= loaded_at; }
    void on_member_table(const std::vector<fleet::stored_row>& rows);
    void on_member_changes(const std::vector<fleet::stored_row>& rows);
    // False if the entry can't be read, and so names no VM.
    bool add_member(const fleet::vm_id& id, const std::string& value);

    // owner_vms.cpp
    void on_report(const fleet::vm_id& vm, const fleet::vm_report& report,
                   base::time_point watch_sent_at) override;
    // Whether the owner's row shows the VM.
    bool is_on_record(const fleet::vm_id& vm) const;
    void process_early_reports();
    void on_reachable(const fleet::vm_id& vm, bool reachable) override;
    void on_refused_connection(const fleet::vm_id& vm) override;
    void on_lost(const fleet::vm_id& vm, const std::string& reason, bool gone) override;
    void on_process_ended(const fleet::vm_id& vm) override;
    void on_restarted(const fleet::vm_id& vm) override;
    void on_higher_fencing_token(const fleet::vm_id& vm) override;
    fleet::completion_number acknowledgeable_completion(const fleet::vm_id& vm) override;
    bool may_issue_commands() override;
    base::time_point last_renewal_sent() override;
    void send_start(const fleet::start_decision& decision);
    // Logs what proved that the task's earlier run had ended.
    void log_restart(const fleet::start_decision& decision);
    void send_stop(const fleet::stop_decision& decision);
    void check_inherited_runs();
    void on_inherited_runs_known();
    // Takes VMs that leave and have no run off the record.
    void update_drained_vms();
    // Logs the start, the end and a change of the wait for VMs that are not accounted for.
    void check_unknown_vms();
    // Logs what this owner waits for and what it holds back meanwhile.
    void log_wait(const char* event);
    base::milliseconds owner_age() const;

    // owner_task.cpp
    void wake();
    void decide();
    void hold_starts_on_stale_jobs();
    void update_load();
    // Encodes the record of VMs for the store if it has changed.
    void encode_vm_record() const;
    void log_load();
    // Logs tasks that have waited for a long time although there is room for them.
    void log_waits();
    fleet::clock_reading now() const;

    // A job whose row is written alone, after a pause that grows with each rejection.
    struct rejected_job {
        fleet::scheduler::unsaved_job progress;
        base::time_point retry_at;
        int rejections = 0;  // of this progress
        base::milliseconds pause{0};
    };

    static constexpr std::size_t max_jobs_per_write = 100;

    struct partition_state {
        fleet::store_version fencing_token_row_version;
        // The newest unsaved progress of each job.
        std::map<fleet::job_id, fleet::scheduler::unsaved_job> waiting;
        std::vector<fleet::scheduler::unsaved_job> sent;
        // The job whose progress is too large for one transaction: what has not been sent of it.
        // Newer progress of the job waits meanwhile, so that its changes are saved in turn.
        std::optional<fleet::scheduler::unsaved_job> unfinished;
        bool last_sent_is_partial = false;   // the last one of `sent` has a rest in `unfinished`
        std::vector<fleet::job_id> removed;  // ended jobs whose rows are to be removed
        // Rows of blocks that are not needed any more, and those that the write in flight removes.
        std::vector<fleet::row_address> stale_rows;
        std::vector<fleet::row_address> stale_rows_sent;
        // Most jobs of the next transaction. Halved while the store rejects transactions, until the
        // job whose row it rejects is found.
        std::size_t max_jobs = max_jobs_per_write;
        // Jobs whose rows the store has rejected, with their newest unsaved progress.
        std::map<fleet::job_id, rejected_job> rejected;
        bool busy = false;  // a write is in flight
        base::time_point sent_at;
        base::duration typical_write_time{0};  // smoothed
        std::unique_ptr<net::timer> next_write;
    };

    // owner_persistence.cpp
    void save();
    void send_progress(const fleet::partition_name& partition);
    void on_progress_written(const fleet::partition_name& partition,
                             const tl::expected<fleet::store_version, fleet::store_error>& answer);
    // Adds the rows that save the job's progress as far as the transaction has room. Returns the
    // rest, if there is one.
    std::optional<fleet::scheduler::unsaved_job> add_progress(
        fleet::row_transaction& transaction, fleet::scheduler::unsaved_job& unsaved);
    void add_end(fleet::row_transaction& transaction, fleet::scheduler::unsaved_job& unsaved);
    bool has_room_for_row(const fleet::row_transaction& transaction) const;
    void add_waiting_jobs(partition_state& partition, fleet::row_transaction& transaction);
    // Makes the blocks of finished occurrences stale.
    void retire_blocks(const fleet::scheduler::unsaved_job& saved);
    void log_large_row(const fleet::job_id& job, std::size_t bytes);
    static void add_waiting(partition_state& partition, fleet::scheduler::unsaved_job&& unsaved);
    // Queues the jobs of a transaction that was not applied once more.
    void put_back_sent(partition_state& partition);
    // Separates the job whose row the store rejects from the others.
    void on_write_rejected(const fleet::partition_name& name);
    // Handles a conflict in which a job was cancelled just before its end was to be saved.
    // `not_ended`: the jobs whose ends the transaction was to save.
    void apply_cancellations(partition_state& partition,
                             const std::vector<fleet::job_id>& not_ended,
                             const std::vector<fleet::stored_row>& found);
    // Removes jobs that ended longer than `ended_job_retention` ago.
    void remove_expired_jobs();
    void answer_waiting_callers(const fleet::job_id& job);
    // Answers callers that have waited too long for a job's end to be saved that the job is active.
    void answer_overdue_callers();

    // Decisions are also made periodically without an event: quarantines end, and jobs reach their
    // start time.
    static constexpr base::milliseconds tick_period{50};

    net::event_loop& loop;
    fleet::row_store& store;
    fleet::vm_control& vms;
    const fleet::platform_rows& rows;
    job_layout layout;
    advisor_pool& advisors;
    ownership_view& rights;
    fleet::fencing_token owner;
    owner_settings settings;
    base::metrics& metrics;
    base::suspend_aware_clock clock;
    listening_clock listening{tick_period};
    fleet::inherited_leases inherited;
    fleet::inherited_vms inherited_vms;

    fleet::scheduler scheduler;
    fleet::load_estimate expected_waits;
    std::map<fleet::vm_id, std::unique_ptr<vm_session>> sessions;
    std::vector<std::unique_ptr<vm_session>> ended_sessions;  // destroyed at the next decision
    fleet::resources largest_vm;
    std::set<fleet::vm_label> labels;  // of all VMs that have been listed

    detail::rows_listener job_rows;
    detail::rows_listener member_rows;
    table_follower jobs;
    table_follower members;
    bool members_known = false;
    bool jobs_known = false;
    // The last report of each VM that was received before the jobs were loaded, or before the
    // owner's row showed the VM.
    struct early_report {
        fleet::vm_report report;
        base::time_point watch_sent_at;
    };
    std::map<fleet::vm_id, early_report> early_reports;
    bool progress_loaded = false;
    // Jobs that were read before their progress had been loaded.
    std::optional<std::vector<fleet::stored_row>> early_job_rows;
    bool inherited_known = false;
    bool may_start_known = false;
    // Why inherited VMs were not accounted for at the last check.
    fleet::vms_unknown vms_unknown = fleet::vms_unknown::nothing;
    // Jobs that a previous owner may have started; only until `inherited_known`.
    std::unordered_set<fleet::job_id> inherited_jobs;
    // The encoded record of VMs at this revision of it; empty if there is none or it is too large.
    mutable std::vector<std::string> vm_record_parts;
    mutable std::optional<std::uint64_t> vm_record_checksum;
    mutable std::optional<fleet::vm_set_digest> vm_set;
    mutable std::uint64_t vm_record_revision = 0;
    bool starts_held = false;     // because the last read of the jobs is too old
    base::time_point started_at;  // when this daemon became the owner
    base::time_point loaded_at;   // when the jobs became known

    std::unordered_map<fleet::job_id, fleet::job_progress> progress;  // only while loading
    std::size_t partitions_fenced = 0;
    std::size_t partitions_read = 0;

    std::map<fleet::partition_name, partition_state> partitions;
    // Versions of the jobs' rows as submitted, where known.
    std::unordered_map<fleet::job_id, fleet::store_version> submitted_versions;
    // Jobs with a progress row that was too large, for the log.
    std::unordered_set<fleet::job_id> jobs_with_large_row;
    // Jobs that may have a progress row in the store.
    std::unordered_set<fleet::job_id> progress_rows;
    // The blocks of each job that may have a row in the store.
    std::unordered_map<fleet::job_id, std::set<fleet::block_ref>> block_rows;
    // Final states of the jobs that have ended under this owner and whose end is durable.
    std::unordered_map<fleet::job_id, owner_job_status> ended_statuses;
    // Jobs that were cancelled before they were accepted. Callers learn of them from the store
    // only.
    std::unordered_set<fleet::job_id> withdrawn_jobs;
    // Callers that wait until a job's end is durable.
    struct waiting_caller {
        status_callback done;
        base::time_point waiting_since;
    };
    std::unordered_map<fleet::job_id, std::vector<waiting_caller>> waiting_callers;
    // Ended jobs in the order of their ends, to be removed after `ended_job_retention`.
    std::deque<std::pair<fleet::unix_time, fleet::job_id>> ended;
    // For tracing single jobs in the log. Limited to `task_lines_per_second` each under load.
    base::log_rate_limiter job_log_limiter{"job_found", task_lines_per_second};
    base::log_rate_limiter start_log_limiter{"task_started", task_lines_per_second};
    base::log_rate_limiter start_failed_log_limiter{"start_failed", task_lines_per_second};
    base::log_rate_limiter completion_log_limiter{"task_ended", task_lines_per_second};
    base::log_rate_limiter stop_log_limiter{"task_stop", task_lines_per_second};
    base::log_rate_limiter job_end_log_limiter{"job_ended", task_lines_per_second};
    static constexpr std::int64_t task_lines_per_second = 250;
    base::log_rate_limiter wait_log_limiter{"task_waits", wait_lines_per_second};
    static constexpr std::int64_t wait_lines_per_second = 20;
    mutable base::log_rate_limiter large_record_log_limiter{"row_too_large", 1};
    // Entries of other writers, which may be many.
    base::log_rate_limiter unreadable_log_limiter{"member_unreadable", unreadable_lines_per_second};
    static constexpr std::int64_t unreadable_lines_per_second = 20;

    std::unique_ptr<net::timer> decide_timer;
    std::unique_ptr<net::timer> tick;
    std::unique_ptr<net::timer> load_timer;
    std::unique_ptr<net::timer> logging;
    // Counted since the last `owner_load` log line.
    base::duration deciding_time{0};
    base::time_point last_decision{};
    base::duration last_decision_time{0};
    int decision_count = 0;
    int start_count = 0;
    int query_count = 0;
    int report_count = 0;        // reports of VMs
    int notification_count = 0;  // written jobs that daemons have notified this owner of
    int status_query_count = 0;  // queries of daemons about jobs
    std::vector<std::unique_ptr<net::timer>> retries;
    lifetime alive;
};

}  // namespace cranberrydock::fleet_daemon
