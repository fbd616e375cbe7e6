// Each kind of failure of cranberryctl has its exit code, and a message that states what was
// expected, what was found and what to do.
#include <gtest/gtest.h>
#include <standins/fake_entry.hpp>

#include <atomic>
#include <fstream>

namespace {

using namespace cranberrydock;
using standins::ctl_result;
using standins::fake_entry;
using standins::problem_response;
using standins::run_ctl;

constexpr int ok = 0;
constexpr int refused = 1;
constexpr int usage = 2;
constexpr int unreachable = 3;
constexpr int outcome_unknown = 4;

void expect_result(const ctl_result& got, int exit_code, const std::string& errors) {
    EXPECT_EQ(got.exit_code, exit_code);
    EXPECT_EQ(got.errors, errors);
}

// The address of an entry that does not listen: its port is bound and then released.
std::string closed_entry() {
    return fake_entry([](const auto&) { return std::nullopt; }).address();
}

TEST(ctl_usage, errors_are_reported_before_sending) {
    expect_result(run_ctl({"sumbit"}), usage,
                  "cranberryctl: expected a command, found 'sumbit'; did you mean 'submit'?\n");
    expect_result(
        run_ctl({"config", "pathc"}), usage,
        "cranberryctl: expected a command, found 'config pathc'; did you mean 'config patch'?\n");
    expect_result(
        run_ctl({"zzzzzzz"}), usage,
        "cranberryctl: expected a command, found 'zzzzzzz'; `cranberryctl --help` lists them\n");
    expect_result(run_ctl({"jobs", "--limt=3"}), usage,
                  "cranberryctl: expected a known option, found --limt; did you mean --limit?\n");
    expect_result(
        run_ctl({"jobs", "--tasks=3"}), usage,
        "cranberryctl: expected an option that 'jobs' takes, found --tasks; `cranberryctl jobs "
        "--help` lists them\n");
    expect_result(run_ctl({"job"}), usage,
                  "cranberryctl: expected `cranberryctl job ID`, found 0 argument(s)\n");
    expect_result(
        run_ctl({"jobs", "--entry=localhost"}), usage,
        "cranberryctl: expected --entry=ADDRESS:PORT[,ADDRESS:PORT...], found 'localhost'\n");
    expect_result(run_ctl({"submit"}), usage, "cranberryctl: expected --queue=NAME, found none\n");
    expect_result(run_ctl({"key", "create"}), usage,
                  "cranberryctl: expected either --team=NAME or --operations, found neither\n");
    const auto bad_number = run_ctl({"submit", "--tasks=many"});
    EXPECT_EQ(bad_number.exit_code, usage);
    EXPECT_NE(bad_number.errors.find("expected another kind of value for --tasks, found 'many'"),
              std::string::npos);
    EXPECT_EQ(run_ctl({}).exit_code, usage);
    EXPECT_EQ(run_ctl({"submit", "--help"}).exit_code, ok);
}

TEST(ctl_refusals, are_shown_with_reason_findings_and_retry) {
    const fake_entry entry([](const auto&) {
        return problem_response(
            422, "can_never_fit", true,
            R"(,"detail":"no VM is that large","findings":[{"place":"/resources/memory_mib",)"
            R"("expected":"at most 65536","found":"99999","advice":"ask for less"}])");
    });
    const std::vector<std::string> submit = {"submit", "--queue=q", "--idempotency_key=k",
                                             "--entry=" + entry.address()};
    expect_result(run_ctl(submit), refused,
                  "refused: can_never_fit (HTTP 422, surely not run)\n  no VM is that large\n"
                  "  /resources/memory_mib: expected at most 65536, found 99999; ask for less\n"
                  "  try again after 3 s\n");
    auto as_json = submit;
    as_json.emplace_back("--output=json");
    const auto got = run_ctl(as_json);
    EXPECT_EQ(got.exit_code, refused);
    EXPECT_NE(got.out.find(R"("reason": "can_never_fit")"), std::string::npos) << got.out;
    EXPECT_EQ(got.errors, "");
}

TEST(ctl_refusals, unknown_outcome_has_its_own_exit_code) {
    const fake_entry entry(
        [](const auto&) { return problem_response(502, "outcome_unknown", false); });
    expect_result(
        run_ctl({"submit", "--queue=q", "--idempotency_key=k", "--entry=" + entry.address()}),
        outcome_unknown,
        "refused: outcome_unknown (HTTP 502, may have run)\n  try again after 3 s\n");
}

TEST(ctl_answers, damaged_or_foreign_answers_are_rejected) {
    const fake_entry damaged([](const auto&) {
        return net::json_response(200, R"({"job":"j","request":"r","answers":[{"task":"t",)"
                                       R"("vm":"v","attempts":1,"content":"cut","digest":"00"}]})");
    });
    const auto got =
        run_ctl({"submit", "--queue=q", "--idempotency_key=k", "--entry=" + damaged.address()});
    EXPECT_EQ(got.exit_code, outcome_unknown);
    EXPECT_EQ(got.out,
              "job j, request r\ntask t on VM v, attempts 1, DAMAGED: digest does not match"
              "\ncut\n");
    const fake_entry foreign([](const auto&) { return net::http_response{200, {}, "<html>"}; });
    expect_result(
        run_ctl({"jobs", "--entry=" + foreign.address()}), outcome_unknown,
        "expected an answer of docs/API.md, found HTTP 200 that is none; check that --entry "
        "names a cranberrydock daemon\n");
}

TEST(ctl_entries, unreachable_entry_is_reported) {
    const std::string closed_address = closed_entry();
    expect_result(run_ctl({"cells", "--entry=" + closed_address}), unreachable,
                  "unreachable: expected an entry that answers, found none\n" + closed_address +
                      ": cannot connect\ncheck --entry and that a daemon listens there\n");
}

TEST(ctl_entries, unresponsive_entry_leaves_outcome_unknown) {
    const fake_entry unresponsive([](const auto&) { return std::nullopt; });
    const auto got = run_ctl({"submit", "--queue=q", "--idempotency_key=k", "--timeout_ms=50",
                              "--entry=" + unresponsive.address()});
    EXPECT_EQ(got.exit_code, outcome_unknown);
    EXPECT_NE(got.errors.find("send the same work again with --idempotency_key=k; it will not run "
                              "again if it has run\n"),
              std::string::npos)
        << got.errors;
}

TEST(ctl_submit, retries_next_entry_with_same_key) {
    const fake_entry unresponsive([](const auto&) { return std::nullopt; });
    const fake_entry stopping(
        [](const auto&) { return problem_response(503, "shutting_down", true); });
    const fake_entry good([](const auto&) {
        return net::json_response(200, R"({"job":"j","request":"r","answers":[]})");
    });
    const auto got = run_ctl({"submit", "--queue=q", "--timeout_ms=1000", "--payload=p",
                              "--entry=" + closed_entry() + "," + unresponsive.address() + "," +
                                  stopping.address() + "," + good.address()});
    EXPECT_EQ(got.exit_code, ok) << got.errors;
    ASSERT_EQ(unresponsive.requests().size(), 1U);
    ASSERT_EQ(stopping.requests().size(), 1U);
    ASSERT_EQ(good.requests().size(), 1U);
    const std::string key = good.requests()[0].header("Idempotency-Key");
    EXPECT_FALSE(key.empty());
    EXPECT_EQ(unresponsive.requests()[0].header("Idempotency-Key"), key);
    EXPECT_EQ(stopping.requests()[0].header("Idempotency-Key"), key);
    EXPECT_EQ(got.errors, "idempotency key " + key + "\n");
}

// Serves the configuration at version 4 and answers patches with `patched`.
fake_entry::script configuration(fake_entry::script patched) {
    return [patched = std::move(patched)](
               const net::http_request& request) -> std::optional<net::http_response> {
        if (request.method == net::http_method::get) {
            return net::json_response(200,
                                      R"({"version":4,"document":{"keys":{"k1":{"team":"t"}}}})");
        }
        return patched(request);
    };
}

TEST(ctl_configuration, conflict_shows_newest_version) {
    const fake_entry entry(configuration([](const auto&) {
        return problem_response(409, "configuration_conflict", true, R"(,"current":7)");
    }));
    const std::string file = ::testing::TempDir() + "ctl_says_what_went_wrong.json";
    std::ofstream(file) << "{}";
    expect_result(
        run_ctl({"config", "patch", file, "--base=6", "--entry=" + entry.address()}), refused,
        "refused: configuration_conflict (HTTP 409, surely not run)\n"
        "  the newest version is 7; look at it with `cranberryctl config get` and send the patch "
        "again\n  try again after 3 s\n");
    ASSERT_EQ(entry.requests().size(), 1U);
    EXPECT_EQ(entry.requests()[0].query, "base=6");
    std::remove(file.c_str());
    expect_result(run_ctl({"config", "patch", file, "--entry=" + entry.address()}), usage,
                  "cranberryctl: expected a readable file, found none at '" + file + "'\n");
}

TEST(ctl_configuration, retries_single_entry_change_after_conflict) {
    std::atomic<int> patches{0};
    const fake_entry entry(configuration([&](const auto&) {
        return ++patches == 1 ? problem_response(409, "configuration_conflict", true)
                              : net::json_response(200, R"({"version":5})");
    }));
    const auto got = run_ctl({"key", "withdraw", "k1", "--entry=" + entry.address()});
    EXPECT_EQ(got.exit_code, ok) << got.errors;
    EXPECT_EQ(got.out, "withdrawn with version 5\n");
    EXPECT_EQ(entry.requests().back().body, R"({"keys":{"k1":{"withdrawn":true}}})");
    expect_result(
        run_ctl({"key", "withdraw", "k2", "--entry=" + entry.address()}), refused,
        "refused: expected the id of a key of version 4, found 'k2'; `cranberryctl config get` "
        "shows them\n");
}

TEST(ctl_configuration, does_not_repeat_patch_after_lost_answer) {
    const fake_entry first(configuration([](const auto&) { return std::nullopt; }));
    const fake_entry second(
        configuration([](const auto&) { return net::json_response(200, R"({"version":5})"); }));
    const auto got = run_ctl({"team", "set", "t", "--share=2", "--timeout_ms=500",
                              "--entry=" + first.address() + "," + second.address()});
    EXPECT_EQ(got.exit_code, outcome_unknown);
    EXPECT_EQ(second.requests().size(), 0U);
    EXPECT_NE(got.errors.find("look whether the patch is there: cranberryctl config history"),
              std::string::npos);
}

TEST(ctl_check_settings, lists_every_finding) {
    const std::string file = ::testing::TempDir() + "ctl_says_what_went_wrong.toml";
    std::ofstream(file) << "[log]\nlevel = 3\n";
    const auto got = run_ctl({"check-settings", file});
    EXPECT_EQ(got.exit_code, refused);
    EXPECT_NE(got.out.find(file + ":2 log.level: expected a string, found 3"), std::string::npos);
    EXPECT_NE(got.out.find(file + ":1 identity.vm: expected"), std::string::npos);
    std::remove(file.c_str());
}

}  // namespace
