// A settings file can contain every key, and a key that is left out has its default.
#include <cranberrydock/config/settings.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace {

using namespace cranberrydock;

const std::string required_keys = R"(
[identity]
vm = "entry-1"
region = "northcoast"
zone = "northcoast-a"
[listen]
http = "127.0.0.1:8080"
mesh = "127.0.0.1:0"
[platform]
address = "127.0.0.9:9000"
[mesh]
secret = "0123456789abcdef"
)";

TEST(settings, optional_keys_have_defaults) {
    const auto read = config::read_settings(required_keys, "entry.toml");
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read->identity.zone, base::zone_name("northcoast-a"));
    EXPECT_EQ(read->listen.http.port, 8080);
    EXPECT_EQ(read->platform.kind, config::platform_kind::http);
    EXPECT_EQ(read->ownership.lease, base::milliseconds(3'000));
    EXPECT_EQ(read->log.level, "info");
}

TEST(settings, accept_every_key) {
    const auto all = config::read_settings(required_keys + R"(
heartbeat_ms = 100
silence_deadline_ms = 200
near_peers = 23
far_period_ms = 24
usage_period_ms = 25
[ownership]
renew_ms = 11
lease_ms = 300
scan_ms = 12
safety_margin_ms = 13
rank_delay_ms = 14
[limits]
max_body_bytes = 2048
max_headers_bytes = 1024
slow_sender_timeout_s = 15
max_open_requests = 16
[vm]
lease_ms = 5000
watch_ms = 17
command_timeout_ms = 18
drift_percent = 19
unproven_renewal_ms = 21
unknown_wait_ms = 22
[configuration]
freshness_ms = 2000
poll_ms = 20
[log]
level = "debug"
)",
                                           "f");
    ASSERT_TRUE(all.has_value()) << all.error().text();
    EXPECT_EQ(all->mesh.silence_deadline.count(), 200);
    EXPECT_EQ(all->ownership.renew.count(), 11);
    EXPECT_EQ(all->ownership.scan.count(), 12);
    EXPECT_EQ(all->ownership.safety_margin.count(), 13);
    EXPECT_EQ(all->ownership.rank_delay.count(), 14);
    EXPECT_EQ(all->limits.max_body.value(), 2048);
    EXPECT_EQ(all->limits.max_headers.value(), 1024);
    EXPECT_EQ(all->limits.slow_sender_timeout.count(), 15);
    EXPECT_EQ(all->limits.max_open_requests, 16U);
    EXPECT_EQ(all->vm.watch.count(), 17);
    EXPECT_EQ(all->vm.command_timeout.count(), 18);
    EXPECT_EQ(all->vm.drift_percent, 19);
    EXPECT_EQ(all->vm.unproven_renewal.count(), 21);
    EXPECT_EQ(all->vm.unknown_wait.count(), 22);
    EXPECT_EQ(all->mesh.near_peers, 23U);
    EXPECT_EQ(all->mesh.far_period.count(), 24);
    EXPECT_EQ(all->mesh.usage_period.count(), 25);
    EXPECT_EQ(all->configuration.freshness.count(), 2000);
    EXPECT_EQ(all->configuration.poll.count(), 20);
    EXPECT_EQ(all->log.level, "debug");
}

TEST(settings, memory_platform_needs_no_address_or_secret) {
    const auto read = config::read_settings(R"(
platform = { kind = "memory" }
identity = { vm = "e", region = "r", zone = "z" }
listen = { http = "127.0.0.1:0", mesh = "127.0.0.1:0" }
)",
                                            "f");
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read->platform.kind, config::platform_kind::memory);
}

TEST(mesh_secret, is_read_from_file) {
    const std::string path = ::testing::TempDir() + "mesh_secret_comes_from_its_file";
    std::ofstream(path) << "fedcba9876543210\n";
    config::mesh_link_settings mesh;
    mesh.secret_file = path;
    EXPECT_EQ(config::load_mesh_secret(mesh).value(), "fedcba9876543210");
    std::ofstream(path) << "short\n";
    EXPECT_EQ(config::load_mesh_secret(mesh).error().text(),
              path + ": expected at least 16 characters, found 5; take a random one\n");
    std::remove(path.c_str());
    EXPECT_EQ(config::load_mesh_secret(mesh).error().text(),
              path +
                  ": expected a readable file with the shared secret, found none; check "
                  "mesh.secret_file and the file's permissions\n");
}

}  // namespace
