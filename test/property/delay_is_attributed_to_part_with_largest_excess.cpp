// The delay of a request is attributed to the part with the largest excess over its usual time, and
// to the network only as far as its own round trips explain it. The times of the parts add up to
// the total whatever the recorded steps contain.
#include <cranberrydock/mesh/latency_attribution.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace {

using namespace cranberrydock;
using base::microseconds;
using mesh::attribute_latency;
using mesh::latency_cause;
using mesh::request_times;

microseconds any_time() {
    return microseconds(*rc::gen::oneOf(rc::gen::inRange<std::int64_t>(0, 1'000),
                                        rc::gen::inRange<std::int64_t>(0, 5'000'000)));
}

microseconds sum_of(const mesh::latency_verdict& attribution) {
    microseconds out{0};
    for (const auto& it : attribution.parts) {
        out += it.duration;
    }
    return out;
}

// The actual and the usual time of each part of a request.
struct part_times {
    microseconds entry, usual_entry;
    microseconds decision, usual_decision;
    microseconds vm, usual_vm;
    microseconds link, usual_link;
    microseconds unexplained;
};

// The request as its entry and its owner would record it.
request_times as_recorded(const part_times& times) {
    request_times out;
    out.total = times.entry + times.decision + times.vm + times.link + times.unexplained;
    out.typical = {times.usual_entry, times.usual_decision, times.usual_vm};
    mesh::round_trip_summary trips{100, times.link, times.link, times.usual_link, times.usual_link};
    out.links = {{base::daemon_id("far"), trips, 1, {}, {}, false}};
    const microseconds zero{0};
    out.steps = {{"parse", "entry", zero, times.entry, ""},
                 {"route", "far", times.entry, zero, "home cell"},
                 {"queue", "cell", zero, zero, "no VM free"},
                 {"place", "vm-7", times.decision, zero, "best fit"},
                 {"answer", "vm-7", times.decision + times.vm, times.vm, "completed"}};
    return out;
}

part_times any_part_times() {
    return {any_time(), any_time(), any_time(), any_time(), any_time(),
            any_time(), any_time(), any_time(), any_time()};
}

TEST(latency_attribution, selects_part_with_largest_excess) {
    EXPECT_TRUE(rc::check([] {
        const part_times actual = any_part_times();
        const mesh::latency_verdict result = attribute_latency(as_recorded(actual));
        const microseconds entry = actual.entry - actual.usual_entry;
        const microseconds decision = actual.decision - actual.usual_decision;
        const microseconds vm = actual.vm - actual.usual_vm;
        // Unexplained time is attributed to the link only up to its round-trip time; here none is.
        const microseconds link = actual.link - actual.usual_link;
        const microseconds largest = std::max({entry, decision, vm, link, actual.unexplained});
        if (largest.count() <= 0) {
            RC_ASSERT(result.cause == latency_cause::nothing);
            return;
        }
        RC_ASSERT(result.excess == largest);
        const bool right =
            (result.cause == latency_cause::entry && entry == largest) ||
            (result.cause == latency_cause::decision && decision == largest) ||
            (result.cause == latency_cause::vm && vm == largest) ||
            (result.cause == latency_cause::link && link == largest) ||
            (result.cause == latency_cause::unaccounted && actual.unexplained == largest);
        RC_ASSERT(right);
        RC_ASSERT(result.share >= 0.0);
        RC_ASSERT(result.share <= 1.0);
    }));
}

TEST(latency_attribution, excludes_link_with_usual_round_trips) {
    EXPECT_TRUE(rc::check([] {
        part_times actual = any_part_times();
        actual.link = actual.usual_link;
        RC_ASSERT(attribute_latency(as_recorded(actual)).cause != latency_cause::link);
    }));
}

TEST(latency_attribution, part_times_add_up_to_total) {
    const std::vector<std::string> stages = {"parse",  "route", "admit", "queue",
                                             "place",  "start", "retry", "attempt",
                                             "answer", "adopt", "x"};
    EXPECT_TRUE(rc::check([&stages] {
        request_times request;
        request.total = any_time();
        request.answered = *rc::gen::arbitrary<bool>();
        const int n = *rc::gen::inRange(0, 12);
        for (int i = 0; i < n; ++i) {
            const auto at = microseconds(*rc::gen::inRange<std::int64_t>(-1'000, 9'000'000));
            const auto elapsed = microseconds(*rc::gen::inRange<std::int64_t>(-1'000, 9'000'000));
            const std::string where = *rc::gen::element<std::string>("entry", "vm-1", "far");
            request.steps.push_back({*rc::gen::elementOf(stages), where, at, elapsed, ""});
        }
        const int links = *rc::gen::inRange(0, 3);
        for (int i = 0; i < links; ++i) {
            mesh::round_trip_summary trips{1, any_time(), any_time(), any_time(), any_time()};
            request.links.push_back({base::daemon_id("far"), trips, *rc::gen::inRange(0, 4),
                                     any_time(), any_time(), *rc::gen::arbitrary<bool>()});
        }
        const mesh::latency_verdict result = attribute_latency(request);
        RC_ASSERT(sum_of(result) == request.total);
        for (const auto& it : result.parts) {
            RC_ASSERT(it.duration.count() >= 0);
            RC_ASSERT(it.excess() <= result.excess || it.excess().count() <= 0);
        }
    }));
}

TEST(latency_attribution, slow_link_is_named_with_round_trip_times) {
    const microseconds usual{60'000};
    const microseconds slow{480'000};
    const part_times actual{microseconds{100},
                            microseconds{100},
                            microseconds{2'000},
                            microseconds{2'000},
                            microseconds{50'000},
                            microseconds{50'000},
                            slow,
                            usual,
                            microseconds{0}};
    const mesh::latency_verdict result = attribute_latency(as_recorded(actual));
    EXPECT_EQ(result.cause, latency_cause::link);
    EXPECT_EQ(result.location, "far");
    EXPECT_EQ(result.excess, slow - usual);
    EXPECT_NE(result.text.find("the link to far"), std::string::npos) << result.text;
    EXPECT_NE(result.text.find("480.0 ms of late"), std::string::npos) << result.text;
    EXPECT_NE(result.text.find("usually 60.0 ms"), std::string::npos) << result.text;
    EXPECT_EQ(result.text.find("vm-7"), std::string::npos) << result.text;
    EXPECT_EQ(result.text.find("decision"), std::string::npos) << result.text;
}

TEST(latency_attribution, slow_decision_is_reported_with_its_reason) {
    part_times actual{};
    actual.decision = base::seconds{3};
    const mesh::latency_verdict result = attribute_latency(as_recorded(actual));
    EXPECT_EQ(result.cause, latency_cause::decision);
    EXPECT_NE(result.text.find("no VM free"), std::string::npos) << result.text;
}

TEST(latency_attribution, lost_request_is_attributed_to_last_known_holder) {
    request_times lost = as_recorded({});
    lost.total = base::seconds{5};
    lost.answered = false;
    lost.steps.pop_back();
    EXPECT_EQ(attribute_latency(lost).cause, latency_cause::vm);
    EXPECT_EQ(attribute_latency(lost).location, "vm-7");
    lost.steps.pop_back();
    EXPECT_EQ(attribute_latency(lost).cause, latency_cause::decision);
    lost.links[0].went_down = true;
    EXPECT_EQ(attribute_latency(lost).cause, latency_cause::link);
    lost.links[0].went_down = false;
    lost.steps.push_back({"route", "far", {}, base::seconds{4}, "link lost"});
    EXPECT_EQ(attribute_latency(lost).cause, latency_cause::link);
}

}  // namespace
