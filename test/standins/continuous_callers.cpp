// Sends the requests and compares their answers.
#include "continuous_callers.hpp"

#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr int ok = 200;

}  // namespace

continuous_callers::continuous_callers(const cell_cluster& daemons,
                                       std::vector<std::size_t> entries, int callers,
                                       work_maker make_work)
    : daemons_(daemons), entries_(std::move(entries)), make_work_(std::move(make_work)) {
    for (int i = 0; i < callers; ++i) {
        threads_.emplace_back([this, i] { run(i); });
    }
}

continuous_callers::~continuous_callers() {
    stop();
}

void continuous_callers::stop() {
    stopping_ = true;
    for (auto& it : threads_) {
        if (it.joinable()) {
            it.join();
        }
    }
}

std::vector<std::string> continuous_callers::failures() const {
    const std::lock_guard lock(failures_mutex_);
    return failures_;
}

void continuous_callers::run(int caller) {
    auto next = static_cast<std::size_t>(caller);
    for (int n = 0; !stopping_;) {
        const std::size_t entry = entries_[next++ % entries_.size()];
        if (daemons_.ready(entry)) {
            send(caller, n++, entry);
        }
    }
}

void continuous_callers::send(int caller, int n, std::size_t entry) {
    work_request work = make_work_(caller, n);
    work.answer = "answer " + std::to_string(n) + " of caller " + std::to_string(caller);
    const work_response result = daemons_.submit(entry, work);
    if (result.status == ok && result.answer() == work.answer) {
        ++answered_;
        return;
    }
    const std::lock_guard lock(failures_mutex_);
    failures_.push_back(work.answer + " at entry " + std::to_string(entry) + ": status " +
                        std::to_string(result.status) + " " + result.body.dump());
}

}  // namespace cranberrydock::standins
