// Saving: writes the progress of jobs, with one transaction at a time for each partition, under the
// owner's fencing token.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

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

// Newer progress comes later. Keeps the parts of earlier progress that it does not contain.
void owner_task::state::add_waiting(partition_state& partition,
                                    fleet::scheduler::unsaved_job&& unsaved) {
    const auto found = partition.waiting.find(unsaved.job);
    if (found == partition.waiting.end()) {
        partition.waiting.emplace(unsaved.job, std::move(unsaved));
        return;
    }
    auto& newer = found->second.change > unsaved.change ? found->second : unsaved;
    auto& older = found->second.change > unsaved.change ? unsaved : found->second;
    newer.take_over(std::move(older));
    if (&newer == &unsaved) {
        found->second = std::move(unsaved);
    }
}

void owner_task::state::save() {
    if (!jobs_known) {
        return;
    }
    for (auto& it : scheduler.take_unsaved_jobs(now())) {
        auto& partition = partitions[layout.partition_of(it.job)];
        const auto rejected = partition.rejected.find(it.job);
        if (rejected == partition.rejected.end()) {
            add_waiting(partition, std::move(it));
            continue;
        }
        if (rejected->second.rejections >= max_rejections) {
            rejected->second.retry_at = clock.now() + rejected->second.pause;
        }
        rejected->second.rejections = 0;
        it.take_over(std::move(rejected->second.progress));
        rejected->second.progress = std::move(it);
    }
    for (const auto& it : layout.partitions()) {
        send_progress(it);
    }
}

// The row is sent all the same, since only the store knows its limit. Completions are acknowledged
// once they are saved, and not before.
void owner_task::state::log_large_row(const fleet::job_id& job, std::size_t bytes) {
    metrics.count("cranberrydock_rows_too_large_total", "table=\"progress\"");
    if (jobs_with_large_row.insert(job).second) {
        spdlog::error("event=row_too_large table=progress row={} bytes={} limit={}", job.str(),
                      bytes, settings.limits.row_bytes);
    }
}

bool owner_task::state::has_room_for_row(const fleet::row_transaction& transaction) const {
    const std::size_t entries =
        transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
    std::size_t bytes = 0;
    for (const auto& it : transaction.puts) {
        bytes += it.value.size();
    }
    return entries + max_entries_per_ended_job <= max_entries &&
           bytes + settings.limits.row_bytes <= settings.limits.transaction_bytes;
}

std::optional<fleet::scheduler::unsaved_job> owner_task::state::add_progress(
    fleet::row_transaction& transaction, fleet::scheduler::unsaved_job& unsaved) {
    if (is_final(unsaved.progress.state)) {
        add_end(transaction, unsaved);
        return std::nullopt;
    }
    // The blocks come first: the job's row shows finished occurrences, whose blocks are removed,
    // and drops what it contained before its job was stored in blocks.
    auto& blocks = unsaved.progress.blocks;
    auto it = blocks.begin();
    for (; it != blocks.end() && (transaction.puts.size() <= 1 || has_room_for_row(transaction));
         ++it) {
        transaction.puts.push_back(
            {layout.block_row(unsaved.job, it->first), encode_block(it->second)});
        block_rows[unsaved.job].insert(it->first);
    }
    if (it != blocks.end() || (!blocks.empty() && !has_room_for_row(transaction))) {
        auto rest = unsaved;
        rest.progress.blocks.clear();
        while (it != blocks.end()) {
            rest.progress.blocks.insert(blocks.extract(it++));
        }
        return rest;
    }
    std::string value = encode_progress(unsaved.progress);
    if (value.size() > settings.limits.row_bytes) {
        log_large_row(unsaved.job, value.size());
    }
    transaction.puts.push_back({layout.progress_row(unsaved.job), std::move(value)});
    progress_rows.insert(unsaved.job);
    return std::nullopt;
}

void owner_task::state::add_end(fleet::row_transaction& transaction,
                                fleet::scheduler::unsaved_job& unsaved) {
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
}

void owner_task::state::retire_blocks(const fleet::scheduler::unsaved_job& saved) {
    const auto found = block_rows.find(saved.job);
    if (found == block_rows.end()) {
        return;
    }
    auto& stale = partitions[layout.partition_of(saved.job)].stale_rows;
    auto& blocks = found->second;
    for (auto it = blocks.begin(); it != blocks.end();) {
        if (saved.progress.in_blocks && !saved.progress.is_finished(it->occurrence)) {
            ++it;
            continue;
        }
        stale.push_back(layout.block_row(saved.job, *it));
        it = blocks.erase(it);
    }
    if (blocks.empty()) {
        block_rows.erase(found);
    }
}

void owner_task::state::add_waiting_jobs(partition_state& partition,
                                         fleet::row_transaction& transaction) {
    const auto add = [&](fleet::scheduler::unsaved_job unsaved) {
        partition.unfinished = add_progress(transaction, unsaved);
        partition.last_sent_is_partial = partition.unfinished.has_value();
        partition.sent.push_back(std::move(unsaved));
    };
    const auto due = std::find_if(
        partition.rejected.begin(), partition.rejected.end(),
        [now_steady = clock.now()](const auto& it) { return it.second.retry_at <= now_steady; });
    if (partition.unfinished) {
        add(*std::exchange(partition.unfinished, std::nullopt));
    } else if (due != partition.rejected.end()) {
        add(due->second.progress);
        return;
    }
    while (!partition.unfinished && !partition.waiting.empty() &&
           partition.sent.size() < partition.max_jobs &&
           (partition.sent.empty() || has_room_for_row(transaction))) {
        auto next = std::move(partition.waiting.begin()->second);
        partition.waiting.erase(partition.waiting.begin());
        add(std::move(next));
    }
}

