// Every example settings file and configuration in etc/ is valid.
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/config/settings.hpp>

#include <gtest/gtest.h>
#include <standins/process.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

using namespace cranberrydock;

std::filesystem::path examples() {
    return std::filesystem::path(standins::program_folder()) / ".." / ".." / "etc";
}

TEST(examples, are_valid) {
    int settings = 0;
    int configurations = 0;
    for (const auto& it : std::filesystem::directory_iterator(examples())) {
        const std::string path = it.path().string();
        if (it.path().extension() == ".toml") {
            const auto read = config::read_settings_file(path);
            EXPECT_TRUE(read.has_value()) << read.error().text();
            ++settings;
        } else if (it.path().extension() == ".json") {
            std::ifstream in(path);
            const std::string text{std::istreambuf_iterator<char>(in), {}};
            const auto read = config::parse_configuration(text, base::config_version(1));
            ASSERT_TRUE(read.has_value()) << path << "\n" << read.error().text();
            EXPECT_EQ((*read)->cells.size(), 3U) << path;
            ++configurations;
        } else {
            EXPECT_EQ(it.path().filename(), "README.md");
        }
    }
    EXPECT_EQ(settings, 2);
    EXPECT_EQ(configurations, 2);
}

}  // namespace
