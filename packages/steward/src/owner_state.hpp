// What the owner's task remembers, shared by its stages: loading (owner_loading.cpp), VMs
// (owner_vms.cpp), deciding (owner_task.cpp) and saving (owner_saving.cpp).
#pragma once

#include <cranberrydock/base/log_budget.hpp>
#include <cranberrydock/steward/job_parts.hpp>
#include <cranberrydock/steward/owner_task.hpp>
#include <cranberrydock/steward/table_follower.hpp>

#include "rows_listener.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace cranberrydock::steward {

struct owner_task::state final : session_listener {
    state(net::event_loop& event_loop, fleet::row_store& rows_store, fleet::vm_control& vm_calls,
          const fleet::platform_rows& platform, const job_layout& job_rows_layout,
          adviser_pool& pool, owner_rights& ownership, fleet::fence fence,
          const owner_settings& limits, base::metrics& counters);

    // owner_loading.cpp
    // Makes the fence known to each part of the jobs, then reads what was submitted and how far it
    // has come; an earlier owner can't write progress any more.
    void load();
    void fence_part(const fleet::part_name& part);
    void read_progress();
    void progress_known();
    void on_job_table(const std::vector<fleet::stored_row>& rows);
    void on_job_changes(const std::vector<fleet::stored_row>& rows);
    // `loaded`: it was there when this owner began.
    void take_job(const fleet::stored_row& row, bool loaded);
    // Whether all jobs are known that were accepted until a moment ago.
    bool jobs_current() const;
    void on_member_table(const std::vector<fleet::stored_row>& rows);
    void on_member_changes(const std::vector<fleet::stored_row>& rows);
    void take_member(const fleet::vm_id& id, const std::string& value);

    // owner_vms.cpp
    void on_report(const fleet::vm_id& vm, const fleet::vm_report& report,
                   base::time_point asked) override;
    void on_reachable(const fleet::vm_id& vm, bool reachable) override;
    void on_lost(const fleet::vm_id& vm, const std::string& reason, bool gone) override;
    void on_ended(const fleet::vm_id& vm) override;
    void on_reborn(const fleet::vm_id& vm) override;
    void on_higher_fence(const fleet::vm_id& vm) override;
    fleet::end_number acknowledgeable(const fleet::vm_id& vm) override;
    bool may_order() override;
    void order_start(const fleet::start_decision& what);
    void order_stop(const fleet::stop_decision& what);
    // Whether no earlier owner can start anything any more.
    bool may_start();
    // The same for jobs that no earlier owner can have heard of.
    bool may_start_new_jobs();
    bool all_told(const std::function<bool(const fleet::vm_id&)>& told) const;
    // Whether every VM that may still run something is listed.
    bool all_listed() const;
    void check_inherited();

    // owner_task.cpp
    void wake();
    void decide();
    void hold_starts_on_old_news();
    void log_load();
    fleet::moment now() const;

    struct part_state {
        fleet::store_version fence_version;
        // The newest progress that is not saved, a job an entry.
        std::map<fleet::job_id, fleet::scheduler::unsaved_job> waiting;
        std::vector<fleet::scheduler::unsaved_job> sent;
        std::vector<fleet::job_id> removed;  // sent for removal
        bool busy = false;
        base::time_point sent_at;
        base::duration usual_time{0};  // of a write, smoothed
        std::unique_ptr<net::timer> next;
    };

    // owner_saving.cpp
    void save();
    void send_progress(const fleet::part_name& part);
    void progress_sent(const fleet::part_name& part,
                       const tl::expected<fleet::store_version, fleet::store_error>& answer);
    // A job may have been cancelled just before its end was to be saved.
    void take_cancellations(part_state& part, const std::vector<fleet::job_id>& sent,
                            const std::vector<fleet::stored_row>& found);
    void remove_old();
    void answer_waiting(const fleet::job_id& job);
    // Callers who wait too long for an end to be saved hear that the job still goes on.
    void answer_overdue();

