// Saving: writes the progress of jobs, with one transaction at a time for each partition, under the
// owner's fencing token.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet_daemon {
namespace {

// The store accepts 100 entries per transaction; two are used for the fencing token.
constexpr std::size_t max_entries = 98;
// The ended row, the removal of the job's row and its progress row, and the condition that the job
// was not cancelled.
constexpr std::size_t max_entries_per_ended_job = 4;
constexpr std::size_t max_removals = 20;
// The timeout of a write is a multiple of the typical write time. The store executes a write even
// after its timeout, and the next write waits for it.
constexpr int write_timeout_factor = 4;
constexpr base::duration min_write_timeout{base::milliseconds{1'500}};
constexpr base::duration max_write_timeout{base::milliseconds{4'000}};
constexpr int smoothing = 2;  // number of writes over which the typical time is smoothed
constexpr base::milliseconds retry_pause{100};
// Changes within this time are saved by one transaction, since each call to the store has a cost.
constexpr base::milliseconds save_pause{40};
constexpr base::milliseconds max_wait_for_save{300};

}  // namespace

void owner_task::state::save() {
    if (!jobs_known) {
        return;
    }
    for (auto& it : scheduler.take_unsaved_jobs(now())) {
        auto& partition = partitions[layout.partition_of(it.job)];
        partition.waiting[it.job] = std::move(it);
    }
    for (const auto& it : layout.partitions()) {
        send_progress(it);
    }
}

void owner_task::state::send_progress(const fleet::partition_name& name) {
    partition_state& partition = partitions[name];
    if (partition.busy || partition.next_write ||
        (partition.waiting.empty() && partition.removed.empty())) {
        return;
    }
    partition.busy = true;
    fleet::row_transaction transaction;
    // Each transaction rewrites the fencing token. Only one of two writes that are conditional on
    // the same version can be applied, so a write whose answer was lost can't undo a later one.
    transaction.conditions.push_back(
        {fencing_token_row(name), partition.fencing_token_row_version});
    transaction.puts.push_back({fencing_token_row(name), std::to_string(owner.value())});
    partition.sent.clear();
    std::size_t entries = 0;
    while (!partition.waiting.empty() && entries + max_entries_per_ended_job <= max_entries) {
        auto unsaved = std::move(partition.waiting.begin()->second);
        partition.waiting.erase(partition.waiting.begin());
        if (is_final(unsaved.progress.state)) {
            unsaved.progress.withdrawn = withdrawn_jobs.count(unsaved.job) > 0;
            transaction.puts.push_back(
                {layout.ended_row(unsaved.job), encode_progress(unsaved.progress)});
            transaction.removals.push_back(layout.job_row(unsaved.job));
            entries += 2;
            const auto version = submitted_versions.find(unsaved.job);
            if (version != submitted_versions.end() &&
                unsaved.progress.state != fleet::job_state::cancelled) {
                transaction.conditions.push_back({layout.job_row(unsaved.job), version->second});
                ++entries;
            }
            if (progress_rows.erase(unsaved.job) > 0) {
                transaction.removals.push_back(layout.progress_row(unsaved.job));
                ++entries;
            }
        } else {
            transaction.puts.push_back(
                {layout.progress_row(unsaved.job), encode_progress(unsaved.progress)});
            progress_rows.insert(unsaved.job);
            ++entries;
        }
        partition.sent.push_back(std::move(unsaved));
    }
    if (partition.sent.empty()) {
        for (const auto& it : partition.removed) {
            transaction.removals.push_back(layout.ended_row(it));
        }
    }
    partition.sent_at = clock.now();
    const auto timeout = std::clamp<base::duration>(
        partition.typical_write_time * write_timeout_factor, min_write_timeout, max_write_timeout);
    store.commit(
        transaction, std::chrono::duration_cast<base::milliseconds>(timeout),
        alive.guard([this, name](const auto& answer) { on_progress_written(name, answer); }));
}

void owner_task::state::on_progress_written(
    const fleet::partition_name& name,
    const tl::expected<fleet::store_version, fleet::store_error>& answer) {
    partition_state& partition = partitions[name];
    partition.busy = false;
    if (answer || answer.error().failure != fleet::store_failure::refused) {
        partition.typical_write_time +=
            (clock.now() - partition.sent_at - partition.typical_write_time) / smoothing;
    }
    const auto send_after = [this, name, &partition](base::milliseconds pause) {
        partition.next_write = loop.after(pause, [this, name] {
            partitions[name].next_write.reset();
            send_progress(name);
        });
    };
    if (answer) {
        partition.fencing_token_row_version = *answer;
        if (partition.sent.empty()) {
            partition.removed.clear();
        }
        for (const auto& it : partition.sent) {
            scheduler.progress_saved(it.job, it.change);
            if (is_final(it.progress.state)) {
                ended.emplace_back(it.progress.ended, it.job);
                submitted_versions.erase(it.job);
                if (!it.progress.withdrawn) {
                    ended_statuses[it.job] = {it.progress.customer, it.progress.queue,
                                              it.progress.state};
                }
                answer_waiting_callers(it.job);
                if (job_end_log_limiter.allows(clock.now())) {
                    spdlog::info("event=job_ended job={} queue={} state={}", it.job.str(),
                                 it.progress.queue.str(), fleet::to_string(it.progress.state));
                }
            }
        }
        partition.sent.clear();
        send_after(save_pause);
        return;
    }
    std::vector<fleet::job_id> not_saved;
    // emplace() keeps newer progress of the same job that is waiting already.
    for (auto& it : partition.sent) {
        not_saved.push_back(it.job);
        if (is_final(it.progress.state)) {
            progress_rows.insert(it.job);  // the row may still exist
        }
        partition.waiting.emplace(it.job, std::move(it));
    }
    partition.sent.clear();
    if (answer.error().failure == fleet::store_failure::conflict) {
        const auto& found = answer.error().rows;
        if (found.empty() || found.front().value != std::to_string(owner.value())) {
            rights.on_superseded("fencing token of part " + name.str());
            return;
        }
        // An earlier write of this owner was applied although its answer was lost.
        partition.fencing_token_row_version = found.front().version;
        apply_cancellations(partition, not_saved, found);
        send_progress(name);
        return;
    }
    metrics.count("cranberrydock_progress_write_failures_total", "");
    send_after(retry_pause);
}

void owner_task::state::apply_cancellations(partition_state& partition,
                                            const std::vector<fleet::job_id>& sent,
                                            const std::vector<fleet::stored_row>& found) {
    // After the conflict, the recorded versions of the jobs that were sent are no longer valid. A
    // job's end may have been saved although the answer was lost; its row then no longer exists and
    // is not among those found. The recorded versions of other jobs stay valid, since the
    // transaction did not check their rows.
    for (const auto& it : sent) {
        submitted_versions.erase(it);
    }
    for (const auto& it : found) {
        const fleet::job_id job(it.address.name.str());
        const auto waiting = partition.waiting.find(job);
        if (it.address.table != job_table || waiting == partition.waiting.end() ||
            it.version.value() == 0) {
            continue;
        }
        const auto row = fleet::decode_job(job, it.value);
        if (row && row->kind == fleet::job_row_kind::cancelled &&
            is_final(waiting->second.progress.state)) {
            spdlog::info("event=job_cancelled_at_its_end job={} state={}", job.str(),
                         fleet::to_string(waiting->second.progress.state));
            waiting->second.progress.state = fleet::job_state::cancelled;
        } else if (row && row->kind == fleet::job_row_kind::submitted) {
            submitted_versions[job] = it.version;
        }
    }
}

void owner_task::state::answer_waiting_callers(const fleet::job_id& job) {
    const auto it = waiting_callers.find(job);
    if (it != waiting_callers.end()) {
        const auto callers = std::move(it->second);
        waiting_callers.erase(it);
        for (const auto& caller : callers) {
            caller.done(ended_statuses[job]);
        }
    }
}

void owner_task::state::answer_overdue_callers() {
    const auto now_steady = clock.now();
    for (auto it = waiting_callers.begin(); it != waiting_callers.end();) {
        if (now_steady - it->second.front().waiting_since < max_wait_for_save) {
            ++it;
            continue;
        }
        const auto known = scheduler.status_of(it->first);
        for (const auto& caller : it->second) {
            caller.done(known ? std::optional<owner_job_status>(owner_job_status{
                                    known->customer, known->queue, fleet::job_state::active})
                              : std::nullopt);
        }
        it = waiting_callers.erase(it);
    }
}

void owner_task::state::remove_expired_jobs() {
    const auto wall_now = now().wall.value();
    while (!ended.empty() &&
           ended.front().first.value() + settings.ended_job_retention.count() < wall_now) {
        auto& partition = partitions[layout.partition_of(ended.front().second)];
        if (partition.busy || partition.removed.size() >= max_removals) {
            break;
        }
        partition.removed.push_back(ended.front().second);
        scheduler.forget(ended.front().second);
        ended_statuses.erase(ended.front().second);
        withdrawn_jobs.erase(ended.front().second);
        ended.pop_front();
    }
    for (const auto& it : layout.partitions()) {
        if (!partitions[it].removed.empty()) {
            send_progress(it);
        }
    }
}

}  // namespace cranberrydock::fleet_daemon
