// Saving: writes the progress of jobs, with one transaction at a time for each partition, under the
// owner's fencing token.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet_daemon {
namespace {

// The store accepts this many entries per transaction.
constexpr std::size_t max_entries = 100;
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
// A rejected row is repeated after pauses that double, and only this often without a change.
constexpr base::milliseconds min_rejection_pause{1'000};
constexpr base::milliseconds max_rejection_pause{30'000};
constexpr int max_rejections = 5;

}  // namespace

void owner_task::state::save() {
    if (!jobs_known) {
        return;
    }
    for (auto& it : scheduler.take_unsaved_jobs(now())) {
        auto& partition = partitions[layout.partition_of(it.job)];
        const auto rejected = partition.rejected.find(it.job);
        if (rejected == partition.rejected.end()) {
            partition.waiting[it.job] = std::move(it);
            continue;
        }
        if (rejected->second.rejections >= max_rejections) {
            rejected->second.retry_at = clock.now() + rejected->second.pause;
        }
        rejected->second.rejections = 0;
        rejected->second.progress = std::move(it);
    }
    for (const auto& it : layout.partitions()) {
        send_progress(it);
    }
}

void owner_task::state::log_large_row(const fleet::job_id& job, std::size_t bytes,
                                      const char* action) {
    metrics.count("cranberrydock_rows_too_large_total", "table=\"progress\"");
    if (jobs_with_large_row.insert(job).second) {
        spdlog::error("event=row_too_large table=progress row={} bytes={} limit={} action={}",
                      job.str(), bytes, settings.limits.row_bytes, action);
    }
}

bool owner_task::state::add_progress(fleet::row_transaction& transaction,
                                     fleet::scheduler::unsaved_job& unsaved) {
    if (!is_final(unsaved.progress.state)) {
        std::string value = encode_progress(unsaved.progress);
        if (value.size() > settings.limits.row_bytes) {
            // A new owner counts these failures again only if VMs still list them.
            log_large_row(unsaved.job, value.size(), "failed_runs_omitted");
            drop_failed_runs(unsaved.progress);
            value = encode_progress(unsaved.progress);
        }
        if (value.size() > settings.limits.row_bytes) {
            return false;
        }
        transaction.puts.push_back({layout.progress_row(unsaved.job), std::move(value)});
        progress_rows.insert(unsaved.job);
        return true;
    }
    unsaved.progress.withdrawn = withdrawn_jobs.count(unsaved.job) > 0;
    transaction.puts.push_back({layout.ended_row(unsaved.job), encode_progress(unsaved.progress)});
    transaction.removals.push_back(layout.job_row(unsaved.job));
    const auto version = submitted_versions.find(unsaved.job);
    if (version != submitted_versions.end() &&
        unsaved.progress.state != fleet::job_state::cancelled) {
        transaction.conditions.push_back({layout.job_row(unsaved.job), version->second});
    }
    if (progress_rows.erase(unsaved.job) > 0) {
        transaction.removals.push_back(layout.progress_row(unsaved.job));
    }
    return true;
}

void owner_task::state::send_progress(const fleet::partition_name& name) {
    partition_state& partition = partitions[name];
    const auto due = std::find_if(
        partition.rejected.begin(), partition.rejected.end(),
        [now_steady = clock.now()](const auto& it) { return it.second.retry_at <= now_steady; });
    const bool has_due = due != partition.rejected.end();
    if (partition.busy || partition.next_write ||
        (partition.waiting.empty() && partition.removed.empty() && !has_due)) {
        return;
    }
    fleet::row_transaction transaction;
    // Each transaction rewrites the fencing token. Only one of two writes that are conditional on
    // the same version can be applied, so a write whose answer was lost can't undo a later one.
    transaction.conditions.push_back(
        {fencing_token_row(name), partition.fencing_token_row_version});
    transaction.puts.push_back({fencing_token_row(name), std::to_string(owner.value())});
    partition.sent.clear();
    const auto add = [&](fleet::scheduler::unsaved_job& unsaved) {
        if (add_progress(transaction, unsaved)) {
            partition.sent.push_back(std::move(unsaved));
            return;
        }
        // Counts as saved although a new owner repeats it: VMs return a limited number of
        // completions, so one that is never acknowledged would hold back those of all other jobs.
        log_large_row(unsaved.job, encode_progress(unsaved.progress).size(), "not_saved");
        scheduler.progress_saved(unsaved.job, unsaved.change);
    };
    if (has_due) {
        fleet::scheduler::unsaved_job progress = due->second.progress;
        add(progress);
        if (partition.sent.empty()) {
            partition.rejected.erase(due);
        }
    }
    const auto is_full = [&] {
        const std::size_t entries =
            transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
        std::size_t bytes = 0;
        for (const auto& it : transaction.puts) {
            bytes += it.value.size();
        }
        return entries + max_entries_per_ended_job > max_entries ||
               partition.sent.size() >= partition.max_jobs ||
               (!partition.sent.empty() &&
                bytes + settings.limits.row_bytes > settings.limits.transaction_bytes);
    };
    while (!has_due && !partition.waiting.empty() && !is_full()) {
        auto unsaved = std::move(partition.waiting.begin()->second);
        partition.waiting.erase(partition.waiting.begin());
        add(unsaved);
    }
    if (partition.sent.empty()) {
        if (partition.removed.empty()) {
            return;
        }
        for (const auto& it : partition.removed) {
            transaction.removals.push_back(layout.ended_row(it));
        }
    }
    partition.busy = true;
    partition.sent_at = clock.now();
    const auto timeout = std::clamp<base::duration>(
        partition.typical_write_time * write_timeout_factor, min_write_timeout, max_write_timeout);
    store.commit(
        transaction, std::chrono::duration_cast<base::milliseconds>(timeout),
        alive.guard([this, name](const auto& answer) { on_progress_written(name, answer); }));
}

void owner_task::state::put_back_sent(partition_state& partition) {
    for (auto& it : partition.sent) {
        if (is_final(it.progress.state)) {
            progress_rows.insert(it.job);  // the row may still exist
        }
        const auto rejected = partition.rejected.find(it.job);
        if (rejected != partition.rejected.end()) {
            partition.waiting.emplace(it.job, std::move(rejected->second.progress));
            partition.rejected.erase(rejected);
        } else {
            // Keeps newer progress of the same job that is waiting already.
            partition.waiting.emplace(it.job, std::move(it));
        }
    }
    partition.sent.clear();
}

void owner_task::state::on_write_rejected(const fleet::partition_name& name) {
    partition_state& partition = partitions[name];
    metrics.count("cranberrydock_writes_rejected_total", "table=\"progress\"");
    spdlog::warn("event=write_rejected part={} jobs={}", name.str(), partition.sent.size());
    if (partition.sent.size() > 1) {
        partition.max_jobs = partition.sent.size() / 2;
        put_back_sent(partition);
        return;
    }
    if (partition.sent.empty()) {
        partition.removed.clear();
        return;
    }
    auto& only = partition.sent.front();
    if (is_final(only.progress.state)) {
        progress_rows.insert(only.job);
    }
    auto& found = partition.rejected[only.job];
    const bool is_new = found.rejections == 0 && found.pause.count() == 0;
    if (is_new) {
        found.progress = only;
    }
    const auto newer = partition.waiting.find(only.job);
    if (newer != partition.waiting.end()) {
        found.progress = std::move(newer->second);
        partition.waiting.erase(newer);
    }
    const bool changed = found.progress.change != only.change;
    found.rejections = changed ? 0 : found.rejections + 1;
    found.pause = std::clamp(found.pause * 2, min_rejection_pause, max_rejection_pause);
    found.retry_at =
        found.rejections < max_rejections ? clock.now() + found.pause : base::time_point::max();
    spdlog::error("event=row_rejected table=progress row={} bytes={} rejections={} retry_ms={}",
                  only.job.str(), encode_progress(only.progress).size(), found.rejections,
                  found.rejections < max_rejections ? found.pause.count() : -1);
    partition.sent.clear();
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
            const auto rejected = partition.rejected.find(it.job);
            if (rejected != partition.rejected.end()) {
                if (rejected->second.progress.change != it.change) {
                    partition.waiting.emplace(it.job, std::move(rejected->second.progress));
                }
                partition.rejected.erase(rejected);
            }
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
        if (!partition.sent.empty()) {
            partition.max_jobs = std::min(max_jobs_per_write, partition.max_jobs * 2);
        }
        partition.sent.clear();
        send_after(save_pause);
        return;
    }
    if (answer.error().failure == fleet::store_failure::rejected) {
        on_write_rejected(name);
        send_progress(name);
        return;
    }
    std::vector<fleet::job_id> not_saved;
    for (const auto& it : partition.sent) {
        not_saved.push_back(it.job);
    }
    put_back_sent(partition);
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
