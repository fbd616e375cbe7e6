// A task whose attempts follow each other on several VMs, or run together for a while; reports that
// are made at any moment of their exchange and arrive in any order. The watch speaks only when two
// did run together, and does speak when they did so for long.
#include <cranberrydock/cell/promise_watch.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;

constexpr int vms = 3;
constexpr int longest_exchange = 400;  // milliseconds
constexpr int exchange_period = 100;   // between two exchanges' beginnings on one VM, at most
constexpr int end_of_time = 20'000;

struct attempt_run {
    int vm = 0;
    int from = 0;
    int until = 0;
};

struct exchange {
    int vm = 0;
    int asked = 0;
    int made = 0;
    int received = 0;
};

int any_below(int n) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, n));
}

base::time_point at(int milliseconds) {
    return base::time_point(base::milliseconds(milliseconds));
}

std::vector<attempt_run> any_runs() {
    std::vector<attempt_run> result;
    int from = 0;
    while (from < end_of_time) {
        attempt_run one;
        one.vm = any_below(vms);
        one.from = from;
        one.until = from + 1 + any_below(4'000);
        result.push_back(one);
        // Mostly after the end, at times long before it.
        from = any_below(4) > 0 ? one.until + any_below(50) : one.from + 1 + any_below(2'000);
    }
    return result;
}

std::vector<exchange> any_exchanges() {
    std::vector<exchange> result;
    for (int vm = 0; vm < vms; ++vm) {
        for (int asked = 0; asked < end_of_time; asked += 1 + any_below(exchange_period)) {
            exchange one{vm, asked, 0, asked + any_below(longest_exchange)};
            one.made = one.asked + any_below(one.received - one.asked + 1);
            result.push_back(one);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.received < b.received; });
    return result;
}

cell::observed_report report_of(const exchange& one, const std::vector<attempt_run>& runs) {
    cell::observed_report result;
    result.vm = base::vm_id(std::to_string(one.vm));
    result.report.incarnation = base::incarnation_id("1");
    result.report.number = platform::report_number(one.made);
    result.report.capacity.slots = base::slot_count(100);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const auto& it = runs[i];
        if (it.vm == one.vm && it.from <= one.made && one.made <= it.until) {
            platform::running_task task;
            task.task = base::task_id("t");
            task.attempt = base::attempt_id(std::to_string(i));
            result.report.running.push_back(task);
        }
    }
    result.asked = at(one.asked);
    result.received = at(one.received);
    return result;
}

int longest_overlap(const std::vector<attempt_run>& runs) {
    int result = -1;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const int from = std::max(runs[i].from, runs[j].from);
            const int until = std::min(runs[i].until, runs[j].until);
            result = std::max(result, until - from);
        }
    }
    return result;
}

}  // namespace

TEST(promise_watch, no_promise_is_called_broken_that_was_kept) {
    int kept = 0;
    int broken = 0;
    EXPECT_TRUE(rc::check("told only when two ran together, and when they did for long", [&] {
        const auto runs = any_runs();
        cell::promise_watch watch;
        std::size_t told = 0;
        for (const auto& it : any_exchanges()) {
            told += watch.see(report_of(it, runs)).size();
        }
        const int overlap = longest_overlap(runs);
        RC_LOG() << "told " << told << ", longest overlap " << overlap << " ms\n";
        RC_ASSERT(told == 0U || overlap >= 0);
        RC_ASSERT(told > 0U || overlap < 4 * (longest_exchange + exchange_period));
        kept += overlap < 0 ? 1 : 0;
        broken += told > 0 ? 1 : 0;
    }));
    EXPECT_GT(kept, 0);
    EXPECT_GT(broken, 10);
}
