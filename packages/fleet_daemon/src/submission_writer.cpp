// Makes submitted jobs durable.
#include <cranberrydock/fleet/job_rows.hpp>
#include <cranberrydock/fleet_daemon/submission_writer.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace cranberrydock::fleet_daemon {

bool is_withdrawn(const fleet::job_id& job, const fleet::stored_row& row) {
    if (row.address.table == job_table) {
        const auto found = fleet::decode_job(job, row.value);
        return found && found->kind == fleet::job_row_kind::withdrawn;
    }
    const auto ended = fleet::decode_progress(row.value);
    return ended && ended->withdrawn;
}

namespace {

// A job takes two conditions and one row; the store accepts 100 entries per transaction.
constexpr std::size_t max_jobs = 33;
// A transaction is overdue after this multiple of the typical write time: the store may have become
// slow, or the connection may be dead.
constexpr int overdue_factor = 4;
constexpr base::milliseconds min_overdue_after{250};
constexpr base::milliseconds max_overdue_after{500};
// Replaces the computed limit while the store is known to be slow.
constexpr base::milliseconds overdue_after_while_slow{1'500};
// Limit of this daemon's transactions per partition, including overdue ones.
constexpr std::size_t max_in_flight = 2;
// The store counts as slow for `slow_period` after a write that took this long, or until a write,
// direct or through the owner, takes less.
constexpr base::milliseconds slow_write_threshold{300};
constexpr base::milliseconds slow_period{2'500};
// After the store has refused a write of this daemon, jobs are delegated for this long.
constexpr base::milliseconds delegate_after_refusal{1'500};
// The store may apply a write whose answer was lost for this long.
constexpr base::milliseconds longest_late_write{10'000};
constexpr int smoothing = 4;  // number of writes over which the typical time is smoothed
constexpr base::milliseconds retry_pause{80};
constexpr base::milliseconds owner_check_period{100};
// A write is not started when less than this, or less than the typical write time of a slow store,
// is left before the deadline: the answer would come too late for the caller.
constexpr base::milliseconds min_write_time{60};

// The outcome for a job of which a row existed already. Empty if none of `rows` belongs to the job.
std::optional<write_outcome> outcome_of_existing(const std::vector<fleet::stored_row>& rows,
                                                 const fleet::job_id& job) {
    const auto it = std::find_if(rows.begin(), rows.end(), [&](const auto& row) {
        return row.address.name.str() == job.str() && row.version.value() != 0;
    });
    if (it == rows.end()) {
        return std::nullopt;
    }
    return is_withdrawn(job, *it) ? write_outcome::cancelled : write_outcome::already_written;
}

}  // namespace

submission_writer::submission_writer(net::event_loop& loop, fleet::row_store& store,
                                     const job_layout& layout, owner_writer& owner,
                                     base::metrics& metrics, const fleet::store_limits& limits)
    : loop_(loop),
      store_(store),
      layout_(layout),
      owner_(owner),
      metrics_(metrics),
      limits_(limits) {}

void submission_writer::write(const fleet::job_id& job, std::string row, base::time_point until,
                              write_callback done) {
    enqueue({job, std::move(row), false}, until, std::move(done), true);
}

void submission_writer::write_for_peer(const delegated_job& delegated, base::time_point until,
                                       write_callback done) {
    enqueue(delegated, until, std::move(done), false);
}

void submission_writer::enqueue(const delegated_job& delegated, base::time_point until,
                                write_callback done, bool may_delegate) {
    const auto known = open_.find(delegated.job);
    if (known != open_.end()) {
        join(known->second, until, std::move(done));
        return;
    }
    const bool may_be_written = delegated.may_be_written || may_write_later(delegated.job);
    if (until - clock_.now() < required_time()) {
        done({may_be_written ? write_outcome::undetermined : write_outcome::refused, {}});
        return;
    }
    const auto pending = std::make_shared<submission>();
    pending->job = delegated.job;
    pending->row = delegated.row;
    pending->may_delegate = may_delegate;
    pending->may_be_written = may_be_written;
    open_[delegated.job] = pending;
    join(pending, until, std::move(done));
    if (should_delegate() && delegate_to_owner(pending)) {
        return;
    }
    const auto partition = layout_.partition_of(delegated.job);
    partitions_[partition].waiting.push_back(pending);
    send(partition);
}

void submission_writer::join(const submission_ptr& pending, base::time_point until,
                             write_callback done) {
    pending->until = std::max(pending->until, until);
    const std::size_t index = pending->waiters.size();
    pending->waiters.push_back(
        {std::move(done),
         loop_.after(std::max(base::duration{0}, until - clock_.now()),
                     [this, pending = pending.get(), index] { on_deadline(*pending, index); })});
}

bool submission_writer::may_be_applied(const submission& pending) {
    return pending.may_be_written || pending.writes_in_flight > 0;
}

write_result submission_writer::failure_of(const submission& pending) {
    return {may_be_applied(pending) ? write_outcome::undetermined : write_outcome::refused, {}};
}

void submission_writer::remember(const fleet::job_id& job, const write_result& result) {
    const auto now = clock_.now();
    while (!undetermined_in_order_.empty() &&
           now - undetermined_in_order_.front().first > longest_late_write) {
        const auto& [at, oldest] = undetermined_in_order_.front();
        const auto it = undetermined_.find(oldest);
        if (it != undetermined_.end() && it->second == at) {
            undetermined_.erase(it);
        }
        undetermined_in_order_.pop_front();
    }
    if (result.outcome == write_outcome::undetermined) {
        undetermined_[job] = now;
        undetermined_in_order_.emplace_back(now, job);
    }
}

bool submission_writer::may_write_later(const fleet::job_id& job) const {
    const auto it = undetermined_.find(job);
    return it != undetermined_.end() && clock_.now() - it->second <= longest_late_write;
}

// Reports the failure to one waiter whose deadline has passed.
void submission_writer::on_deadline(submission& pending, std::size_t waiter_index) {
    const auto done = std::move(pending.waiters[waiter_index].done);
    pending.waiters[waiter_index].done = nullptr;
    pending.open = std::any_of(pending.waiters.begin(), pending.waiters.end(),
                               [](const auto& it) { return it.done != nullptr; });
    const auto result = failure_of(pending);
    remember(pending.job, result);
    if (!pending.open) {
        open_.erase(pending.job);  // may destroy `pending`
    }
    if (done) {
        done(result);
    }
}

void submission_writer::settle(submission& pending, const write_result& result) {
    if (!pending.open) {
        return;
    }
    pending.open = false;
    remember(pending.job, result);
    const auto waiters = std::move(pending.waiters);
    pending.waiters.clear();
    open_.erase(pending.job);
    for (const auto& it : waiters) {
        if (it.done) {
            it.done(result);
        }
    }
}

bool submission_writer::should_delegate() const {
    const auto now = clock_.now();
    const bool owner_is_slow =
        !delegated_.empty() &&
        now - delegated_.begin()->second.delegated_at >= slow_write_threshold;
    return slow() || owner_is_slow || now < refused_until_;
}

base::duration submission_writer::required_time() const {
    return slow() ? std::clamp<base::duration>(typical_write_time_, min_write_time,
                                               overdue_after_while_slow)
                  : base::duration(min_write_time);
}

void submission_writer::record_write_time(base::duration elapsed) {
    typical_write_time_ += (elapsed - typical_write_time_) / smoothing;
    slow_until_ = elapsed >= slow_write_threshold ? clock_.now() + slow_period : base::time_point{};
}

bool submission_writer::delegate_to_owner(const submission_ptr& pending) {
    const auto now = clock_.now();
    const auto left = std::chrono::duration_cast<base::milliseconds>(pending->until - now);
    if (!pending->may_delegate || !owner_.owner_responds() || left < required_time()) {
        return false;
    }
    const auto number = ++last_delegation_;
    delegated_[number] = {now, pending};
    if (!owner_check_timer_) {
        owner_check_timer_ = loop_.every(owner_check_period, [this] { check_owner(); });
    }
    metrics_.count("cranberrydock_submissions_written_together_total", "");
    const bool other_write_sent = may_be_applied(*pending);
    ++pending->writes_in_flight;
    owner_.write_through_owner(
        {pending->job, pending->row, other_write_sent}, left,
        lifetime_.guard([this, pending, now, number](const write_result& result) {
            delegated_.erase(number);
            --pending->writes_in_flight;
            if (result.outcome == write_outcome::written ||
                result.outcome == write_outcome::already_written ||
                result.outcome == write_outcome::cancelled) {
                record_write_time(clock_.now() - now);
                settle(*pending, result);
                return;
            }
            pending->may_be_written |= result.outcome == write_outcome::undetermined;
            retry_later(pending);
        }));
    return true;
}

void submission_writer::check_owner() {
    if (delegated_.empty()) {
        owner_check_timer_.reset();
        return;
    }
    if (owner_.owner_responds()) {
        return;
    }
    const auto taken_back = std::move(delegated_);
    delegated_.clear();
    std::set<fleet::partition_name> partitions;
    for (const auto& it : taken_back) {
        const submission_ptr& pending = it.second.job;
        if (pending->open) {
            partitions.insert(layout_.partition_of(pending->job));
            partitions_[layout_.partition_of(pending->job)].waiting.push_back(pending);
        }
    }
    metrics_.count("cranberrydock_submissions_taken_back_total", "");
    for (const auto& it : partitions) {
        send(it);
    }
}

void submission_writer::retry_later(const submission_ptr& pending) {
    if (!pending->open || pending->writes_in_flight > 0) {
        return;
    }
    const auto partition = layout_.partition_of(pending->job);
    partition_queue& queue = partitions_[partition];
    queue.waiting.push_back(pending);
    if (!queue.retry_timer) {
        queue.retry_timer = loop_.after(retry_pause, [this, partition] {
            partitions_[partition].retry_timer.reset();
            send(partition);
        });
    }
}

// Removes the jobs of one transaction from the queue. Jobs that are delegated to the owner are
// removed as well, but are not part of the transaction.
submission_writer::transaction_ptr submission_writer::next_transaction(partition_queue& queue) {
    auto out = std::make_shared<transaction>();
    const bool delegate = should_delegate();
    std::deque<submission_ptr> postponed;
    std::size_t bytes = 0;
    while (!queue.waiting.empty() && out->jobs.size() < max_jobs) {
        const submission_ptr pending = std::move(queue.waiting.front());
        queue.waiting.pop_front();
        if (!pending->open || (delegate && delegate_to_owner(pending))) {
            continue;
        }
        if (owner_.has_loaded(pending->job)) {
            settle(*pending, {write_outcome::already_written, {}});
            continue;
        }
        if (pending->until - clock_.now() < required_time()) {
            settle(*pending, failure_of(*pending));
            continue;
        }
        // One existing job makes the whole transaction fail, so jobs that may have been written
        // already are not mixed with new ones.
        const bool is_full =
            !out->jobs.empty() && bytes + pending->row.size() > limits_.transaction_bytes;
        const bool must_split =
            is_full || std::any_of(out->jobs.begin(), out->jobs.end(), [&](const auto& it) {
                return it->job == pending->job || may_be_applied(*it) != may_be_applied(*pending) ||
                       it->alone || pending->alone;
            });
        if (must_split) {
            postponed.push_back(pending);
        } else {
            out->jobs.push_back(pending);
            bytes += pending->row.size();
        }
    }
    queue.waiting.insert(queue.waiting.begin(), postponed.begin(), postponed.end());
    return out;
}

void submission_writer::send(const fleet::partition_name& partition) {
    partition_queue& queue = partitions_[partition];
    const bool is_busy = std::any_of(queue.in_flight.begin(), queue.in_flight.end(),
                                     [](const auto& it) { return !it->overdue; });
    if (is_busy || queue.in_flight.size() >= max_in_flight) {
        return;
    }
    const auto batch = next_transaction(queue);
    if (batch->jobs.empty()) {
        return;
    }
    fleet::row_transaction rows;
    batch->sent = clock_.now();
    auto last_deadline = batch->sent;
    for (const auto& it : batch->jobs) {
        rows.conditions.push_back({layout_.job_row(it->job), fleet::store_version(0)});
        rows.conditions.push_back({layout_.ended_row(it->job), fleet::store_version(0)});
        rows.puts.push_back({layout_.job_row(it->job), it->row});
        last_deadline = std::max(last_deadline, it->until);
        ++it->writes_in_flight;
    }
    queue.in_flight.insert(batch);
    const auto overdue_after =
        slow() ? base::duration(overdue_after_while_slow)
               : std::clamp<base::duration>(typical_write_time_ * overdue_factor, min_overdue_after,
                                            max_overdue_after);
    batch->overdue_timer = loop_.after(overdue_after, [this, partition, batch = batch.get()] {
        const auto& all = partitions_[partition].in_flight;
        const auto it = std::find_if(all.begin(), all.end(),
                                     [&](const auto& other) { return other.get() == batch; });
        if (it != all.end()) {
            on_overdue(partition, *it);
        }
    });
    store_.commit(rows, std::chrono::duration_cast<base::milliseconds>(last_deadline - batch->sent),
                  lifetime_.guard([this, partition, batch](const auto& answer) {
                      on_answer(partition, batch, answer);
                  }));
}

// Keeps the transaction in flight. Delegates its jobs to the owner or, unless the store was already
// known to be slow, queues them once more.
void submission_writer::on_overdue(const fleet::partition_name& partition,
                                   const transaction_ptr& batch) {
    batch->overdue = true;
    metrics_.count("cranberrydock_submission_writes_overdue_total", "");
    const bool was_slow = slow();
    slow_until_ = clock_.now() + slow_period;
    for (const auto& it : batch->jobs) {
        const bool may_write_again = it->open && it->writes_in_flight <= 1;
        if (may_write_again && !delegate_to_owner(it) && !was_slow) {
            partitions_[partition].waiting.push_back(it);
        }
    }
    send(partition);
}

void submission_writer::on_rejected(const fleet::partition_name& partition,
                                    const transaction& batch) {
    metrics_.count("cranberrydock_writes_rejected_total", "table=\"jobs\"");
    if (batch.jobs.size() > 1) {
        for (const auto& it : batch.jobs) {
            it->alone = true;
            if (it->open && it->writes_in_flight == 0) {
                partitions_[partition].waiting.push_back(it);
            }
        }
        return;
    }
    submission& rejected = *batch.jobs.front();
    spdlog::error("event=row_rejected table=jobs row={} bytes={}", rejected.job.str(),
                  rejected.row.size());
    settle(rejected, failure_of(rejected));
}

void submission_writer::on_answer(
    const fleet::partition_name& partition, const transaction_ptr& batch,
    const tl::expected<fleet::store_version, fleet::store_error>& answer) {
    batch->overdue_timer.reset();
    partitions_[partition].in_flight.erase(batch);
    for (const auto& it : batch->jobs) {
        --it->writes_in_flight;
    }
    const auto elapsed = clock_.now() - batch->sent;
    if (elapsed >= slow_write_threshold && slow_write_log_limiter_.allows(clock_.now())) {
        spdlog::info("event=slow_write part={} jobs={} took_ms={} outcome={}", partition.str(),
                     batch->jobs.size(),
                     std::chrono::duration_cast<base::milliseconds>(elapsed).count(),
                     answer ? "done" : fleet::to_string(answer.error().failure));
    }
    const bool refused = !answer && answer.error().failure == fleet::store_failure::refused;
    const bool lost = !answer && answer.error().failure == fleet::store_failure::answer_lost;
    if (refused) {
        refused_until_ = clock_.now() + delegate_after_refusal;
    } else if (!lost) {
        record_write_time(elapsed);
    }
    if (refused || lost) {
        metrics_.count("cranberrydock_submission_write_failures_total",
                       refused ? "reason=\"refused\"" : "reason=\"answer_lost\"");
    }
    if (!answer && answer.error().failure == fleet::store_failure::rejected) {
        on_rejected(partition, *batch);
        send(partition);
        return;
    }
    for (const auto& it : batch->jobs) {
        if (answer) {
            settle(*it, {write_outcome::written, *answer});
        } else if (refused || lost) {
            it->may_be_written |= lost;
            retry_later(it);
        } else if (const auto existing = outcome_of_existing(answer.error().rows, it->job)) {
            settle(*it, {*existing, {}});
        } else if (it->open && it->writes_in_flight == 0) {
            partitions_[partition].waiting.push_back(it);  // the conflict was about another job
        }
    }
    send(partition);
}

}  // namespace cranberrydock::fleet_daemon
