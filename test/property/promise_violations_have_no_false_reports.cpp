// The attempts of a task run one after another on several VMs, or overlap for a while. VMs make
// reports at any time during an exchange, and the reports arrive in any order. The monitor reports
// a violation only if two attempts overlapped, and always reports one if they overlapped for long.
#include <cranberrydock/cell/promise_monitor.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;

constexpr int vms = 3;
constexpr int longest_exchange_ms = 400;
// The longest time between the starts of two exchanges on one VM.
constexpr int longest_exchange_period_ms = 100;
constexpr int simulated_ms = 20'000;

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
    while (from < simulated_ms) {
        attempt_run next_run;
        next_run.vm = any_below(vms);
        next_run.from = from;
        next_run.until = from + 1 + any_below(4'000);
        result.push_back(next_run);
        // Usually the next attempt starts after the end of this one, sometimes long before it.
        from = any_below(4) > 0 ? next_run.until + any_below(50)
                                : next_run.from + 1 + any_below(2'000);
    }
    return result;
}

std::vector<exchange> any_exchanges() {
    std::vector<exchange> result;
    for (int vm = 0; vm < vms; ++vm) {
        for (int asked = 0; asked < simulated_ms;
             asked += 1 + any_below(longest_exchange_period_ms)) {
            exchange next_exchange{vm, asked, 0, asked + any_below(longest_exchange_ms)};
            next_exchange.made =
                next_exchange.asked + any_below(next_exchange.received - next_exchange.asked + 1);
            result.push_back(next_exchange);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.received < b.received; });
    return result;
}

cell::observed_report report_of(const exchange& source, const std::vector<attempt_run>& runs) {
    cell::observed_report result;
    result.vm = base::vm_id(std::to_string(source.vm));
    result.report.incarnation = base::incarnation_id("1");
    result.report.number = platform::report_number(source.made);
    result.report.capacity.slots = base::slot_count(100);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const auto& it = runs[i];
        if (it.vm == source.vm && it.from <= source.made && source.made <= it.until) {
            platform::running_task task;
            task.task = base::task_id("t");
            task.attempt = base::attempt_id(std::to_string(i));
            result.report.running.push_back(task);
        }
    }
    result.sent = at(source.asked);
    result.received = at(source.received);
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

TEST(promise_monitor, reports_only_real_violations) {
    int kept = 0;
    int broken = 0;
    EXPECT_TRUE(
        rc::check("reported only if two attempts overlapped, and always if they did for long", [&] {
            const auto runs = any_runs();
            cell::promise_monitor monitor;
            std::size_t violations = 0;
            for (const auto& it : any_exchanges()) {
                violations += monitor.observe(report_of(it, runs)).size();
            }
            const int overlap = longest_overlap(runs);
            RC_LOG() << "reported " << violations << ", longest overlap " << overlap << " ms\n";
            RC_ASSERT(violations == 0U || overlap >= 0);
            RC_ASSERT(violations > 0U ||
                      overlap < 4 * (longest_exchange_ms + longest_exchange_period_ms));
            kept += overlap < 0 ? 1 : 0;
            broken += violations > 0 ? 1 : 0;
        }));
    EXPECT_GT(kept, 0);
    EXPECT_GT(broken, 10);
}
