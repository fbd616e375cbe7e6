// Makes submitted jobs durable.
#include <cranberrydock/steward/submission_writer.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::steward {
namespace {

// Two conditions and one row a job; the store takes 100 entries in a transaction.
constexpr std::size_t most_jobs = 33;
// An answer that takes so many times the usual is suspicious: the store may have become slow, or
// the connection silent.
constexpr int suspicious_in_usual_times = 4;
constexpr base::milliseconds least_suspicious{250};
constexpr base::milliseconds most_suspicious{500};
// The same while the store is known to be slow.
constexpr base::milliseconds suspicious_while_slow{1'500};
// A part has at most so many transactions of this daemon under way, overdue ones included.
constexpr std::size_t most_under_way = 2;
// A write of this length is a sign of a slow store. The sign counts for so long, or until a write
// through the owner takes less.
constexpr base::milliseconds slow_write{300};
constexpr base::milliseconds slow_for{2'500};
// After the store has refused a write of this daemon, others do better for so long.
constexpr base::milliseconds refused_for{1'500};
constexpr int smoothing = 4;  // how many writes the usual time follows
constexpr base::milliseconds retry_pause{80};
constexpr base::milliseconds owner_watch_period{100};
// A write is not begun when less than this, or than the usual time of a slow store, is left for its
// answer: the store would do it for nobody.
constexpr base::milliseconds least_time{60};

bool exists(const std::vector<fleet::stored_row>& rows, const fleet::job_id& job) {
    return std::any_of(rows.begin(), rows.end(), [&](const auto& it) {
        return it.address.name.str() == job.str() && it.version.value() != 0;
    });
}

}  // namespace

submission_writer::submission_writer(net::event_loop& loop, fleet::row_store& store,
                                     const job_layout& layout, owner_writer& owner,
                                     base::metrics& metrics)
    : loop_(loop), store_(store), layout_(layout), owner_(owner), metrics_(metrics) {}

void submission_writer::write(const fleet::job_id& job, std::string row, base::time_point until,
                              write_done done) {
    take({job, std::move(row), false}, until, std::move(done), true);
}

void submission_writer::write_for_peer(const handed_job& what, base::time_point until,
                                       write_done done) {
    take(what, until, std::move(done), false);
}

void submission_writer::take(const handed_job& what, base::time_point until, write_done done,
                             bool through_owner) {
    const auto known = open_.find(what.job);
    if (known != open_.end()) {
        join(known->second, until, std::move(done));
        return;
    }
    if (until - clock_.now() < needed_time()) {
        done({what.may_be_written ? write_outcome::unclear : write_outcome::refused, {}});
        return;
    }
    const auto one = std::make_shared<submission>();
    one->job = what.job;
    one->row = what.row;
    one->through_owner = through_owner;
    one->may_be_written = what.may_be_written;
    open_[what.job] = one;
    join(one, until, std::move(done));
    if (others_do_better() && hand_to_owner(one)) {
        return;
    }
    const auto part = layout_.part_of(what.job);
    parts_[part].waiting.push_back(one);
    send(part);
}

void submission_writer::join(const submission_ptr& one, base::time_point until, write_done done) {
    one->until = std::max(one->until, until);
    const std::size_t number = one->waiters.size();
    one->waiters.push_back(
        {std::move(done), loop_.after(std::max(base::duration{0}, until - clock_.now()),
                                      [this, one = one.get(), number] { give_up(*one, number); })});
}

write_result submission_writer::failure_of(const submission& one) {
    const bool unclear = one.may_be_written || one.ways > 0;
    return {unclear ? write_outcome::unclear : write_outcome::refused, {}};
}

// One waiter's time is over.
void submission_writer::give_up(submission& one, std::size_t waiter) {
    const auto done = std::move(one.waiters[waiter].done);
    one.waiters[waiter].done = nullptr;
    one.open = std::any_of(one.waiters.begin(), one.waiters.end(),
                           [](const auto& it) { return it.done != nullptr; });
    const auto result = failure_of(one);
    if (!one.open) {
        open_.erase(one.job);  // may destroy it
    }
    if (done) {
        done(result);
    }
}

void submission_writer::settle(submission& one, const write_result& result) {
    if (!one.open) {
        return;
    }
    one.open = false;
    const auto waiters = std::move(one.waiters);
    one.waiters.clear();
    open_.erase(one.job);
    for (const auto& it : waiters) {
        if (it.done) {
            it.done(result);
        }
    }
}

bool submission_writer::others_do_better() const {
    const auto now = clock_.now();
    const bool owner_is_slow =
        !handed_.empty() && now - handed_.begin()->second.since >= slow_write;
    return slow() || owner_is_slow || now < refused_until_;
}

base::duration submission_writer::needed_time() const {
    return slow() ? std::clamp<base::duration>(usual_time_, least_time, suspicious_while_slow)
                  : base::duration(least_time);
}

void submission_writer::note_time(base::duration took) {
    usual_time_ += (took - usual_time_) / smoothing;
    slow_until_ = took >= slow_write ? clock_.now() + slow_for : base::time_point{};
}

bool submission_writer::hand_to_owner(const submission_ptr& one) {
    const auto now = clock_.now();
    const auto left = std::chrono::duration_cast<base::milliseconds>(one->until - now);
    if (!one->through_owner || !owner_.owner_answers() || left < needed_time()) {
        return false;
    }
    const auto number = ++last_handed_;
    handed_[number] = {now, one};
    if (!watching_owner_) {
        watching_owner_ = loop_.every(owner_watch_period, [this] { watch_owner(); });
    }
    metrics_.count("cranberrydock_submissions_written_together_total", "");
    const bool elsewhere = one->ways > 0 || one->may_be_written;
    ++one->ways;
    owner_.write_through_owner(
        {one->job, one->row, elsewhere}, left,
        lifetime_.guard([this, one, now, number](const write_result& result) {
            handed_.erase(number);
            --one->ways;
            if (result.outcome == write_outcome::written ||
                result.outcome == write_outcome::known) {
                note_time(clock_.now() - now);
                settle(*one, result);
                return;
            }
            one->may_be_written |= result.outcome == write_outcome::unclear;
            again(one);
        }));
    return true;
}

void submission_writer::watch_owner() {
    if (handed_.empty()) {
        watching_owner_.reset();
        return;
    }
    if (owner_.owner_answers()) {
        return;
    }
    const auto left_behind = std::move(handed_);
    handed_.clear();
    std::set<fleet::part_name> parts;
    for (const auto& it : left_behind) {
        const submission_ptr& one = it.second.job;
        if (one->open) {
            one->may_be_written = true;
            parts.insert(layout_.part_of(one->job));
            parts_[layout_.part_of(one->job)].waiting.push_back(one);
        }
    }
    metrics_.count("cranberrydock_submissions_taken_back_total", "");
    for (const auto& it : parts) {
        send(it);
    }
}

void submission_writer::again(const submission_ptr& one) {
    if (!one->open || one->ways > 0) {
        return;
    }
    const auto part = layout_.part_of(one->job);
    part_queue& queue = parts_[part];
    queue.waiting.push_back(one);
    if (!queue.pause) {
        queue.pause = loop_.after(retry_pause, [this, part] {
            parts_[part].pause.reset();
            send(part);
        });
    }
}

// Takes the jobs of one transaction from the queue; those that the owner takes are left out.
submission_writer::transaction_ptr submission_writer::next_transaction(part_queue& queue) {
    auto out = std::make_shared<transaction>();
    const bool by_owner = others_do_better();
    std::deque<submission_ptr> rest;
    while (!queue.waiting.empty() && out->jobs.size() < most_jobs) {
        const submission_ptr one = std::move(queue.waiting.front());
        queue.waiting.pop_front();
        if (!one->open || (by_owner && hand_to_owner(one))) {
            continue;
        }
        if (owner_.has_read(one->job)) {
            settle(*one, {write_outcome::known, {}});
            continue;
        }
        if (one->until - clock_.now() < needed_time()) {
            settle(*one, failure_of(*one));
            continue;
        }
        // A job that exists already makes the whole transaction fail, so doubtful ones go apart.
        const bool unlike = std::any_of(out->jobs.begin(), out->jobs.end(), [&](const auto& it) {
            return it->job == one->job || it->may_be_written != one->may_be_written;
        });
        if (unlike) {
            rest.push_back(one);
        } else {
            out->jobs.push_back(one);
        }
    }
    queue.waiting.insert(queue.waiting.begin(), rest.begin(), rest.end());
    return out;
}

void submission_writer::send(const fleet::part_name& part) {
    part_queue& queue = parts_[part];
    const bool waits = std::any_of(queue.under_way.begin(), queue.under_way.end(),
                                   [](const auto& it) { return !it->overdue; });
    if (waits || queue.under_way.size() >= most_under_way) {
        return;
    }
    const auto what = next_transaction(queue);
    if (what->jobs.empty()) {
        return;
    }
    fleet::row_transaction rows;
    what->sent = clock_.now();
    auto last = what->sent;
    for (const auto& it : what->jobs) {
        rows.conditions.push_back({layout_.job_row(it->job), fleet::store_version(0)});
        rows.conditions.push_back({layout_.ended_row(it->job), fleet::store_version(0)});
        rows.puts.push_back({layout_.job_row(it->job), it->row});
        last = std::max(last, it->until);
        ++it->ways;
    }
    queue.under_way.insert(what);
    const auto suspicious =
        slow() ? base::duration(suspicious_while_slow)
               : std::clamp<base::duration>(usual_time_ * suspicious_in_usual_times,
                                            least_suspicious, most_suspicious);
    what->patience = loop_.after(suspicious, [this, part, what = what.get()] {
        const auto& all = parts_[part].under_way;
        const auto it = std::find_if(all.begin(), all.end(),
                                     [&](const auto& one) { return one.get() == what; });
        if (it != all.end()) {
            overdue(part, *it);
        }
    });
    store_.commit(
        rows, std::chrono::duration_cast<base::milliseconds>(last - what->sent),
        lifetime_.guard([this, part, what](const auto& answer) { answered(part, what, answer); }));
}

// The transaction goes on; its jobs are tried another way as well.
void submission_writer::overdue(const fleet::part_name& part, const transaction_ptr& what) {
    what->overdue = true;
    metrics_.count("cranberrydock_submission_writes_overdue_total", "");
    const bool was_slow = slow();
    slow_until_ = clock_.now() + slow_for;
    for (const auto& it : what->jobs) {
        it->may_be_written = true;
        const bool other_way = it->open && it->ways <= 1;
        if (other_way && !hand_to_owner(it) && !was_slow) {
            parts_[part].waiting.push_back(it);
        }
    }
    send(part);
}

void submission_writer::answered(
    const fleet::part_name& part, const transaction_ptr& what,
    const tl::expected<fleet::store_version, fleet::store_error>& answer) {
    what->patience.reset();
    parts_[part].under_way.erase(what);
    for (const auto& it : what->jobs) {
        --it->ways;
    }
    const auto took = clock_.now() - what->sent;
    if (took >= slow_write && slow_lines_.allows(clock_.now())) {
        spdlog::info("event=slow_write part={} jobs={} took_ms={} outcome={}", part.str(),
                     what->jobs.size(),
                     std::chrono::duration_cast<base::milliseconds>(took).count(),
                     answer ? "done" : fleet::to_string(answer.error().failure));
    }
    const bool refused = !answer && answer.error().failure == fleet::store_failure::refused;
    const bool lost = !answer && answer.error().failure == fleet::store_failure::answer_lost;
    if (refused) {
        refused_until_ = clock_.now() + refused_for;
    } else if (!lost) {
        note_time(took);
    }
    if (refused || lost) {
        metrics_.count("cranberrydock_submission_write_failures_total",
                       refused ? "reason=\"refused\"" : "reason=\"answer_lost\"");
    }
    for (const auto& it : what->jobs) {
        if (answer) {
            settle(*it, {write_outcome::written, *answer});
        } else if (refused || lost) {
            it->may_be_written |= lost;
            again(it);
        } else if (exists(answer.error().rows, it->job)) {
            settle(*it, {write_outcome::known, {}});
        } else if (it->open && it->ways == 0) {
            parts_[part].waiting.push_back(it);  // another job of the transaction exists
        }
    }
    send(part);
}

}  // namespace cranberrydock::steward
