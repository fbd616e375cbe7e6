// A daemon that gets a signal before it serves anybody stops gracefully, or goes on. Its settings
// file is a pipe here, so that the signal comes while it reads them.
#include "standins/cluster.hpp"
#include "standins/fleet_crew.hpp"

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

std::string text_of(const std::string& file) {
    std::ifstream in(file);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

// Starts the daemon, which waits for its settings, and runs `meanwhile` before it gets them.
void start_slowly(fleet_crew& crew, const std::function<void()>& meanwhile) {
    ASSERT_TRUE(wait_until([&] { return crew.ready(0); }));
    crew.terminate(0);
    ASSERT_EQ(crew.wait_until_ended(0), 0);
    const std::string file = crew.settings_file_of(0);
    const std::string settings = text_of(file);
    constexpr int mode = 0600;
    ASSERT_EQ(unlink(file.c_str()), 0);
    ASSERT_EQ(mkfifo(file.c_str(), mode), 0);
    crew.start(0);
    std::ofstream out(file);  // opens once the daemon reads
    ASSERT_EQ(unlink(file.c_str()), 0);
    std::ofstream(file) << settings;  // for when they are read anew
    meanwhile();
    out << settings;
}

TEST(signal_during_the_start, stops_the_daemon_gracefully) {
    fleet_crew crew(1, {});
    start_slowly(crew, [&] { crew.terminate(0); });
    EXPECT_EQ(crew.wait_until_ended(0), 0);
}

TEST(signal_during_the_start, does_not_end_a_daemon_whose_settings_have_changed) {
    fleet_crew crew(1, {});
    start_slowly(crew, [&] { crew.signal(0, SIGHUP); });
    EXPECT_FALSE(crew.ended(0).has_value());
    crew.terminate(0);
    EXPECT_EQ(crew.wait_until_ended(0), 0);
}

}  // namespace
