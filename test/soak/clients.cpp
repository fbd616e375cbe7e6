// The callers of a soak.
#include "clients.hpp"

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/chrono.h>

#include <cstdio>
#include <memory>
#include <optional>
#include <random>

namespace cranberrydock::soak {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_gone = 410;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr base::milliseconds call_timeout{3'000};
constexpr base::milliseconds visible_after{3'000};  // after a job was accepted
constexpr base::milliseconds counted_after{5'000};  // after a job was accepted
constexpr base::milliseconds short_task_time{300};
const std::string queue_path = "/urgent/";

bool is_rejection(int status) {
    return status == status_unauthorized || status == status_too_many ||
           status == status_unavailable;
}

bool is_final(const std::string& state) {
    return state == "complete" || state == "failed" || state == "cancelled";
}

bool is_known(const std::string& state) {
    return state == "queued" || state == "active" || is_final(state);
}

// A job id has 16 hexadecimal digits: the kind of job, the caller's number, the time of the tasks,
// the size of their gang and the caller's job number.
struct task_traits {
    int time_100ms = 0;  // 0: the time of short tasks
    int gang_size = 0;
};

std::string job_text(char kind, int caller_number, int n, const task_traits& traits) {
    char out[40];
    std::snprintf(out, sizeof out, "%c%03x%02x%02x%08x", kind, caller_number, traits.time_100ms,
                  traits.gang_size, n);
    return out;
}

task_traits traits_of(const fleet::job_id& job) {
    constexpr int hexadecimal = 16;
    constexpr std::size_t time_position = 4;
    constexpr std::size_t gang_position = 6;
    const std::string& text = job.str();
    return {std::stoi(text.substr(time_position, 2), nullptr, hexadecimal),
            std::stoi(text.substr(gang_position, 2), nullptr, hexadecimal)};
}

std::string job_body(int tasks, bool chained, int cores, const task_traits& traits = {}) {
    const int estimate_ms = traits.time_100ms > 0 ? 100 * traits.time_100ms : 300;
    json step = {
        {"count", tasks}, {"cpu", 1'000 * cores}, {"memMb", 10}, {"estimatedMs", estimate_ms}};
    if (traits.gang_size > 0) {
        step["gang"] = true;
    }
    json steps = json::array({step});
    if (chained) {
        steps.push_back(step);
        steps.back()["after"] = {0};
    }
    return json{{"spec", "work"}, {"phases", steps}}.dump();
}

}  // namespace

bool always_fails(const fleet::job_id& job) {
    return job.str().front() == 'f';
}

standins::task_behavior behavior_of(const fleet::job_id& job) {
    const task_traits traits = traits_of(job);
    standins::task_behavior out;
    out.run_time =
        traits.time_100ms > 0 ? base::milliseconds(100 * traits.time_100ms) : short_task_time;
    out.fails = always_fails(job);
    out.gang_size = static_cast<std::size_t>(traits.gang_size);
    return out;
}

void answer_checker::add_job_violation(const fleet::job_id& job, const std::string& what) {
    add_violation("job " + job.str() + ": " + what);
}

void answer_checker::add_violation(const std::string& what) {
    const auto now =
        std::chrono::time_point_cast<base::milliseconds>(std::chrono::system_clock::now());
    breaches_.push_back(fmt::format("{:%T}.{:03} ", now, now.time_since_epoch().count() % 1'000) +
                        what);
}

void answer_checker::record_job(const fleet::job_id& job, int tasks) {
    const std::lock_guard lock(mutex_);
    jobs_[job].tasks = tasks;
}

void answer_checker::check_submission(const fleet::job_id& job, const answer& response) {
    const std::lock_guard lock(mutex_);
    auto& record = jobs_[job];
    if (response.status == status_ok) {
        if (!response.readable) {
            add_job_violation(job, "accepted with an answer that can't be read");
        }
        if (!record.accepted) {
            record.accepted_at = clock_.now();
        }
        record.accepted = true;
    } else if (!is_rejection(response.status)) {
        record.outcome_unknown = true;
    }
}

void answer_checker::record_cancel(const fleet::job_id& job) {
    const std::lock_guard lock(mutex_);
    jobs_[job].cancel_sent = true;
}

void answer_checker::check_status(const fleet::job_id& job, const answer& response, bool cancel,
                                  base::time_point sent) {
    const std::string& state = response.state;
    const int done = state == "complete" ? sources_.facts_of(job).done : 0;
    const std::lock_guard lock(mutex_);
    auto& record = jobs_[job];
    if (response.status == status_gone && record.accepted &&
        sent - record.accepted_at > visible_after) {
        add_job_violation(job, "accepted, and unknown later");
    }
    if (response.status != status_ok) {
        return;
    }
    if (!response.readable || (!cancel && !is_known(state))) {
        add_job_violation(job, "answered with a state that can't be read: '" + state + "'");
    }
    if (cancel) {
        record.cancel_confirmed = true;
    }
    if (state == "complete" && done < record.tasks) {
        add_job_violation(job, "shown as complete with " + std::to_string(done) + " of " +
                                   std::to_string(record.tasks) + " tasks done");
    }
    if (!is_final(state)) {
        if (!record.final_state.empty() && !cancel &&
            clock_.now() - sent < base::milliseconds(50)) {
            add_job_violation(job, "shown as " + state + " after " + record.final_state);
        }
        return;
    }
    if (!record.final_state.empty() && record.final_state != state) {
        add_job_violation(job, "shown as " + state + " after " + record.final_state);
    }
    if (state == "cancelled" && !record.cancel_sent) {
        add_job_violation(job, "cancelled by nobody");
    }
    if ((state == "failed" && !always_fails(job)) || (state == "complete" && always_fails(job))) {
        add_job_violation(job, "shown as " + state + " without cause");
    }
    record.final_state = state;
}

void answer_checker::check_unknown(const fleet::job_id& job, const answer& response) {
    if (response.status == status_ok) {
        const std::lock_guard lock(mutex_);
        add_job_violation(job, "submitted by nobody, and shown as '" + response.state + "'");
    }
}

void answer_checker::check_queue(int daemon, const answer& response, base::time_point sent) {
    if (response.status != status_ok) {
        return;
    }
    const std::string prefix = "daemon " + std::to_string(daemon) + ": ";
    if (!response.waiting || *response.waiting < 0) {
        const std::lock_guard lock(mutex_);
        add_violation(prefix + "a count of waiting jobs that can't be read");
        return;
    }
    // Only a daemon that can reach the store and its callers must report a current count.
    if (!sources_.in_touch(daemon, sent - counted_after)) {
        return;
    }
    std::vector<fleet::job_id> candidates;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& it : jobs_) {
            const auto& record = it.second;
            if (record.accepted && !record.started && !record.cancel_sent &&
                sent - record.accepted_at > counted_after) {
                candidates.push_back(it.first);
            }
        }
    }
    // The starts are looked up only if the count seems too low, and after the answer: jobs that
    // started in the meantime do not count as waiting.
    const auto max_waiting = static_cast<std::size_t>(2 * *response.waiting);
    if (candidates.size() <= max_waiting) {
        return;
    }
    std::size_t waiting_job_counts = 0;
    std::string first;  // the first waiting job
    for (const auto& it : candidates) {
        const bool has_started = sources_.facts_of(it).starts > 0;
        const std::lock_guard lock(mutex_);
        auto& record = jobs_[it];
        record.started = record.started || has_started;
        if (!has_started && !record.cancel_sent) {
            first = waiting_job_counts++ == 0 ? it.str() : first;
        }
    }
    if (waiting_job_counts > max_waiting) {
        const std::lock_guard lock(mutex_);
        add_violation(prefix + std::to_string(*response.waiting) + " jobs are said to wait; " +
                      std::to_string(waiting_job_counts) + " have waited for over " +
                      std::to_string(counted_after.count()) + " ms, the first " + first);
    }
}

std::map<fleet::job_id, job_record> answer_checker::jobs() const {
    const std::lock_guard lock(mutex_);
    return jobs_;
}

std::vector<std::string> answer_checker::breaches() const {
    const std::lock_guard lock(mutex_);
    return breaches_;
}

struct job_client::state {
    net::event_loop loop;
    std::unique_ptr<net::http_client> http =
        net::make_http_client(loop, {4, base::milliseconds{60'000}});
};

job_client::job_client() : state_(std::make_unique<state>()) {}

job_client::~job_client() = default;

answer job_client::call(const net::endpoint& server, net::http_method method,
                        const std::string& path, const std::string& body, const std::string& key) {
    net::http_request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "h"},
                       {"X-Deadline-Ms", std::to_string(call_timeout.count())},
                       {"Authorization", "Bearer " + key}};
    request.body = body;
    answer out;
    state_->http->send(
        server, std::move(request), call_timeout, [&](const net::http_result& result) {
            if (result) {
                out.status = result->status;
                const json from = json::parse(result->body, nullptr, false);
                out.readable = !from.is_discarded();
                const auto text = [&from](const char* name) {
                    return from.is_object() && from.contains(name) ? from.at(name) : json();
                };
                out.state = text("state").is_string() ? text("state").get<std::string>() : "";
                if (text("pending").is_number_integer()) {
                    out.waiting = text("pending").get<std::int64_t>();
                }
            }
            state_->loop.stop();
        });
    state_->loop.run();
    return out;
}

clients::clients(answer_checker& checker, std::vector<net::endpoint> daemons, int count,
                 std::uint32_t seed, job_mix mix)
    : checker_(checker), daemons_(std::move(daemons)), seed_(seed), mix_(mix) {
    for (int i = 0; i < count; ++i) {
        threads_.emplace_back([this, i] { run(i); });
    }
}

clients::~clients() {
    stop();
}

void clients::stop() {
    stopping_ = true;
    for (auto& it : threads_) {
        if (it.joinable()) {
            it.join();
        }
    }
}

void clients::set_key(const std::string& key) {
    const std::lock_guard lock(mutex_);
    key_ = key;
}

void clients::add_overload(const overload& extra) {
    const std::lock_guard lock(mutex_);
    overload_ = extra;
}

bool clients::has_submitted_overload() const {
    const std::lock_guard lock(mutex_);
    return overload_.jobs == 0;
}

std::optional<overload> clients::take_overload_job() {
    const std::lock_guard lock(mutex_);
    if (overload_.jobs == 0) {
        return std::nullopt;
    }
    --overload_.jobs;
    return overload{1, overload_.cores, overload_.time_100ms};
}

void clients::submit(job_client& client, const fleet::job_id& job, const std::string& body,
                     std::size_t& home) {
    constexpr int max_attempts = 3;
    for (int i = 0; i < max_attempts && !stopping_; ++i) {
        const auto response = client.call(daemons_[home], net::http_method::post,
                                          queue_path + job.str(), body, key());
        checker_.check_submission(job, response);
        if (response.status == status_ok) {
            break;
        }
        home = (home + 1) % daemons_.size();
    }
}

std::string clients::key() const {
    const std::lock_guard lock(mutex_);
    return key_;
}

void clients::run(int number) {
    std::seed_seq mix{seed_, static_cast<std::uint32_t>(number)};
    std::mt19937 random(mix);
    const auto draw = [&random](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
    };
    // A separate generator, so that it does not change the other requests that a seed draws.
    std::seed_seq more_mix{seed_, static_cast<std::uint32_t>(number), 1U};
    std::mt19937 more_random(more_mix);
    const base::monotonic_clock clock;
    job_client client;
    std::vector<fleet::job_id> own_jobs;
    int overload_count = 0;
    std::size_t home = static_cast<std::size_t>(number) % daemons_.size();
    // Upper bounds of a number drawn from 0 to 99, each in percent of the rounds.
    constexpr std::uint32_t queue_queries_at_home = 20;
    constexpr std::uint32_t queue_queries = 30;
    constexpr std::uint32_t unknown_job_queries = 33;
    for (int n = 0; !stopping_; ++n) {
        while (const auto extra = stopping_ ? std::nullopt : take_overload_job()) {
            constexpr int site_overload_100ms = 20;
            const int usual_100ms = mix_ == job_mix::site ? site_overload_100ms : 0;
            const task_traits traits{extra->time_100ms > 0 ? extra->time_100ms : usual_100ms, 0};
            const fleet::job_id job(job_text('b', number, ++overload_count, traits));
            checker_.record_job(job, 1);
            submit(client, job, job_body(1, false, extra->cores, traits), home);
        }
        const std::uint32_t query_draw = more_random() % 100U;
        if (query_draw < queue_queries) {
            // Some queries go to a random daemon: after some faults all callers use the same one.
            const auto target =
                query_draw < queue_queries_at_home ? home : more_random() % daemons_.size();
            const auto sent = clock.now();
            const auto response =
                client.call(daemons_[target], net::http_method::get, queue_path, "", key());
            checker_.check_queue(static_cast<int>(target), response, sent);
        } else if (query_draw < unknown_job_queries) {
            const fleet::job_id job(job_text('e', number, n, {}));
            checker_.check_unknown(job, client.call(daemons_[home], net::http_method::get,
                                                    queue_path + job.str(), "", key()));
        }
        const int action_draw = draw(0, 99);
        if (own_jobs.empty() || action_draw < 30) {
            constexpr int jobs_per_failing_job = 12;
            const char kind = draw(1, jobs_per_failing_job) == 1 ? 'f' : '0';
            const bool chained = draw(0, 3) == 0;
            int tasks = draw(1, 4);
            task_traits traits;
            constexpr int max_wide_tasks = 12;
            if (mix_ == job_mix::site && kind != 'f' && draw(0, 2) == 0) {
                tasks = draw(2, max_wide_tasks);
                traits.time_100ms = draw(10, 60);
                traits.gang_size = draw(0, 2) == 0 ? tasks : 0;
            }
            const fleet::job_id job(job_text(kind, number, n, traits));
            const std::string body = job_body(tasks, chained, 1, traits);
            checker_.record_job(job, chained ? 2 * tasks : tasks);
            submit(client, job, body, home);
            own_jobs.push_back(job);
        } else {
            const auto& job =
                own_jobs[static_cast<std::size_t>(draw(0, static_cast<int>(own_jobs.size()) - 1))];
            const bool cancel = action_draw >= 95;
            const auto sent = clock.now();
            if (cancel) {
                checker_.record_cancel(job);
            }
            const auto response =
                client.call(daemons_[home], cancel ? net::http_method::del : net::http_method::get,
                            queue_path + job.str(), "", key());
            checker_.check_status(job, response, cancel, sent);
            if (response.status == 0 || response.status == status_unavailable) {
                home = (home + 1) % daemons_.size();
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(5, 120)));
    }
}

}  // namespace cranberrydock::soak
