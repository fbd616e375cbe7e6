// Jobs, steps and a configuration for tests of the fleet.
#pragma once

#include <cranberrydock/fleet/configuration.hpp>
#include <cranberrydock/fleet/scheduler.hpp>

#include <string>

namespace cranberrydock::standins {

// What one task needs: 100 MiB and thousandths of a core.
inline base::resources need_of_cores(std::int64_t thousandths) {
    return {base::millicores(thousandths), base::mebibytes(100), {}, {}};
}

// The capacity of a VM with 64 GiB.
inline base::resources vm_capacity_of(std::int64_t thousandths) {
    constexpr std::int64_t memory_mib = 65'536;
    return {base::millicores(thousandths), base::mebibytes(memory_mib), {}, {}};
}

// The customer "crew" and the queues "urgent" (urgency 0) and "batch" (urgency 2) of one service.
// The limit is the customer's, in thousandths of a core; 0: unlimited.
inline fleet::fleet_configuration two_queue_configuration(std::int64_t limit_thousandths = 0) {
    fleet::fleet_configuration out;
    out.version = base::config_version(1);
    for (const char* const name : {"urgent", "batch"}) {
        fleet::queue_config queue;
        queue.name = fleet::queue_name(name);
        queue.host = "h";
        queue.prefix = std::string("/") + name + "/";
        queue.terms.service = fleet::service_name("svc");
        queue.terms.urgency = queue.name.str() == "urgent" ? 0 : 2;
        queue.terms.max_attempts = 3;
        queue.terms.slack_factor = 2.0;
        queue.terms.target_latency = base::milliseconds(1'000);
        out.queues.push_back(queue);
    }
    fleet::customer_config customer_entry;
    customer_entry.name = fleet::customer_name("crew");
    customer_entry.keys = {"k"};
    customer_entry.share = 1'000;
    customer_entry.upper_limit.cores = base::millicores(limit_thousandths);
    out.customers[customer_entry.name] = customer_entry;
    out.customers_by_key["k"] = customer_entry.name;
    out.services[fleet::service_name("svc")] = {fleet::service_name("svc"), false};
    return out;
}

inline fleet::step_spec make_step(int tasks, std::int64_t thousandths) {
    fleet::step_spec out;
    out.task_count = tasks;
    out.need = need_of_cores(thousandths);
    out.estimate = base::milliseconds(100);
    return out;
}

inline fleet::job_spec make_job(const std::string& id, const std::string& queue,
                                std::vector<fleet::step_spec> steps) {
    fleet::job_spec out;
    out.id = fleet::job_id(id);
    out.queue = fleet::queue_name(queue);
    out.customer = fleet::customer_name("crew");
    out.terms = two_queue_configuration().find_queue(out.queue)->terms;
    out.payload = "payload of " + id;
    out.steps = std::move(steps);
    return out;
}

// Applies a change of a job's progress to what the store has of it.
inline void write_progress(fleet::job_progress& stored, const fleet::job_progress& changed) {
    auto blocks = std::move(stored.blocks);
    for (const auto& it : changed.blocks) {
        blocks[it.first] = *fleet::decode_block(fleet::encode_block(it.second));
    }
    stored = *fleet::decode_progress(fleet::encode_progress(changed));
    for (auto it = blocks.begin(); it != blocks.end();) {
        it = changed.in_blocks && !changed.is_finished(it->first.occurrence) ? std::next(it)
                                                                             : blocks.erase(it);
    }
    stored.blocks = std::move(blocks);
}

// The store has applied all changes of the jobs' progress.
inline void save_progress(fleet::scheduler& owner, const fleet::clock_reading& now) {
    for (const auto& it : owner.take_unsaved_jobs(now)) {
        owner.progress_saved(it.job, it.change);
    }
}

}  // namespace cranberrydock::standins
