// Two daemons on one event loop link up and exchange messages both ways, small and large.
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using base::daemon_id;

class recorder final : public mesh::mesh_listener {
public:
    explicit recorder(std::function<void()> changed) : changed_(std::move(changed)) {}

    void on_message(const daemon_id& /*from*/, mesh::message what) override {
        if (std::holds_alternative<mesh::heartbeat>(what)) {
            ++heartbeats;
        } else {
            messages.push_back(std::move(what));
        }
        changed_();
    }
    void on_link(const daemon_id& /*peer*/, bool is_up) override {
        up = is_up;
        changed_();
    }
    mesh::heartbeat current_state() override { return {}; }

    bool up = false;
    int heartbeats = 0;
    std::vector<mesh::message> messages;

private:
    std::function<void()> changed_;
};

class two_daemons : public ::testing::Test {
protected:
    std::unique_ptr<mesh::mesh> make(const char* id, recorder& listener) {
        mesh::mesh_settings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.self = daemon_id(id);
        settings.secret = "secret";
        settings.heartbeat_period = base::milliseconds{20};
        return mesh::make_websocket_mesh(loop_, settings, listener, metrics_, clock_);
    }

    void run_until(std::function<bool()> done) {
        done_ = std::move(done);
        const auto deadline = loop_.after(base::seconds{30}, [this] { loop_.stop(); });
        if (!done_()) {
            loop_.run();
        }
        EXPECT_TRUE(done_());
        done_ = [] { return false; };
    }

    void check() {
        if (done_()) {
            loop_.stop();
        }
    }

    net::event_loop loop_;
    base::metrics metrics_;
    base::monotonic_clock clock_;
    std::function<bool()> done_ = [] { return false; };
    recorder heard_a_{[this] { check(); }};
    recorder heard_b_{[this] { check(); }};
    std::unique_ptr<mesh::mesh> a_ = make("a", heard_a_);
    std::unique_ptr<mesh::mesh> b_ = make("b", heard_b_);
};

TEST_F(two_daemons, exchange_messages_both_ways) {
    a_->set_peers({{daemon_id("b"), b_->listening_on()}});
    b_->set_peers({{daemon_id("a"), a_->listening_on()}});
    run_until([this] { return heard_a_.up && heard_b_.up; });

    mesh::submit_work large;
    large.call = mesh::call_id(7);
    large.work.payload.assign(300'000, 'x');
    EXPECT_TRUE(a_->send(daemon_id("b"), large));
    EXPECT_TRUE(b_->send(daemon_id("a"), mesh::job_query{mesh::call_id(8), {}, {}, {}, true}));
    run_until([this] { return !heard_a_.messages.empty() && !heard_b_.messages.empty(); });
    EXPECT_EQ(std::get<mesh::submit_work>(heard_b_.messages.at(0)).work.payload,
              large.work.payload);
    EXPECT_TRUE(std::get<mesh::job_query>(heard_a_.messages.at(0)).cancel);

    run_until([this] { return a_->links().at(0).round_trip.count() > 0; });
    EXPECT_FALSE(a_->send(daemon_id("c"), large));
}

}  // namespace
