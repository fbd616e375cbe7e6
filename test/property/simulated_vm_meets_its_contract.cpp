// Random commands of several owners, late and in any order, against one simulated VM that is
// suspended and replaced in between. The VM never exceeds its capacity, starts no attempt twice,
// runs no task past its lease, obeys no lower epoch, and reports every completion until it is
// acknowledged. Other tests check daemons against this stand-in, so the stand-in itself must be
// correct.
#include "standins/run_checker.hpp"
#include "standins/vm_agent.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;

const base::resources capacity{
    base::millicores(4'000), base::mebibytes(1'000), {}, base::slot_count(4)};

class vm_driver {
public:
    void step() {
        switch (*rc::gen::inRange(0, 9)) {
            case 0:
                clock_.advance(base::milliseconds{*rc::gen::inRange(0, 60)});
                advance();
                break;
            case 1:
                toggle_suspension();
                break;
            case 2:
                maybe_replace();
                break;
            default:
                send_command();
        }
        check_violations();
    }

private:
    void toggle_suspension() {
        if (suspended_) {
            agent_.resume(clock_.now());
        } else {
            agent_.suspend(clock_.now());
        }
        suspended_ = !suspended_;
    }

    void maybe_replace() {
        if (*rc::gen::inRange(0, 4) == 0) {
            agent_.replace(clock_.now());
            suspended_ = false;
            unacknowledged_.clear();
            last_report_.reset();
        }
    }

    void advance() {
        if (!suspended_) {
            agent_.advance(clock_.now());
        }
    }

    void send_command() {
        if (suspended_) {
            return;
        }
        vm_command out{base::cell_id("c"), base::epoch(*rc::gen::inRange(1, 5)), any_body()};
        agent_.handle(out, clock_.now(),
                      [this, out](const vm_reply& reply) { check_reply(out, reply); });
    }

    vm_command_body any_body() {
        const base::attempt_id attempt("a" + std::to_string(*rc::gen::inRange(0, 12)));
        const auto incarnation =
            *rc::gen::inRange(0, 8) == 0 ? base::incarnation_id("old") : agent_.incarnation();
        switch (*rc::gen::inRange(0, 6)) {
            case 0:
                return hello_command{};
            case 1:
                return stop_command{incarnation, attempt};
            case 2:
                return watch_command{
                    incarnation,
                    {attempt},
                    any_lease(),
                    {base::attempt_id("a" + std::to_string(*rc::gen::inRange(0, 12)))},
                    report_number(0),
                    base::milliseconds{*rc::gen::inRange(0, 30)}};
            default:
                return any_start(incarnation, attempt);
        }
    }

    start_command any_start(const base::incarnation_id& incarnation,
                            const base::attempt_id& attempt) {
        start_command out;
        out.incarnation = incarnation;
        out.attempt = attempt;
        out.task = base::task_id("t" + attempt.str());
        out.reserve = {base::millicores(*rc::gen::inRange(0, 3'000)),
                       base::mebibytes(*rc::gen::inRange(0, 800)),
                       {},
                       base::slot_count(1)};
        out.lease_until = any_lease();
        out.payload = R"({"for_ms":)" + std::to_string(*rc::gen::inRange(-1, 80)) + "}";
        return out;
    }

    // Around the last reported reading of the VM's clock, as an owner would choose it; sometimes
    // already past.
    vm_time any_lease() {
        constexpr std::int64_t microseconds_per_millisecond = 1'000;
        const std::int64_t reading = last_report_ ? last_report_->now.value() : 0;
        const std::int64_t until =
            reading + *rc::gen::inRange(-20, 100) * microseconds_per_millisecond;
        return vm_time(std::max<std::int64_t>(until, 0));
    }

    void check_reply(const vm_command& sent, const vm_reply& reply) {
        const vm_report& report = reply.report;
        RC_ASSERT(!last_report_ || report.number > last_report_->number);
        RC_ASSERT(!last_report_ || report.epoch >= last_report_->epoch);
        RC_ASSERT((reply.verdict == vm_verdict::lower_epoch) == (sent.epoch < report.epoch));
        check_running(report);
        record_acknowledged(sent, reply.verdict);
        record_stopped(sent, reply);
        check_finished(report);
        last_report_ = report;
    }

    void check_running(const vm_report& report) {
        base::resources sum;
        for (const auto& it : report.running) {
            RC_ASSERT(it.lease_until > report.now);
            sum += it.reserved;
        }
        RC_ASSERT(base::fits(sum, capacity));
    }

    void record_acknowledged(const vm_command& sent, vm_verdict verdict) {
        const auto* const watch = std::get_if<watch_command>(&sent.body);
        if (watch != nullptr && verdict == vm_verdict::done) {
            for (const auto& it : watch->acknowledge) {
                unacknowledged_.erase(it);
            }
        }
    }

    // A stopped attempt never runs afterwards, also if it had not started yet.
    void record_stopped(const vm_command& sent, const vm_reply& reply) {
        const auto* const stop = std::get_if<stop_command>(&sent.body);
        if (stop != nullptr && reply.verdict == vm_verdict::done) {
            ended_.insert(reply.report.incarnation.str() + stop->attempt.str());
        }
    }

    // A reported completion stays in the reports with the same outcome until it is acknowledged,
    // and a finished attempt does not run again.
    void check_finished(const vm_report& report) {
        std::map<base::attempt_id, task_completion> completions;
        for (const auto& it : report.finished) {
            completions[it.attempt] = it.completion;
        }
        for (const auto& it : unacknowledged_) {
            RC_ASSERT(completions.count(it.first) == 1);
            RC_ASSERT(completions.at(it.first) == it.second);
        }
        for (const auto& it : report.running) {
            RC_ASSERT(ended_.count(report.incarnation.str() + it.attempt.str()) == 0);
        }
        for (const auto& it : completions) {
            ended_.insert(report.incarnation.str() + it.first.str());
        }
        unacknowledged_ = completions;
    }

    void check_violations() { RC_ASSERT(checker_.total() == 0); }

    base::manual_clock clock_;
    standins::run_checker checker_;
    standins::vm_agent agent_{{base::vm_id("vm"), capacity, {}}, checker_, clock_.now()};
    bool suspended_ = false;
    std::optional<vm_report> last_report_;
    std::map<base::attempt_id, task_completion> unacknowledged_;
    std::set<std::string> ended_;  // incarnation and attempt
};

TEST(simulated_vm, meets_its_contract) {
    EXPECT_TRUE(rc::check("keeps its contract", [] {
        vm_driver driver;
        const int steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            driver.step();
        }
    }));
}

}  // namespace
