// Identifiers shared by the packages.
#pragma once

#include <cranberrydock/base/strong_type.hpp>

namespace cranberrydock::base {

using region_name = strong_id<struct region_name_tag>;
using zone_name = strong_id<struct zone_name_tag>;  // an availability zone
using rack_name = strong_id<struct rack_name_tag>;
using cell_id = strong_id<struct cell_id_tag>;      // the VMs of one availability zone
using vm_id = strong_id<struct vm_id_tag>;          // a worker VM, as named in the member list
using daemon_id = strong_id<struct daemon_id_tag>;  // one run of a daemon: its VM and incarnation
using team_id = strong_id<struct team_id_tag>;
using queue_name = strong_id<struct queue_name_tag>;
using kind_name = strong_id<struct kind_name_tag>;              // a request kind, such as "preview"
using key_id = strong_id<struct key_id_tag>;                    // the public part of a key
using idempotency_key = strong_id<struct idempotency_key_tag>;  // chosen by the caller
using request_id = strong_id<struct request_id_tag>;  // assigned by the entry; unique in the fleet
using job_id = strong_id<struct job_id_tag>;          // a job consists of one or more tasks
using task_id = strong_id<struct task_id_tag>;  // a unit of work that runs on one VM at a time
using attempt_id = strong_id<struct attempt_id_tag>;          // one dispatch of a task to one VM
using incarnation_id = strong_id<struct incarnation_id_tag>;  // one boot of a VM's agent

using epoch = strong_number<struct epoch_tag>;  // incremented with each change of a cell's owner
using config_version = strong_number<struct config_version_tag>;

}  // namespace cranberrydock::base
