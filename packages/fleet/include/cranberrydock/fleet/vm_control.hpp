// What the fleet needs of worker VMs and of the placement adviser.
#pragma once

#include <cranberrydock/fleet/work.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

// Milliseconds on one VM's own steady clock.
using vm_time = base::strong_number<struct vm_time_tag>;
using fence = base::strong_number<struct fence_tag>;  // of an owner; VMs refuse lower ones
using end_number = base::strong_number<struct end_number_tag>;  // of an end, in one incarnation
using boot_time = base::strong_number<struct boot_time_tag>;    // tells a VM's incarnations apart

// One VM as the member list shows it.
struct vm_facts {
    vm_id id;
    std::string address;
    service_name service;
    zone_name zone;
    rack_name rack;
    std::vector<vm_label> labels;  // its kind and its rack
    resources capacity;
    bool leaving = false;
    boot_time boot;
};

struct running_task {
    task_ref task;
    run_number run;
    checkpoint saved;
    int percent = 0;
};

enum class end_kind { done, failed, stopped, lease_lapsed, gang_broken, gang_incomplete };

const char* to_string(end_kind kind);

struct task_end {
    end_number number;
    task_ref task;
    run_number run;
    end_kind kind = end_kind::done;
    checkpoint saved;
};

struct vm_report {
    vm_time now;
    boot_time boot;
    std::vector<running_task> running;
    std::vector<task_end> ends;
};

enum class order_failure {
    not_delivered,      // the VM has not seen it
    nothing_listens,    // not delivered, for the process that ran the VM's tasks has ended
    answer_lost,        // may be carried out now, later or never
    other_incarnation,  // the VM that was meant is gone
    lower_fence,        // another owner has spoken to the VM
    superseded,         // that run was stopped or has ended
    too_late,           // its lease had passed
    no_room,
    ticket_invalid,
    unhealthy,  // the VM has done nothing
    malformed,
};

const char* to_string(order_failure failure);

struct start_order {
    task_ref task;
    run_number run;
    std::string payload;
    vm_time lease_until;
    checkpoint from;
    placement_ticket ticket;
};

struct watch_order {
    vm_time lease_until;  // 0: the lease stays as it is
    end_number acknowledged;
    milliseconds wait{0};
};

using start_done = std::function<void(tl::expected<vm_time, order_failure>)>;
using stop_done = std::function<void(tl::expected<vm_time, order_failure>)>;
using watch_done = std::function<void(tl::expected<vm_report, order_failure>)>;

// Asynchronous; each callback comes once, on the caller's loop, never inside the call.
class vm_control {
public:
    virtual ~vm_control() = default;

    virtual void start(const vm_facts& vm, fence owner, const start_order& order,
                       start_done done) = 0;
    virtual void stop(const vm_facts& vm, fence owner, const task_ref& task, run_number run,
                      stop_done done) = 0;
    virtual void watch(const vm_facts& vm, fence owner, const watch_order& order,
                       watch_done done) = 0;
};

struct step_ref {
    job_id job;
    int occurrence = 0;
    int step = 0;

    friend bool operator<(const step_ref& a, const step_ref& b) {
        if (a.job != b.job) {
            return a.job < b.job;
        }
        return a.occurrence != b.occurrence ? a.occurrence < b.occurrence : a.step < b.step;
    }
};

struct advice_question {
    step_ref step;
    std::vector<vm_id> vms;
    milliseconds service_time{0};  // that the adviser is said to need for it
    bool is_long = false;          // it should not be asked where short ones would wait for it
};

// How many questions may be asked at once, and how many of them may be long.
struct adviser_room {
    int questions = 0;
    int long_questions = 0;
};

struct placement_grant {
    vm_id vm;
    placement_ticket ticket;
};

struct advice_answer {
    std::vector<placement_grant> grants;
    milliseconds ticket_life{0};
};

// Failure: nothing is known; ask again.
using advice_done = std::function<void(tl::expected<advice_answer, order_failure>)>;

class placement_adviser {
public:
    virtual ~placement_adviser() = default;
    virtual void ask(const advice_question& question, milliseconds timeout, advice_done done) = 0;
};

}  // namespace cranberrydock::fleet
