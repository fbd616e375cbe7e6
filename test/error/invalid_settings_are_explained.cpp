// Every error in a settings file is reported with its file, line and key, and all errors are
// reported at once.
#include <cranberrydock/config/settings.hpp>

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock;

std::string findings_of(const std::string& text) {
    const auto read = config::read_settings(text, "e.toml");
    return read ? "accepted" : read.error().text();
}

// Lines 1 to 4. The text of each case begins at line 5.
const std::string valid_settings = R"(identity = { vm = "e", region = "r", zone = "z" }
listen = { http = "127.0.0.1:80", mesh = "127.0.0.1:81" }
platform = { address = "127.0.0.1:82" }
mesh = { secret = "0123456789abcdef" }
)";

struct bad_settings {
    const char* text;
    const char* message;
};

const bad_settings additions[] = {
    {"", "accepted"},
    {"[ownershp]\n",
     "e.toml:5 ownershp: expected one of the tables [identity], [listen], [platform], [mesh], "
     "[ownership], [limits], [vm], [configuration], [log], found an unknown table; did you mean "
     "\"ownership\"?\n"},
    {"lease_ms = 3\n",
     "e.toml:5 lease_ms: expected one of the tables [identity], [listen], [platform], [mesh], "
     "[ownership], [limits], [vm], [configuration], [log], found a key outside of them\n"},
    {"vm = 3\n", "e.toml:5 vm: expected the table [vm], found a value\n"},
    {"[ownership]\n\nlease = 4000\n",
     "e.toml:7 ownership.lease: expected one of the keys renew_ms, lease_ms, scan_ms, "
     "safety_margin_ms, rank_delay_ms, found an unknown key\n"},
    {"[vm]\nlease_mss = 4000\n",
     "e.toml:6 vm.lease_mss: expected one of the keys lease_ms, watch_ms, command_timeout_ms, "
     "unproven_renewal_ms, unknown_wait_ms, drift_percent, found an unknown key; did you mean "
     "\"lease_ms\"?\n"},
    {"[limits]\nmax_body_bytes = \"8M\"\nmax_headers_bytes = 2.5\nmax_open_requests = -1\n"
     "slow_sender_timeout_s = 9223372036854775807\n",
     "e.toml:6 limits.max_body_bytes: expected a whole number from 1024 to 1073741824 bytes, found "
     "'8M'\n"
     "e.toml:7 limits.max_headers_bytes: expected a whole number from 1024 to 1073741824 bytes, "
     "found 2.5\n"
     "e.toml:9 limits.slow_sender_timeout_s: expected a whole number from 1 to 3600 seconds, found "
     "9223372036854775807\n"
     "e.toml:8 limits.max_open_requests: expected a whole number from 1 to 1000000 requests, found "
     "-1\n"},
    {"[ownership]\nlease_ms = 1500\nrenew_ms = 1000\nscan_ms = 1500\nrank_delay_ms = 2000\n",
     "e.toml:6 ownership.lease_ms: expected more than renew_ms + safety_margin_ms (1500 ms), found "
     "1500 ms; an owner must be able to renew before it stops placing\n"
     "e.toml:8 ownership.scan_ms: expected less than ownership.lease_ms (1500 ms), found 1500 ms; "
     "lower it, or raise ownership.lease_ms\n"
     "e.toml:9 ownership.rank_delay_ms: expected less than ownership.lease_ms (1500 ms), found "
     "2000 ms; lower it, or raise ownership.lease_ms\n"
     "e.toml:4 mesh.silence_deadline_ms: expected at most ownership.lease_ms (1500 ms), found 2000 "
     "ms; a silent owner must be noticed by the end of its lease\n"},
    {"[vm]\nwatch_ms = 9000\n",
     "e.toml:5 vm.lease_ms: expected more than watch_ms + command_timeout_ms (11000 ms), found "
     "10000 ms; a lost watch must be repeated before task leases lapse\n"},
    {"[configuration]\npoll_ms = 5000\nfreshness_ms = 500\n",
     "e.toml:6 configuration.poll_ms: expected less than configuration.freshness_ms (500 ms), "
     "found "
     "5000 ms; lower it, or raise configuration.freshness_ms\n"
     "e.toml:4 mesh.heartbeat_ms: expected less than configuration.freshness_ms (500 ms), found "
     "500 "
     "ms; lower it, or raise configuration.freshness_ms\n"},
    {"[log]\nlevel = \"inof\"\n",
     "e.toml:6 log.level: expected one of trace, debug, info, warn, error, off, found 'inof'; did "
     "you mean \"info\"?\n"},
};

TEST(invalid_settings, are_explained) {
    for (const auto& it : additions) {
        EXPECT_EQ(findings_of(valid_settings + it.text), it.message) << it.text;
    }
}

TEST(invalid_settings, missing_required_keys_are_all_listed) {
    EXPECT_EQ(
        findings_of("[listen]\nhttp = \"localhost:80\"\n[mesh]\nsecret = \"short\"\n"),
        "e.toml:1 identity.vm: expected the name of this VM in the member list, found nothing; add "
        "the key to the table [identity]\n"
        "e.toml:1 identity.region: expected this VM's region, found nothing; add the key to the "
        "table [identity]\n"
        "e.toml:1 identity.zone: expected this VM's availability zone, found nothing; add the key "
        "to the table [identity]\n"
        "e.toml:2 listen.http: expected \"ADDRESS:PORT\" with an IP number, found 'localhost:80'; "
        "names are not resolved; write for example \"127.0.0.1:8080\"\n"
        "e.toml:1 listen.mesh: expected \"ADDRESS:PORT\" for other daemons, found nothing; add the "
        "key to the table [listen]\n"
        "e.toml:1 platform.address: expected \"ADDRESS:PORT\" of the platform, found nothing; add "
        "the key to the table [platform]\n"
        "e.toml:4 mesh.secret: expected at least 16 characters, found 5; take a random one; it "
        "must "
        "be the same for every daemon\n");
}

TEST(invalid_settings, toml_errors_have_line_number) {
    const std::string text = findings_of("\n[identity]\nvm = \n");
    EXPECT_EQ(text.rfind("e.toml:3: expected TOML 1.0, found ", 0), 0U) << text;
    EXPECT_EQ(config::read_settings_file("/nowhere/e.toml").error().text(),
              "/nowhere/e.toml: expected a readable settings file, found none; check path and "
              "permissions\n");
}

TEST(invalid_settings, errors_never_show_secret) {
    EXPECT_EQ(
        findings_of(valid_settings + "[log]\nsecret = \"hidden-0123456789\"\n").find("hidden"),
        std::string::npos);
    EXPECT_EQ(findings_of("[mesh]\nsecret = [\"hidden-0123456789\"]\n").find("hidden"),
              std::string::npos);
    EXPECT_EQ(findings_of("mesh = \"hidden-0123456789\"\n").find("hidden"), std::string::npos);
}

}  // namespace
