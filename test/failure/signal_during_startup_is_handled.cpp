// A daemon that receives a signal before it serves requests stops gracefully or keeps running, as
// the signal demands. The settings file is a pipe here, so that the signal arrives while the daemon
// reads its settings.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

std::string read_file(const std::string& file) {
    std::ifstream in(file);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

// Starts the daemon, which blocks on reading its settings. Runs `action`, and then writes the
// settings.
void start_with_blocked_settings(fleet_cluster& daemons, const std::function<void()>& action) {
    ASSERT_TRUE(daemons.wait_until_ready(0));
    daemons.terminate(0);
    ASSERT_EQ(daemons.wait_until_ended(0), 0);
    const std::string file = daemons.settings_file(0);
    const std::string settings = read_file(file);
    constexpr int mode = 0600;
    ASSERT_EQ(unlink(file.c_str()), 0);
    ASSERT_EQ(mkfifo(file.c_str(), mode), 0);
    daemons.start(0);
    std::ofstream out(file);  // blocks until the daemon opens the pipe
    ASSERT_EQ(unlink(file.c_str()), 0);
    std::ofstream(file) << settings;  // for the next time that the daemon reads them
    action();
    out << settings;
}

TEST(signal_during_startup, sigterm_stops_daemon_gracefully) {
    fleet_cluster daemons(1, {});
    start_with_blocked_settings(daemons, [&] { daemons.terminate(0); });
    EXPECT_EQ(daemons.wait_until_ended(0), 0);
}

TEST(signal_during_startup, sighup_does_not_end_daemon) {
    fleet_cluster daemons(1, {});
    start_with_blocked_settings(daemons, [&] { daemons.signal(0, SIGHUP); });
    EXPECT_FALSE(daemons.exit_status_if_ended(0).has_value());
    daemons.terminate(0);
    EXPECT_EQ(daemons.wait_until_ended(0), 0);
}

}  // namespace
