// The part of a request that took most beyond the usual is blamed, and the network only for time
// that its own round trips explain; the parts' times sum to the total, whatever the steps say.
#include <cranberrydock/mesh/link_blame.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace {

using namespace cranberrydock;
using base::microseconds;
using mesh::blamed;
using mesh::explain_blame;
using mesh::request_times;

microseconds any_time() {
    return microseconds(*rc::gen::oneOf(rc::gen::inRange<std::int64_t>(0, 1'000),
                                        rc::gen::inRange<std::int64_t>(0, 5'000'000)));
}

microseconds sum_of(const mesh::verdict& of) {
    microseconds out{0};
    for (const auto& it : of.parts) {
        out += it.took;
    }
    return out;
}

// How long each part really took, and what it usually takes.
struct truth {
    microseconds entry, usual_entry;
    microseconds decision, usual_decision;
    microseconds vm, usual_vm;
    microseconds link, usual_link;
    microseconds unexplained;
};

// The request as its entry and its owner would have written it down.
request_times written_down(const truth& of) {
    request_times out;
    out.total = of.entry + of.decision + of.vm + of.link + of.unexplained;
    out.typical = {of.usual_entry, of.usual_decision, of.usual_vm};
    mesh::round_trip_summary trips{100, of.link, of.link, of.usual_link, of.usual_link};
    out.links = {{base::daemon_id("far"), trips, 1, {}, {}, false}};
    const microseconds none{0};
    out.steps = {{"parse", "entry", none, of.entry, ""},
                 {"route", "far", of.entry, none, "home cell"},
                 {"queue", "cell", none, none, "no VM free"},
                 {"place", "vm-7", of.decision, none, "best fit"},
                 {"answer", "vm-7", of.decision + of.vm, of.vm, "completed"}};
    return out;
}

truth any_truth() {
    return {any_time(), any_time(), any_time(), any_time(), any_time(),
            any_time(), any_time(), any_time(), any_time()};
}

TEST(blame, goes_to_the_largest_excess) {
    EXPECT_TRUE(rc::check([] {
        const truth is = any_truth();
        const mesh::verdict got = explain_blame(written_down(is));
        const microseconds entry = is.entry - is.usual_entry;
        const microseconds decision = is.decision - is.usual_decision;
        const microseconds vm = is.vm - is.usual_vm;
        // Time that nothing explains is the link's as far as its round trips go: none here beyond.
        const microseconds link = is.link - is.usual_link;
        const microseconds worst = std::max({entry, decision, vm, link, is.unexplained});
        if (worst.count() <= 0) {
            RC_ASSERT(got.what == blamed::nothing);
            return;
        }
        RC_ASSERT(got.excess == worst);
        const bool right = (got.what == blamed::entry && entry == worst) ||
                           (got.what == blamed::decision && decision == worst) ||
                           (got.what == blamed::vm && vm == worst) ||
                           (got.what == blamed::link && link == worst) ||
                           (got.what == blamed::unaccounted && is.unexplained == worst);
        RC_ASSERT(right);
        RC_ASSERT(got.share >= 0.0);
        RC_ASSERT(got.share <= 1.0);
    }));
}

TEST(blame, never_goes_to_a_link_whose_round_trips_are_as_usual) {
    EXPECT_TRUE(rc::check([] {
        truth is = any_truth();
        is.link = is.usual_link;
        RC_ASSERT(explain_blame(written_down(is)).what != blamed::link);
    }));
}

TEST(blame, accounts_for_the_total_whatever_the_steps_say) {
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
            const auto took = microseconds(*rc::gen::inRange<std::int64_t>(-1'000, 9'000'000));
            const std::string where = *rc::gen::element<std::string>("entry", "vm-1", "far");
            request.steps.push_back({*rc::gen::elementOf(stages), where, at, took, ""});
        }
        const int links = *rc::gen::inRange(0, 3);
        for (int i = 0; i < links; ++i) {
            mesh::round_trip_summary trips{1, any_time(), any_time(), any_time(), any_time()};
            request.links.push_back({base::daemon_id("far"), trips, *rc::gen::inRange(0, 4),
                                     any_time(), any_time(), *rc::gen::arbitrary<bool>()});
        }
        const mesh::verdict got = explain_blame(request);
        RC_ASSERT(sum_of(got) == request.total);
        for (const auto& it : got.parts) {
            RC_ASSERT(it.took.count() >= 0);
            RC_ASSERT(it.excess() <= got.excess || it.excess().count() <= 0);
        }
    }));
}

TEST(blame, names_a_slow_link_with_its_figure_and_neither_vm_nor_decision) {
    const microseconds usual{60'000};
    const microseconds slow{480'000};
    const truth is{microseconds{100},
                   microseconds{100},
                   microseconds{2'000},
                   microseconds{2'000},
                   microseconds{50'000},
                   microseconds{50'000},
                   slow,
                   usual,
                   microseconds{0}};
    const mesh::verdict got = explain_blame(written_down(is));
    EXPECT_EQ(got.what, blamed::link);
    EXPECT_EQ(got.where, "far");
    EXPECT_EQ(got.excess, slow - usual);
    EXPECT_NE(got.text.find("the link to far"), std::string::npos) << got.text;
    EXPECT_NE(got.text.find("480.0 ms of late"), std::string::npos) << got.text;
    EXPECT_NE(got.text.find("usually 60.0 ms"), std::string::npos) << got.text;
    EXPECT_EQ(got.text.find("vm-7"), std::string::npos) << got.text;
    EXPECT_EQ(got.text.find("decision"), std::string::npos) << got.text;
}

TEST(blame, says_why_a_decision_took_long) {
    truth is{};
    is.decision = base::seconds{3};
    const mesh::verdict got = explain_blame(written_down(is));
    EXPECT_EQ(got.what, blamed::decision);
    EXPECT_NE(got.text.find("no VM free"), std::string::npos) << got.text;
}

TEST(blame, finds_who_had_a_lost_request_last) {
    request_times lost = written_down({});
    lost.total = base::seconds{5};
    lost.answered = false;
    lost.steps.pop_back();
    EXPECT_EQ(explain_blame(lost).what, blamed::vm);
    EXPECT_EQ(explain_blame(lost).where, "vm-7");
    lost.steps.pop_back();
    EXPECT_EQ(explain_blame(lost).what, blamed::decision);
    lost.links[0].went_down = true;
    EXPECT_EQ(explain_blame(lost).what, blamed::link);
    lost.links[0].went_down = false;
    lost.steps.push_back({"route", "far", {}, base::seconds{4}, "link lost"});
    EXPECT_EQ(explain_blame(lost).what, blamed::link);
}

}  // namespace
