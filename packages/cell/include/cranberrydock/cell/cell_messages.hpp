// What goes into the decider of a cell and what comes out of it. The decider does no I/O: its
// embedder turns effects into commands, writes and replies, and their results into events.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/cell/work_record.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/vm_client.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <variant>
#include <vector>

namespace cranberrydock::cell {

using reply_id =
    base::strong_number<struct reply_id_tag>;  // a waiting caller, named by the embedder
using command_id = base::strong_number<struct command_id_tag>;  // a command to a VM under way
using record_id = base::strong_number<struct record_id_tag>;    // a journal record under way

// ---- events

struct submit {
    base::work what;
    reply_id reply_to;
};

struct cancel_job {
    base::team_id team;
    base::job_id job;
};

// The workers of this cell, as the member list has them now.
struct vms_listed {
    std::vector<platform::member> vms;
};

// An operator wants this VM to finish what it has and get nothing new, or takes that back.
struct drain_vm {
    base::vm_id vm;
    bool drain = true;
};

struct vm_answered {
    command_id command;
    platform::vm_result result;
};

struct record_durable {
    record_id record;
};

// The record will not be written. `may_be_written`: it may stand in the journal nevertheless.
struct record_failed {
    record_id record;
    bool may_be_written = false;
};

struct queue_limits {
    base::queue_name queue;
    int max_attempts = 1;
};

// The configuration in force, as far as a cell is concerned, and this cell's parts of the limits.
struct rules_changed {
    std::vector<policy::queue_rules> queues;
    std::vector<queue_limits> limits;
    std::vector<policy::team_rules> teams;
};

// Until when, on this process's clock, the owner can show that it still owns the cell.
struct evidence_extended {
    base::time_point until;
};

// What the previous owner wrote down; comes once, before anything is placed.
struct recovered {
    std::vector<work_record> records;  // in the order of their writing
};

struct drain_requested {};

struct clock_tick {};

using cell_event = std::variant<submit, cancel_job, vms_listed, drain_vm, vm_answered,
                                record_durable, record_failed, rules_changed, evidence_extended,
                                recovered, drain_requested, clock_tick>;

// ---- effects

struct command_vm {
    command_id id;
    base::vm_id vm;
    net::endpoint address;
    platform::vm_command command;
    base::milliseconds timeout{0};
};

struct append_record {
    record_id id;
    work_record record;
};

struct reply {
    reply_id to;
    base::work_outcome outcome;
    std::vector<base::trace_step> trace;
};

// A VM has seen a higher epoch: this owner has been replaced and does nothing more.
struct superseded {
    base::epoch seen;
};

// The drain is complete: nothing queued here is left untold, nothing waits for an answer.
struct drained {};

using cell_effect = std::variant<command_vm, append_record, reply, superseded, drained>;

}  // namespace cranberrydock::cell
