// The callers of a soak.
#include "clients.hpp"

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>

#include <nlohmann/json.hpp>

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
constexpr base::milliseconds patience{3'000};
constexpr base::milliseconds visible_after{3'000};  // of an accepted job
const std::string path_of_queue = "/urgent/";

bool is_rejection(int status) {
    return status == status_unauthorized || status == status_too_many ||
           status == status_unavailable;
}

bool is_final(const std::string& state) {
    return state == "complete" || state == "failed" || state == "cancelled";
}

std::string job_body(int tasks, bool chained) {
    const json step = {{"count", tasks}, {"cpu", 1'000}, {"memMb", 10}, {"estimatedMs", 300}};
    json steps = json::array({step});
    if (chained) {
        steps.push_back(step);
        steps.back()["after"] = {0};
    }
    return json{{"spec", "work"}, {"phases", steps}}.dump();
}

}  // namespace

bool is_hopeless(const fleet::job_id& job) {
    return job.str().front() == 'f';
}

void ledger::breach(const fleet::job_id& job, const std::string& what) {
    breaches_.push_back("job " + job.str() + ": " + what);
}

void ledger::sent(const fleet::job_id& job, int tasks) {
    const std::lock_guard lock(guard_);
    jobs_[job].tasks = tasks;
}

void ledger::answered_submission(const fleet::job_id& job, int status) {
    const std::lock_guard lock(guard_);
    auto& one = jobs_[job];
    if (status == status_ok) {
        if (!one.accepted) {
            one.accepted_at = clock_.now();
        }
        one.accepted = true;
    } else if (!is_rejection(status)) {
        one.unclear = true;
    }
}

void ledger::sent_cancel(const fleet::job_id& job) {
    const std::lock_guard lock(guard_);
    jobs_[job].cancel_sent = true;
}

void ledger::answered_question(const fleet::job_id& job, int status, const std::string& state,
                               bool cancel, base::time_point sent) {
    const std::lock_guard lock(guard_);
    auto& one = jobs_[job];
    if (status == status_gone && one.accepted && sent - one.accepted_at > visible_after) {
        breach(job, "accepted, and unknown later");
    }
    if (status != status_ok) {
        return;
    }
    if (cancel) {
        one.cancel_confirmed = true;
    }
    if (!is_final(state)) {
        if (!one.final_state.empty() && !cancel && clock_.now() - sent < base::milliseconds(50)) {
            breach(job, "shown as " + state + " after " + one.final_state);
        }
        return;
    }
    if (!one.final_state.empty() && one.final_state != state) {
        breach(job, "shown as " + state + " after " + one.final_state);
    }
    if (state == "cancelled" && !one.cancel_sent) {
        breach(job, "cancelled by nobody");
    }
    if ((state == "failed" && !is_hopeless(job)) || (state == "complete" && is_hopeless(job))) {
        breach(job, "shown as " + state + " without cause");
    }
    one.final_state = state;
}

std::map<fleet::job_id, told> ledger::jobs() const {
    const std::lock_guard lock(guard_);
    return jobs_;
}

std::vector<std::string> ledger::breaches() const {
    const std::lock_guard lock(guard_);
    return breaches_;
}

struct caller::state {
    net::event_loop loop;
    std::unique_ptr<net::http_client> http =
        net::make_http_client(loop, {4, base::milliseconds{60'000}});
};

caller::caller() : state_(std::make_unique<state>()) {}

caller::~caller() = default;

answer caller::ask(const net::endpoint& to, net::http_method method, const std::string& path,
                   const std::string& body, const std::string& key) {
    net::http_request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "h"},
                       {"X-Deadline-Ms", std::to_string(patience.count())},
                       {"Authorization", "Bearer " + key}};
    request.body = body;
    answer out;
    state_->http->send(to, std::move(request), patience, [&](const net::http_result& result) {
        if (result) {
            out.status = result->status;
            const json from = json::parse(result->body, nullptr, false);
            out.state = from.is_object() ? from.value("state", std::string()) : std::string();
        }
        state_->loop.stop();
    });
    state_->loop.run();
    return out;
}

clients::clients(ledger& book, std::vector<net::endpoint> daemons, int count, std::uint32_t seed)
    : book_(book), daemons_(std::move(daemons)), seed_(seed) {
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
    const std::lock_guard lock(guard_);
    key_ = key;
}

std::string clients::key() const {
    const std::lock_guard lock(guard_);
    return key_;
}

void clients::run(int number) {
    std::seed_seq mix{seed_, static_cast<std::uint32_t>(number)};
    std::mt19937 random(mix);
    const auto draw = [&random](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
    };
    const base::monotonic_clock clock;
    caller line;
    std::vector<fleet::job_id> mine;
    std::size_t home = static_cast<std::size_t>(number) % daemons_.size();
    for (int n = 0; !stopping_; ++n) {
        const int what = draw(0, 99);
        if (mine.empty() || what < 30) {
            char id[17];
            constexpr int one_hopeless_in = 12;
            std::snprintf(id, sizeof id, "%c%03x%012x", draw(1, one_hopeless_in) == 1 ? 'f' : '0',
                          number, n);
            const fleet::job_id job(id);
            const bool chained = draw(0, 3) == 0;
            const int tasks = draw(1, 4);
            const std::string body = job_body(tasks, chained);
            book_.sent(job, chained ? 2 * tasks : tasks);
            constexpr int most_tries = 3;
            for (int i = 0; i < most_tries && !stopping_; ++i) {
                const auto got = line.ask(daemons_[home], net::http_method::post,
                                          path_of_queue + job.str(), body, key());
                book_.answered_submission(job, got.status);
                if (got.status == status_ok) {
                    break;
                }
                home = (home + 1) % daemons_.size();
            }
            mine.push_back(job);
        } else {
            const auto& job =
                mine[static_cast<std::size_t>(draw(0, static_cast<int>(mine.size()) - 1))];
            const bool cancel = what >= 95;
            const auto sent = clock.now();
            if (cancel) {
                book_.sent_cancel(job);
            }
            const auto got =
                line.ask(daemons_[home], cancel ? net::http_method::del : net::http_method::get,
                         path_of_queue + job.str(), "", key());
            book_.answered_question(job, got.status, got.state, cancel, sent);
            if (got.status == 0 || got.status == status_unavailable) {
                home = (home + 1) % daemons_.size();
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(5, 120)));
    }
}

}  // namespace cranberrydock::soak
