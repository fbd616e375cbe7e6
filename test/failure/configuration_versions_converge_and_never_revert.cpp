// Operators patch the configuration concurrently through different entries while the store loses
// answers and a daemon is killed and restarted. Each accepted patch is exactly one version, no
// daemon is seen to go back to an older version, and all daemons reach the newest version within
// seconds.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int operators = 3;
constexpr int patches_per_operator = 12;
constexpr std::size_t killed_daemon = 2;
constexpr base::milliseconds request_timeout{5'000};
constexpr base::milliseconds convergence_timeout{15'000};

struct response {
    int status = 0;
    json body;
};

response send_request(const net::endpoint& address, net::http_method method,
                      const std::string& path, const std::string& query = "",
                      const std::string& body = "") {
    const auto result = call(address, {method, path, query, {}, body}, request_timeout);
    return result ? response{result->status, json::parse(result->body, nullptr, false)}
                  : response{};
}

std::int64_t version_at(const net::endpoint& entry) {
    const response current_config = send_request(entry, net::http_method::get, "/v1/config");
    return current_config.status == ok ? current_config.body.at("version").get<std::int64_t>() : -1;
}

// An operator that patches a field of its own through one entry. After a conflict or a lost answer
// it reads the current version and tries again. Records the version of each accepted patch.
class patching_operator {
public:
    patching_operator(net::endpoint entry, std::string team)
        : entry_(std::move(entry)), team_(std::move(team)) {}

    void run() {
        for (int i = 1; i <= patches_per_operator; ++i) {
            wait_until([&] { return try_patch(i); });
        }
    }

    // Maps each accepted version to the value that was patched in.
    const std::map<std::int64_t, int>& accepted() const { return accepted_; }
    const std::string& team() const { return team_; }

private:
    bool try_patch(int value) {
        const std::int64_t base_version = version_at(entry_);
        if (base_version < 0) {
            return false;
        }
        const json change = {
            {"teams",
             {{team_, {{"home_region", "northcoast"}, {"share", 1}, {"upper_limit", value}}}}}};
        const response patched =
            send_request(entry_, net::http_method::patch, "/v1/config",
                         "base=" + std::to_string(base_version), change.dump());
        if (patched.status == ok) {
            accepted_[patched.body.at("version")] = value;
        }
        return patched.status == ok;
    }

    net::endpoint entry_;
    std::string team_;
    std::map<std::int64_t, int> accepted_;
};

// Polls one daemon's version until stopped. A version below an earlier one counts as a revert.
class version_poller {
public:
    explicit version_poller(net::endpoint entry)
        : entry_(std::move(entry)), thread_([this] { run(); }) {}
    ~version_poller() { stop(); }
    version_poller(const version_poller&) = delete;
    version_poller& operator=(const version_poller&) = delete;

    void stop() {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    int reverts() const { return reverts_; }
    std::int64_t highest() const { return highest_; }

private:
    void run() {
        while (!stopping_) {
            const std::int64_t version = version_at(entry_);
            if (version >= 0) {
                reverts_ += version < highest_ ? 1 : 0;
                highest_ = version;
            }
        }
    }

    net::endpoint entry_;
    std::atomic<bool> stopping_{false};
    int reverts_ = 0;
    std::int64_t highest_ = -1;
    std::thread thread_;  // last: it uses the members above
};

std::vector<std::int64_t> all_versions(const net::endpoint& entry) {
    std::vector<std::int64_t> out;
    while (true) {
        const std::string after = std::to_string(out.empty() ? 0 : out.back());
        const response page =
            send_request(entry, net::http_method::get, "/v1/config/versions", "after=" + after);
        if (page.status != ok || page.body.at("versions").empty()) {
            return out;
        }
        for (const auto& it : page.body.at("versions")) {
            out.push_back(it.at("version"));
        }
    }
}

class concurrent_patches : public ::testing::Test {
protected:
    void run_operators() {
        std::vector<std::future<void>> operator_runs;
        for (auto& it : operators_) {
            operator_runs.push_back(std::async(std::launch::async, [&it] { it.run(); }));
        }
        const std::int64_t first_version = version_at(daemons_.entry(0));
        ASSERT_TRUE(
            wait_until([&] { return version_at(daemons_.entry(0)) > first_version + operators; }));
        pollers_.at(killed_daemon)->stop();
        daemons_.kill(killed_daemon);
        daemons_.restart(killed_daemon);
        pollers_.push_back(std::make_unique<version_poller>(daemons_.entry(killed_daemon)));
        for (auto& it : operator_runs) {
            it.get();
        }
    }

    void expect_each_patch_once() {
        std::set<std::int64_t> versions;
        for (const std::int64_t it : all_versions(daemons_.entry(0))) {
            EXPECT_TRUE(versions.insert(it).second) << "version " << it << " is listed twice";
        }
        std::set<std::int64_t> assigned;
        for (const auto& op : operators_) {
            EXPECT_EQ(op.accepted().size(), patches_per_operator) << op.team();
            for (const auto& [version, value] : op.accepted()) {
                EXPECT_EQ(versions.count(version), 1U) << version;
                EXPECT_TRUE(assigned.insert(version).second) << version << " was assigned twice";
                const response stored =
                    send_request(daemons_.entry(1), net::http_method::get,
                                 "/v1/config/versions/" + std::to_string(version));
                ASSERT_EQ(stored.status, ok) << stored.body;
                EXPECT_EQ(stored.body.at("document").at("teams").at(op.team()).at("upper_limit"),
                          value);
            }
        }
    }

    cell_cluster daemons_;
    std::vector<patching_operator> operators_ = {
        {daemons_.entry(0), "delta"}, {daemons_.entry(1), "estuary"}, {daemons_.entry(1), "fjord"}};
    std::vector<std::unique_ptr<version_poller>> pollers_;
};

TEST_F(concurrent_patches, converge_and_never_revert) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        pollers_.push_back(std::make_unique<version_poller>(daemons_.entry(i)));
    }
    daemons_.set_platform_faults({{"lose_permille", 50}, {"seed", 20261204}});
    run_operators();
    daemons_.set_platform_faults(json::object());

    const std::int64_t newest = all_versions(daemons_.entry(0)).back();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        EXPECT_TRUE(wait_until([&] { return version_at(daemons_.entry(i)) == newest; },
                               convergence_timeout))
            << "daemon " << i << " has " << version_at(daemons_.entry(i)) << " of " << newest;
    }
    for (const auto& it : pollers_) {
        it->stop();
        EXPECT_EQ(it->reverts(), 0);
        EXPECT_LE(it->highest(), newest);
    }
    expect_each_patch_once();
}

}  // namespace
