// docs/OPERATIONS.md must have a table row for every refusal reason, so that operators find each
// reason explained.
#include <cranberrydock/base/refusal.hpp>

#include <gtest/gtest.h>
#include <standins/process.hpp>

#include <fstream>
#include <iterator>
#include <string>

using namespace cranberrydock;

TEST(operations_page, lists_every_refusal_reason) {
    std::ifstream in(standins::program_folder() + "/../../docs/OPERATIONS.md");
    const std::string page{std::istreambuf_iterator<char>(in), {}};
    ASSERT_FALSE(page.empty());
    for (const auto it : base::all_refusal_reasons()) {
        const std::string row = "\n| `" + std::string(to_string(it)) + "` |";
        EXPECT_NE(page.find(row), std::string::npos) << to_string(it);
    }
}
