// The events and effects of a cell's decider. The decider does no I/O: its embedder carries out the
// effects as commands, writes and replies, and feeds their results back as events.
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
    base::strong_number<struct reply_id_tag>;  // a waiting caller; assigned by the embedder
using command_id = base::strong_number<struct command_id_tag>;  // a pending command to a VM
using record_id = base::strong_number<struct record_id_tag>;    // a pending journal record

// ---- events

struct submit {
    base::work work;
    reply_id reply_to;
};

struct cancel_job {
    base::team_id team;
    base::job_id job;
};

// The worker VMs of this cell in the current member list.
struct vms_listed {
    std::vector<platform::member> vms;
};

// An operator drains this VM: its tasks run to their end and it gets no new ones. `drain` false
// cancels the drain.
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

// The record will not be written. With `may_be_written` it may be in the journal nevertheless.
struct record_failed {
    record_id record;
    bool may_be_written = false;
};

struct queue_limits {
    base::queue_name queue;
    int max_attempts = 1;
};

// The part of the configuration in force that concerns a cell, and this cell's parts of the limits.
struct rules_changed {
    std::vector<policy::queue_settings> queues;
    std::vector<queue_limits> limits;
    std::vector<policy::team_settings> teams;
};

// The owner can prove its ownership of the cell until this time, on this process's clock.
struct ownership_evidence_extended {
    base::time_point until;
};

// The journal of the previous owner. Sent once, before the first placement.
struct journal_recovered {
    std::vector<work_record> records;  // in the order in which they were written
};

struct drain_requested {};

struct clock_tick {};

using cell_event =
    std::variant<submit, cancel_job, vms_listed, drain_vm, vm_answered, record_durable,
                 record_failed, rules_changed, ownership_evidence_extended, journal_recovered,
                 drain_requested, clock_tick>;

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

// A VM has seen a higher epoch: another owner has replaced this one, which must stop.
struct superseded {
    base::epoch seen;
};

// The drain is complete: every waiting caller has been answered, and no start or record is pending.
struct drained {};

using cell_effect = std::variant<command_vm, append_record, reply, superseded, drained>;

}  // namespace cranberrydock::cell