void owner_task::state::send_progress(const fleet::partition_name& name) {
    partition_state& partition = partitions[name];
    if (partition.busy || partition.next_write) {
        return;
    }
    fleet::row_transaction transaction;
    // Each transaction rewrites the fencing token. Only one of two writes that are conditional on
    // the same version can be applied, so a write whose answer was lost can't undo a later one.
    transaction.conditions.push_back(
        {fencing_token_row(name), partition.fencing_token_row_version});
    transaction.puts.push_back({fencing_token_row(name), std::to_string(owner.value())});
    partition.sent.clear();
    add_waiting_jobs(partition, transaction);
    if (partition.sent.empty()) {
        for (const auto& it : partition.removed) {
            transaction.removals.push_back(layout.ended_row(it));
        }
    }
    while (!partition.stale_rows.empty() && has_room_for_row(transaction)) {
        transaction.removals.push_back(partition.stale_rows.back());
        partition.stale_rows_sent.push_back(std::move(partition.stale_rows.back()));
        partition.stale_rows.pop_back();
    }
    if (partition.sent.empty() && transaction.removals.empty()) {
        return;
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
    if (partition.unfinished) {
        partition.sent.push_back(std::move(*partition.unfinished));
        partition.unfinished.reset();
    }
    for (auto& it : partition.sent) {
        if (is_final(it.progress.state)) {
            progress_rows.insert(it.job);  // the row may still exist
        }
        const auto rejected = partition.rejected.find(it.job);
        if (rejected != partition.rejected.end()) {
            rejected->second.progress.take_over(std::move(it));
            add_waiting(partition, std::move(rejected->second.progress));
            partition.rejected.erase(rejected);
        } else {
            add_waiting(partition, std::move(it));
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
    if (partition.unfinished) {
        only.take_over(std::move(*partition.unfinished));
        partition.unfinished.reset();
    }
    scheduler.progress_rejected(only.job);
    const auto change = only.change;
    const std::size_t bytes = encode_progress(only.progress).size();
    const fleet::job_id job = only.job;
    auto& found = partition.rejected[job];
    // Those of earlier attempts are among what was sent.
    if (found.progress.change <= change) {
        found.progress = std::move(only);
    } else {
        found.progress.take_over(std::move(only));
    }
    const auto newer = partition.waiting.find(job);
    if (newer != partition.waiting.end()) {
        newer->second.take_over(std::move(found.progress));
        found.progress = std::move(newer->second);
        partition.waiting.erase(newer);
    }
    const bool changed = found.progress.change != change;
    found.rejections = changed ? 0 : found.rejections + 1;
    found.pause = std::clamp(found.pause * 2, min_rejection_pause, max_rejection_pause);
    found.retry_at =
        found.rejections < max_rejections ? clock.now() + found.pause : base::time_point::max();
    spdlog::error("event=row_rejected table=progress row={} bytes={} rejections={} retry_ms={}",
                  job.str(), bytes, found.rejections,
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
        partition.stale_rows_sent.clear();
        if (partition.sent.empty()) {
            partition.removed.clear();
        }
        for (const auto& it : partition.sent) {
            const auto rejected = partition.rejected.find(it.job);
            if (rejected != partition.rejected.end()) {
                if (rejected->second.progress.change != it.change) {
                    add_waiting(partition, std::move(rejected->second.progress));
                }
                partition.rejected.erase(rejected);
            }
            if (partition.last_sent_is_partial && &it == &partition.sent.back()) {
                continue;
            }
            scheduler.progress_saved(it.job, it.change);
            retire_blocks(it);
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
        send_after(partition.unfinished ? base::milliseconds{0} : save_pause);
        return;
    }
    partition.stale_rows.insert(partition.stale_rows.end(), partition.stale_rows_sent.begin(),
                                partition.stale_rows_sent.end());
    partition.stale_rows_sent.clear();
    if (answer.error().failure == fleet::store_failure::rejected) {
        on_write_rejected(name);
        send_progress(name);
        return;
    }
    std::vector<fleet::job_id> not_ended;
    for (const auto& it : partition.sent) {
        if (is_final(it.progress.state)) {
            not_ended.push_back(it.job);
        }
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
        apply_cancellations(partition, not_ended, found);
        send_progress(name);
        return;
    }
    metrics.count("cranberrydock_progress_write_failures_total", "");
    send_after(retry_pause);
}

void owner_task::state::apply_cancellations(partition_state& partition,
                                            const std::vector<fleet::job_id>& not_ended,
                                            const std::vector<fleet::stored_row>& found) {
    // After the conflict, the recorded versions of the jobs whose ends were sent are no longer
    // valid. A job's end may have been saved although the answer was lost; its row then no longer
    // exists and is not among those found. The recorded versions of other jobs stay valid, also of
    // those whose progress was sent, since the transaction did not check their rows.
    for (const auto& it : not_ended) {
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
