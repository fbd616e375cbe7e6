// The scheduler's model of work. A job is a graph of steps, and a step consists of identical tasks.
// A timed job runs all of its steps again at each of its due times; each of these is an occurrence.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

using base::job_id;
using base::milliseconds;
using base::queue_name;
using base::rack_name;
using base::resources;
using base::vm_id;
using base::zone_name;
using customer_name = base::strong_id<struct customer_name_tag>;
using service_name = base::strong_id<struct service_name_tag>;
using vm_label = base::strong_id<struct vm_label_tag>;
using image_name = base::strong_id<struct image_name_tag>;
using placement_ticket = base::strong_id<struct placement_ticket_tag>;
using checkpoint = base::strong_id<struct checkpoint_tag>;  // empty: start from the beginning
using run_number = base::strong_number<struct run_number_tag, std::int32_t>;
// Numbers the owners of the fleet. A VM rejects commands with a lower token than it has received.
using fencing_token = base::strong_number<struct fencing_token_tag>;
// Wall-clock time in milliseconds since 1970. Callers specify due times in it.
using unix_time = base::strong_number<struct unix_time_tag>;

struct step_spec {
    int task_count = 1;
    resources need;              // of each task
    milliseconds estimate{0};    // declared run time of a task
    std::vector<int> after;      // indices of earlier steps that must be done first
    bool gang = false;           // all tasks run at the same time or not at all
    bool same_rack = false;      // slower when spread over racks
    bool checkpoints = false;    // tasks save checkpoints
    bool speculative = false;    // copies of a task may run in parallel
    bool long_running = false;   // tasks are restarted whenever they end
    bool opportunistic = false;  // uses only capacity that other tasks leave idle
    vm_label required_label;
    rack_name data_rack;  // tasks are slower on any other rack
    int max_per_vm = 0;   // 0: no limit
    image_name image;
    milliseconds tail_latency_target{0};
    int max_unavailable =
        0;  // tasks that the scheduler's own actions may take out of service at once
};

// The queue's terms when the job was accepted. They apply if the queue has been removed since.
struct queue_terms {
    service_name service;
    int urgency = 0;  // 0 is the most urgent
    int max_attempts = 1;
    double slack_factor = 1.0;
    milliseconds target_latency{0};
};

struct job_spec {
    job_id id;
    queue_name queue;
    customer_name customer;
    queue_terms terms;
    unix_time accepted;
    // The owner that the accepting daemon knew when it wrote the job; no earlier owner starts the
    // job. 0: not known.
    fencing_token accepted_under;
    std::string payload;  // passed to each task unchanged
    std::vector<step_spec> steps;
    int occurrences = 0;  // 0: the job runs once, immediately
    milliseconds period{0};
    unix_time first_start;  // of the first occurrence
};

enum class job_state { queued, active, complete, failed, cancelled };

const char* to_string(job_state state);

inline bool is_final(job_state state) {
    return state == job_state::complete || state == job_state::failed ||
           state == job_state::cancelled;
}

// One task of one step in one occurrence of a job.
struct task_ref {
    job_id job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend bool operator<(const task_ref& a, const task_ref& b) {
        if (a.job != b.job) {
            return a.job < b.job;
        }
        if (a.occurrence != b.occurrence) {
            return a.occurrence < b.occurrence;
        }
        return a.step != b.step ? a.step < b.step : a.index < b.index;
    }
    friend bool operator==(const task_ref& a, const task_ref& b) {
        return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step &&
               a.index == b.index;
    }
};

// Formats the task for logs as JOB.OCCURRENCE.STEP.INDEX.
std::string to_string(const task_ref& task);

}  // namespace cranberrydock::fleet
