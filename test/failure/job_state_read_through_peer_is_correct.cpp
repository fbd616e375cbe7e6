// A daemon that can't reach the store reads through its peers. The peers are suspended for short
// periods, so that answers come late or never. Every job state that the daemon reports must be the
// state of that job.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"
#include "standins/tcp_relay.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int gone = 410;
constexpr int daemon_count = 4;
constexpr int job_count = 60;
constexpr int reader_count = 6;
constexpr base::milliseconds reading_time{6'000};

// The connection of one daemon to the store, until it is closed.
class store_connection {
public:
    explicit store_connection(const net::endpoint& store)
        : relay_(std::make_unique<tcp_relay>(loop_, store)),
          address_(relay_->listen_endpoint()),
          thread_([this] { loop_.run(); }) {}
    ~store_connection() { close(); }
    store_connection(const store_connection&) = delete;
    store_connection& operator=(const store_connection&) = delete;

    const net::endpoint& listen_endpoint() const { return address_; }

    void close() {
        if (thread_.joinable()) {
            loop_.post([this] {
                relay_.reset();
                loop_.stop();
            });
            thread_.join();
        }
    }

private:
    net::event_loop loop_;
    std::unique_ptr<tcp_relay> relay_;
    net::endpoint address_;
    std::thread thread_;
};

class reads_through_peers : public testing::Test {
public:
    reads_through_peers() : daemons(daemon_count, plan()) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }));
        EXPECT_TRUE(daemons.wait_until_ready());
    }

    // The first daemon's connection to the store can be closed.
    platform_site_options plan() {
        platform_site_options out;
        out.route = [this](const net::endpoint& address) {
            const bool is_vm = ++endpoint_count <= platform_site_options{}.vms;
            if (is_vm || connection) {
                return address;
            }
            connection = std::make_unique<store_connection>(address);
            return connection->listen_endpoint();
        };
        return out;
    }

    static std::string expected(int job) {
        switch (job % 3) {
            case 0:
                return "complete";
            case 1:
                return "cancelled";
            default:
                return std::to_string(gone);
        }
    }

    std::string reported_state(int daemon, int job) {
        const auto reply = daemons.call(daemon, "GET", "/urgent/" + job_id_text(job));
        return reply.status == ok ? reply.body.at("state").get<std::string>()
                                  : std::to_string(reply.status);
    }

    int endpoint_count = 0;
    std::unique_ptr<store_connection> connection;
    fleet_cluster daemons;
};

TEST_F(reads_through_peers, return_correct_job_state) {
    for (int i = 0; i < job_count; ++i) {
        if (i % 3 != 2) {
            ASSERT_EQ(daemons.submit(1, job_id_text(i), 1).status, ok);
        }
        if (i % 3 == 1) {
            ASSERT_EQ(daemons.call(1, "DELETE", "/urgent/" + job_id_text(i)).status, ok);
        }
    }
    for (int i = 0; i < job_count; ++i) {
        EXPECT_TRUE(wait_until([&] { return reported_state(1, i) == expected(i); }));
    }
    // The new owner has no record of the jobs, so that their rows must be read.
    const int previous_owner = daemons.owner_index();
    daemons.kill(previous_owner);
    ASSERT_TRUE(wait_until(
        [&] { return daemons.owner_index() >= 0 && daemons.owner_index() != previous_owner; }));
    daemons.start(previous_owner);
    ASSERT_TRUE(daemons.wait_until_ready(previous_owner));
    connection->close();

    std::atomic<bool> stopping{false};
    std::atomic<int> answers{0};
    std::mutex errors_mutex;
    std::set<std::string> errors;
    std::vector<std::thread> threads;
    threads.reserve(reader_count);
    for (int n = 0; n < reader_count; ++n) {
        threads.emplace_back([&, n] {
            for (int job = n; !stopping; job = (job + 7) % job_count) {
                const std::string state = reported_state(0, job);
                const bool is_answer = state[0] != '5' && state[0] != '0';
                answers += is_answer ? 1 : 0;
                if (is_answer && state != expected(job)) {
                    const std::lock_guard<std::mutex> guard(errors_mutex);
                    errors.insert("job " + std::to_string(job) + " is " + state);
                }
            }
        });
    }
    const base::monotonic_clock clock;
    const auto end = clock.now() + reading_time;
    for (int peer = 1; clock.now() < end; peer = peer % (daemon_count - 1) + 1) {
        daemons.signal(peer, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
        daemons.signal(peer, SIGCONT);
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    stopping = true;
    for (auto& it : threads) {
        it.join();
    }
    EXPECT_EQ(errors, std::set<std::string>{});
    EXPECT_GT(answers, reader_count);
    RecordProperty("answers", answers);
    EXPECT_NE(daemons.log_text(0).find("event=store_relayed"), std::string::npos);
}

}  // namespace
