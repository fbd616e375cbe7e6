// The settings file of the platform: the availability zones in the region of a VM, and bounds of
// VMs.
#include <cranberrydock/shared_platform/site_settings.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;

std::string settings_with(const std::string& zones, const std::string& bounds = "") {
    return R"({"nodeName": "edge-n-a-1", "zone": "n-a", "region": "n", )" + zones + R"(
        "ip": "10.1.0.17", "portRange": [7420, 7435], "limits": {"cpuShare": 0.25},
        "listenAddrs": {"frontend": "10.1.0.17:8183", "readiness": "10.1.0.17:8184"},
        "platform": {"address": "10.200.1.7:8182", "writesPerS": 600},
        "bounds": {"holdMaxMs": 6000, )" +
           bounds + R"("graceS": 6, "status_s": 120}})";
}

TEST(site_settings, list_zones_of_own_region) {
    const auto read = shared_platform::read_site_settings(
        settings_with(R"("zones": {"n-a": "n", "s-a": "s", "n-b": "n"},)"));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read->region_zones, (std::vector<std::string>{"n-a", "n-b"}));
}

TEST(site_settings, zones_are_optional) {
    const auto read = shared_platform::read_site_settings(settings_with(""));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_TRUE(read->region_zones.empty());
}

TEST(site_settings, longest_stop_time_is_read) {
    const auto read = shared_platform::read_site_settings(settings_with("", R"("stopMs": 400,)"));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_EQ(read->max_stop_time, base::milliseconds(400));
}

// A missing bound must not count as VMs that end runs at once.
TEST(site_settings, longest_stop_time_has_default) {
    const auto read = shared_platform::read_site_settings(settings_with(""));
    ASSERT_TRUE(read.has_value()) << read.error().text();
    EXPECT_GE(read->max_stop_time, base::milliseconds(900));
}

TEST(site_settings, invalid_zone_error_names_field) {
    const auto read = shared_platform::read_site_settings(settings_with(R"("zones": {"n-a": 7},)"));
    ASSERT_FALSE(read.has_value());
    EXPECT_NE(read.error().text().find("/zones"), std::string::npos);
}

}  // namespace