    net::event_loop& loop;
    fleet::row_store& store;
    fleet::vm_control& vms;
    const fleet::platform_rows& rows;
    job_layout layout;
    adviser_pool& advisers;
    owner_rights& rights;
    fleet::fence owner;
    owner_settings settings;
    base::metrics& metrics;
    base::suspend_aware_clock clock;

    fleet::scheduler scheduler;
    std::map<fleet::vm_id, std::unique_ptr<vm_session>> sessions;
    std::vector<std::unique_ptr<vm_session>> ended_sessions;  // destroyed at the next decision
    fleet::resources largest_vm;
    std::set<fleet::vm_label> labels;  // that any VM has had

    detail::rows_listener job_rows;
    detail::rows_listener member_rows;
    table_follower jobs;
    table_follower members;
    bool members_known = false;
    base::time_point members_read;  // when they were known first
    bool jobs_known = false;
    std::set<fleet::vm_id> judged;  // VMs whose report the scheduler has seen
    // The last report of each VM that came before the jobs were loaded.
    struct early_report {
        fleet::vm_report report;
        base::time_point asked;
    };
    std::map<fleet::vm_id, early_report> early_reports;
    // VMs that have not answered since the jobs were loaded.
    std::set<fleet::vm_id> unanswering;
    std::set<fleet::vm_id> ended_vms;  // whose processes have ended, and that have not been back
    bool progress_read = false;
    std::optional<std::vector<fleet::stored_row>> read_jobs;  // before their progress was read
    bool inherited_known = false;
    bool may_start_known = false;
    std::optional<fleet::store_version> new_jobs_after;  // jobs with later rows are new ones
    bool starts_held = false;   // until the changes of the jobs are heard again
    bool earlier_gone = false;  // the process of the owner before has ended
    base::time_point begun;     // when this daemon became the owner

    std::unordered_map<fleet::job_id, fleet::job_progress> progress;  // while loading
    std::size_t parts_fenced = 0;
    std::size_t parts_read = 0;

    std::map<fleet::part_name, part_state> parts;
    // Versions of the jobs' rows as they were submitted, as far as the store has told them.
    std::unordered_map<fleet::job_id, fleet::store_version> submitted_versions;
    // Jobs whose row of progress may be in the store.
    std::unordered_set<fleet::job_id> progress_rows;
    // How jobs have ended under this owner, and who waits to hear of an end that is being saved.
    std::unordered_map<fleet::job_id, known_status> endings;
    struct waiting_caller {
        status_done done;
        base::time_point since;
    };
    std::unordered_map<fleet::job_id, std::vector<waiting_caller>> waiting_callers;
    // Ended jobs in the order of their ends, to be removed when callers had time to ask.
    std::deque<std::pair<fleet::unix_time, fleet::job_id>> ended;
    // For an engineer who follows one job; under load only so many a second.
    base::log_budget start_lines{"task_started", task_lines_per_second};
    base::log_budget end_lines{"task_ended", task_lines_per_second};
    base::log_budget stop_lines{"task_stop", task_lines_per_second};
    base::log_budget job_lines{"job_ended", task_lines_per_second};
    static constexpr std::int64_t task_lines_per_second = 250;

    std::unique_ptr<net::timer> decide_timer;
    std::unique_ptr<net::timer> tick;
    std::unique_ptr<net::timer> logging;
    base::duration deciding{0};  // time spent since the last line
    base::time_point last_decision{};
    base::duration last_decision_time{0};
    int decision_count = 0;
    int start_count = 0;
    int question_count = 0;
    int report_count = 0;  // of VMs
    int told_count = 0;    // jobs that entries told of
    int status_count = 0;  // questions of entries about jobs
    std::vector<std::unique_ptr<net::timer>> retries;
    lifetime alive;
};

}  // namespace cranberrydock::steward
