// The operations that every daemon offers to callers.
#include <cranberrydock/fleet_daemon/job_api.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>

namespace cranberrydock::fleet_daemon {

using base::refusal;
using base::refusal_reason;

namespace {

constexpr std::size_t job_id_digits = 16;
// The answer is sent this long before the caller's timeout, to allow for the network.
constexpr base::milliseconds answer_margin{250};
constexpr base::milliseconds default_timeout{3'000};
constexpr base::milliseconds read_timeout{800};
constexpr base::milliseconds retry_soon{500};
constexpr base::milliseconds retry_after_store_outage{1'000};
// Older figures in the owner's row are not used.
constexpr base::milliseconds max_figures_age{4'000};
// A count of waiting jobs is reported up to this age. An owner counts for up to 2 s after it last
// read changes of the jobs. Together, the two limits must not omit a job that has waited for 5 s.
constexpr base::milliseconds max_count_age{2'500};

bool is_job_id(const std::string& text) {
    return text.size() == job_id_digits &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isxdigit(c) != 0; });
}

refusal not_run(refusal_reason reason, std::string detail,
                base::milliseconds retry_after = base::milliseconds{0}) {
    return {reason, true, retry_after, std::move(detail)};
}

refusal store_unavailable_refusal() {
    return not_run(refusal_reason::store_unavailable, "the store does not answer; try again",
                   retry_after_store_outage);
}

fleet::unix_time wall_clock_now() {
    return fleet::unix_time(std::chrono::duration_cast<base::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count());
}

}  // namespace

job_api::job_api(net::event_loop& loop, fleet::row_store& store, const job_layout& layout,
                 fleet_view& view, base::metrics& metrics, const fleet::store_limits& limits)
    : store_(store),
      layout_(layout),
      view_(view),
      metrics_(metrics),
      limits_(limits),
      writer_(loop, store, layout, view, metrics, limits) {}

tl::expected<job_api::admitted_request, refusal> job_api::admit(const caller& requester) const {
    const auto configuration = view_.configuration();
    if (!configuration) {
        return tl::unexpected(not_run(refusal_reason::configuration_not_fresh,
                                      "no configuration has been read yet; try again", retry_soon));
    }
    admitted_request out;
    out.configuration = configuration;
    out.queue = configuration->find_queue(requester.host, requester.path);
    if (out.queue == nullptr) {
        return tl::unexpected(not_run(refusal_reason::unknown_queue,
                                      "no queue matches " + requester.host + requester.path));
    }
    const auto customer = configuration->customers_by_key.find(requester.key);
    if (customer != configuration->customers_by_key.end()) {
        out.customer = customer->second;
    } else if (!out.queue->allows_anonymous) {
        return tl::unexpected(not_run(
            requester.key.empty() ? refusal_reason::key_missing : refusal_reason::key_unknown,
            "the queue requires the key of a customer"));
    }
    const std::string job_text = requester.path.substr(out.queue->prefix.size());
    if (!job_text.empty() && !is_job_id(job_text)) {
        return tl::unexpected(
            not_run(refusal_reason::malformed_request,
                    "expected 16 hexadecimal digits as the job's id, found " + job_text));
    }
    out.job = fleet::job_id(job_text);
    return out;
}

template <typename Answer>
void job_api::refuse(const answer_callback<Answer>& done, refusal rejection) {
    metrics_.count("cranberrydock_refusals_total",
                   "reason=\"" + std::string(to_string(rejection.reason)) + "\"");
    done(tl::unexpected(std::move(rejection)));
}

std::optional<refusal> job_api::check_feasibility(const admitted_request& admission,
                                                  const job_draft& draft) const {
    const auto& owner = view_.owner();
    for (const auto& it : draft.steps) {
        if (owner.largest_vm.cores.value() > 0 && !fits(it.need, owner.largest_vm)) {
            return not_run(refusal_reason::can_never_fit, "a task needs more than any VM has");
        }
        if (!it.required_label.empty() && !owner.labels.empty() &&
            owner.labels.count(it.required_label) == 0) {
            return not_run(refusal_reason::can_never_fit,
                           "no VM has the label " + it.required_label.str());
        }
    }
    // A job that is due later, or that runs until it is cancelled, does not lose its value because
    // of the present backlog.
    const auto overload = owner.overloaded.find(admission.queue->name);
    const bool is_overloaded =
        overload != owner.overloaded.end() && view_.owner_age() < max_figures_age;
    const bool is_long_running = std::any_of(draft.steps.begin(), draft.steps.end(),
                                             [](const auto& it) { return it.long_running; });
    if (is_overloaded && !is_long_running &&
        (draft.occurrences == 0 ||
         draft.first_start.value() <= wall_clock_now().value() + overload->second.count())) {
        return not_run(refusal_reason::overloaded,
                       "the queue can't serve more work in time; try again later",
                       overload->second);
    }
    return std::nullopt;
}

void job_api::submit(const caller& requester, tl::expected<job_draft, std::string> draft,
                     const answer_callback<job_accepted>& done) {
    const auto admitted = admit(requester);
    if (!admitted) {
        refuse(done, admitted.error());
        return;
    }
    if (admitted->job.empty() || !draft) {
        refuse(done,
               not_run(refusal_reason::malformed_request,
                       draft ? "expected the job's id after the queue's path" : draft.error()));
        return;
    }
    if (const auto rejection = check_feasibility(*admitted, *draft)) {
        if (!writer_.is_writing(admitted->job) && !writer_.may_write_later(admitted->job)) {
            refuse_new_job(*admitted, *rejection, done);
            return;
        }
        // A repeat of a submission that is being written gets the outcome of that write. If it may
        // still be written, it is written once more, since it can't be said to run never.
    }
    fleet::job_spec job;
    job.id = admitted->job;
    job.queue = admitted->queue->name;
    job.customer = admitted->customer;
    job.terms = admitted->queue->terms;
    job.accepted = wall_clock_now();
    job.accepted_under = view_.owner().token;
    job.payload = std::move(draft->payload);
    job.steps = std::move(draft->steps);
    job.occurrences = draft->occurrences;
    job.period = draft->period;
    job.first_start = draft->first_start;
    const auto caller_timeout = requester.timeout.count() > 0 ? requester.timeout : default_timeout;
    const auto received = clock_.now();
    const std::string row = encode_job(job);
    const std::int64_t tasks = fleet::task_count_of(job);
    if (row.size() > limits_.row_bytes || tasks > fleet::max_tasks_per_job) {
        spdlog::info("event=job_refused job={} queue={} reason={} bytes={} limit={} tasks={}",
                     job.id.str(), job.queue.str(), to_string(refusal_reason::can_never_fit),
                     row.size(), limits_.row_bytes, tasks);
        refuse(done,
               not_run(refusal_reason::can_never_fit,
                       "expected a job of at most " + std::to_string(fleet::max_tasks_per_job) +
                           " tasks that fits into " + std::to_string(limits_.row_bytes) +
                           " bytes of the store, found " + std::to_string(tasks) + " tasks and " +
                           std::to_string(row.size()) + " bytes; submit it in smaller parts"));
        return;
    }
    const auto on_written = lifetime_.guard([this, done, row, id = job.id, queue = job.queue,
                                             received](const write_result& result) {
        const write_outcome outcome = result.outcome;
        const auto elapsed =
            std::chrono::duration_cast<base::milliseconds>(clock_.now() - received);
        metrics_.observe("cranberrydock_submission_write_ms", "",
                         static_cast<double>(elapsed.count()));
        if (outcome == write_outcome::already_written) {
            done(job_accepted{});
            return;
        }
        if (outcome == write_outcome::written) {
            metrics_.count("cranberrydock_jobs_accepted_total", "");
            if (accepted_log_limiter_.allows(clock_.now())) {
                spdlog::info("event=job_accepted job={} queue={} took_ms={}", id.str(), queue.str(),
                             elapsed.count());
            }
            view_.notify_owner(id, row, result.version, [] {});
            done(job_accepted{});
            return;
        }
        spdlog::info("event=job_not_accepted job={} queue={} took_ms={} unclear={} cancelled={}",
                     id.str(), queue.str(), elapsed.count(), outcome == write_outcome::undetermined,
                     outcome == write_outcome::cancelled);
        if (outcome == write_outcome::cancelled) {
            refuse(done, not_run(refusal_reason::cancelled,
                                 "the job was cancelled before it was accepted"));
        } else if (outcome == write_outcome::refused) {
            refuse(done, store_unavailable_refusal());
        } else {
            refuse(done, refusal{refusal_reason::outcome_unknown, false, retry_after_store_outage,
                                 "the store's answer was lost; send the job again "
                                 "under the same id"});
        }
    });
    writer_.write(job.id, row, received + caller_timeout - answer_margin, on_written);
}

// Refuses the job, unless it was accepted earlier: its caller may not have received the answer, and
// a refusal would say that the job never runs.
void job_api::refuse_new_job(const admitted_request& admission, const refusal& rejection,
                             const answer_callback<job_accepted>& done) {
    const auto log = [this, job = admission.job, queue = admission.queue->name, rejection,
                      owner_age = view_.owner_age(),
                      fence = view_.owner().token](const char* outcome) {
        metrics_.count("cranberrydock_infeasible_submissions_total",
                       "queue=\"" + queue.str() + "\",reason=\"" +
                           std::string(to_string(rejection.reason)) + "\",outcome=\"" + outcome +
                           "\"");
        if (refused_log_limiter_.allows(clock_.now())) {
            spdlog::info(
                "event=job_refused job={} queue={} reason={} outcome={} retry_after_ms={} fence={} "
                "owner_age_ms={}",
                job.str(), queue.str(), to_string(rejection.reason), outcome,
                rejection.retry_after.count(), fence.value(), owner_age.count());
        }
    };
    if (view_.has_loaded(admission.job)) {
        log("accepted_before");
        done(job_accepted{});
        return;
    }
    const auto unclear = [this, done, log] {
        log("unclear");
        refuse(done, refusal{refusal_reason::outcome_unknown, false, retry_after_store_outage,
                             "the store doesn't show whether the job was accepted before; send it "
                             "again under the same id"});
    };
    const auto on_job_row = [this, done, log, unclear, rejection,
                             job = admission.job](const read_result& read) {
        if (!read) {
            unclear();
        } else if (!read->empty()) {
            answer_repeat(job, read->front(), done, log);
        } else {
            // The rows of a job that has ended are replaced by one that says so.
            read_row_if_any(layout_.ended_row(job),
                            [this, done, log, unclear, rejection, job](const read_result& ended) {
                                if (!ended) {
                                    unclear();
                                } else if (!ended->empty()) {
                                    answer_repeat(job, ended->front(), done, log);
                                } else {
                                    log("refused");
                                    refuse(done, rejection);
                                }
                            });
        }
    };
    read_row_if_any(layout_.job_row(admission.job), on_job_row);
}

void job_api::answer_repeat(const fleet::job_id& job, const fleet::stored_row& row,
                            const answer_callback<job_accepted>& done,
                            const std::function<void(const char*)>& log) {
    if (is_withdrawn(job, row)) {
        log("cancelled");
        refuse(done,
               not_run(refusal_reason::cancelled, "the job was cancelled before it was accepted"));
    } else {
        log("accepted_before");
        done(job_accepted{});
    }
}

void job_api::read_row_if_any(const fleet::row_address& row,
                              std::function<void(const read_result&)> done) {
    store_.read(row.table, row.partition, row.name, 1, read_timeout,
                lifetime_.guard([row, done = std::move(done)](const auto& read) {
                    if (!read) {
                        done(read_result());
                        return;
                    }
                    std::vector<fleet::stored_row> rows;
                    if (!read->rows.empty() && read->rows.front().address.name == row.name) {
                        rows.push_back(read->rows.front());
                    }
                    done(rows);
                }));
}

void job_api::write(const delegated_job& delegated, base::milliseconds write_timeout,
                    const write_callback& done) {
    writer_.write_for_peer(delegated, clock_.now() + write_timeout, done);
}

// A status query or a cancellation of one job.
struct job_api::lookup {
    // Whether the job belongs to the caller and was submitted to the queue of the request.
    bool matches_request(const fleet::customer_name& customer,
                         const fleet::queue_name& queue) const {
        const bool is_in_other_queue =
            queue != admission.queue->name && admission.configuration->find_queue(queue) != nullptr;
        return !is_in_other_queue && (customer == admission.customer || customer.empty());
    }

    admitted_request admission;
    fleet::job_id job;
    bool cancel = false;
    int rounds = 0;  // number of times that the job was looked up in the store
    answer_callback<job_status> done;
};

void job_api::status(const caller& requester, const answer_callback<job_status>& done) {
    const auto admitted = admit(requester);
    if (!admitted) {
        refuse(done, admitted.error());
        return;
    }
    query_owner(std::make_shared<lookup>(lookup{*admitted, admitted->job, false, 0, done}));
}

void job_api::cancel(const caller& requester, const answer_callback<job_status>& done) {
    const auto admitted = admit(requester);
    if (!admitted) {
        refuse(done, admitted.error());
        return;
    }
    if (admitted->job.empty()) {
        refuse(done, not_run(refusal_reason::unknown_job, "expected the job's id"));
        return;
    }
    look_up(std::make_shared<lookup>(lookup{*admitted, admitted->job, true, 0, done}));
}

void job_api::answer(const std::shared_ptr<lookup>& request, const owner_job_status& found) {
    if (!request->matches_request(found.customer, found.queue)) {
        refuse(request->done,
               not_run(refusal_reason::unknown_job, "no such job of this customer in this queue"));
    } else {
        request->done(job_status{found.state});
    }
}

void job_api::refuse_unreadable(const std::shared_ptr<lookup>& request,
                                const fleet::row_address& row, const std::string& error) {
    spdlog::error("event=row_unreadable table={} row={} error=\"{}\"", row.table.str(),
                  row.name.str(), error);
    refuse(request->done,
           refusal{refusal_reason::internal, false, retry_soon, "the job's row cannot be read"});
}

void job_api::query_owner(const std::shared_ptr<lookup>& request) {
    view_.query_owner(request->job, lifetime_.guard([this, request](const auto& known) {
        metrics_.count("cranberrydock_status_questions_total",
                       known ? "answer=\"owner\"" : "answer=\"store\"");
        if (known) {
            answer(request, *known);
        } else {
            look_up(request);
        }
    }));
}

void job_api::read_row(const std::shared_ptr<lookup>& request, const fleet::row_address& row,
                       std::function<void(const fleet::stored_row*)> found) {
    store_.read(row.table, row.partition, row.name, 1, read_timeout,
                lifetime_.guard([this, request, row, found = std::move(found)](const auto& read) {
                    if (!read) {
                        refuse(request->done, store_unavailable_refusal());
                    } else if (read->rows.empty() || read->rows.front().address.name != row.name) {
                        found(nullptr);
                    } else {
                        found(&read->rows.front());
                    }
                }));
}

void job_api::look_up(const std::shared_ptr<lookup>& request) {
    ++request->rounds;
    const auto row = layout_.ended_row(request->job);
    read_row(request, row, [this, request, row](const fleet::stored_row* found) {
        if (found == nullptr) {
            look_up_job(request);
            return;
        }
        const auto ended = fleet::decode_progress(found->value);
        if (ended && ended->withdrawn) {
            refuse_unknown(request);
        } else if (ended) {
            answer(request, {ended->customer, ended->queue, ended->state});
        } else {
            refuse_unreadable(request, row, ended.error());
        }
    });
}

void job_api::look_up_job(const std::shared_ptr<lookup>& request) {
    const auto row = layout_.job_row(request->job);
    read_row(request, row, [this, request, row](const fleet::stored_row* found) {
        if (found == nullptr) {
            // The job may have ended between the two reads.
            constexpr int max_rounds = 2;
            if (request->cancel) {
                withdraw_job(request);
            } else if (request->rounds < max_rounds) {
                look_up(request);
            } else {
                refuse_unknown(request);
            }
            return;
        }
        const auto job = fleet::decode_job(request->job, found->value);
        if (!job) {
            refuse_unreadable(request, row, job.error());
        } else if (job->kind == fleet::job_row_kind::withdrawn) {
            refuse_unknown(request);
        } else if (job->kind == fleet::job_row_kind::cancelled) {
            answer(request, {job->job.customer, job->job.queue, fleet::job_state::cancelled});
        } else if (!request->matches_request(job->job.customer, job->job.queue) ||
                   job->job.customer != request->admission.customer) {
            answer(request, {job->job.customer, job->job.queue, fleet::job_state::queued});
        } else if (request->cancel) {
            cancel_existing_job(request, *found);
        } else {
            look_up_progress(request);
        }
    });
}

// Reads the progress of a job that has not ended. Without a progress row the job is queued.
void job_api::look_up_progress(const std::shared_ptr<lookup>& request) {
    const auto row = layout_.progress_row(request->job);
    read_row(request, row, [this, request, row](const fleet::stored_row* found) {
        if (found == nullptr) {
            request->done(job_status{fleet::job_state::queued});
            return;
        }
        const auto progress = fleet::decode_progress(found->value);
        if (progress) {
            answer(request, {progress->customer, progress->queue, progress->state});
        } else {
            refuse_unreadable(request, row, progress.error());
        }
    });
}

void job_api::refuse_unknown(const std::shared_ptr<lookup>& request) {
    refuse(request->done, not_run(refusal_reason::unknown_job, "no such job"));
}

void job_api::cancel_existing_job(const std::shared_ptr<lookup>& request,
                                  const fleet::stored_row& row) {
    const auto found = fleet::decode_job(request->job, row.value);
    const std::string cancelled = fleet::encode_cancelled({found->job.customer, found->job.queue});
    fleet::row_transaction transaction;
    transaction.conditions.push_back({row.address, row.version});
    transaction.puts.push_back({row.address, cancelled});
    store_.commit(
        transaction, read_timeout, lifetime_.guard([this, request, cancelled](const auto& answer) {
            if (answer) {
                metrics_.count("cranberrydock_jobs_cancelled_total", "");
                spdlog::info("event=job_cancelled job={}", request->job.str());
                // Answered only after the owner has been notified, so that a status query that
                // follows returns the cancellation.
                view_.notify_owner(request->job, cancelled, *answer, lifetime_.guard([request] {
                    request->done(job_status{fleet::job_state::cancelled});
                }));
                return;
            }
            retry_cancellation(request);
        }));
}

void job_api::withdraw_job(const std::shared_ptr<lookup>& request) {
    const auto& queue = request->admission.queue->name;
    const auto row = layout_.job_row(request->job);
    fleet::row_transaction transaction;
    transaction.conditions.push_back({row, fleet::store_version(0)});
    transaction.conditions.push_back({layout_.ended_row(request->job), fleet::store_version(0)});
    transaction.puts.push_back(
        {row, fleet::encode_cancelled({request->admission.customer, queue, true})});
    store_.commit(
        transaction, read_timeout, lifetime_.guard([this, request, queue](const auto& answer) {
            if (!answer) {
                retry_cancellation(request);
                return;
            }
            metrics_.count("cranberrydock_jobs_withdrawn_total", "");
            spdlog::info("event=job_withdrawn job={} queue={}", request->job.str(), queue.str());
            refuse_unknown(request);
        }));
}

// The job has been submitted, has ended or was cancelled meanwhile, or the write failed.
void job_api::retry_cancellation(const std::shared_ptr<lookup>& request) {
    constexpr int max_rounds = 4;
    if (request->rounds < max_rounds) {
        look_up(request);
    } else {
        refuse(request->done,
               refusal{refusal_reason::outcome_unknown, false, retry_after_store_outage,
                       "the cancellation may not have been written; send it again"});
    }
}

bool job_api::is_queue_request(const caller& requester) const {
    const auto found = admit(requester);
    return found && found->job.empty();
}

void job_api::count_waiting(const caller& requester, const answer_callback<waiting_jobs>& done) {
    const auto admitted = admit(requester);
    if (!admitted) {
        refuse(done, admitted.error());
        return;
    }
    const auto& count = view_.owner().waiting_jobs;
    const auto age = view_.count_age();
    if (!count || !age || *age > max_count_age) {
        refuse(done,
               not_run(refusal_reason::cell_without_owner,
                       "no current count of the waiting jobs is available; try again", retry_soon));
        return;
    }
    const auto it = count->jobs.find(admitted->queue->name);
    const waiting_jobs reply{it == count->jobs.end() ? 0 : it->second};
    metrics_.observe("cranberrydock_waiting_jobs_age_ms", "", static_cast<double>(age->count()));
    if (waiting_log_limiter_.allows(clock_.now())) {
        spdlog::info("event=waiting_told queue={} jobs={} fence={} number={} age_ms={}",
                     admitted->queue->name.str(), reply.count, count->counted_by.value(),
                     count->sequence, age->count());
    }
    done(reply);
}

}  // namespace cranberrydock::fleet_daemon
