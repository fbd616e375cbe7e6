// Relays on real sockets refuse, lose or delay connections and restart, while an owner starts tasks
// over them. Guards against a command that a relay has passed on being sent again, because a
// refused connection is taken for more than "this exchange was not received".
#include "standins/relay.hpp"
#include "standins/relayed_fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::size_t vm_count = 500;

// A relay behind a link that simulates faults.
class remote_relay final : public fleet_daemon::peer_services {
public:
    remote_relay(net::event_loop& loop, fleet::vm_control& vms)
        : loop_(loop), vms_(vms), handler_(*this, metrics_) {
        restart();
    }

    fleet::placement_advisor& advisor() override { return others_; }
    fleet::row_store& direct_store() override { return others_; }
    void job_status(const fleet::job_id& /*job*/, fleet_daemon::status_callback /*done*/) override {
    }
    void job_written(const fleet_daemon::written_job& /*job*/) override {}
    void write_job(const fleet_daemon::delegated_job& /*job*/, base::milliseconds /*timeout*/,
                   const fleet_daemon::write_callback& /*done*/) override {}
    void follow_configuration(fleet::store_version /*after*/, base::milliseconds /*wait*/,
                              const fleet::read_callback& /*done*/) override {}
    void exchange_commands(const fleet_daemon::command_batch& batch,
                           fleet_daemon::exchange_callback done) override {
        relay_->exchange(batch, std::move(done));
    }

    void restart() {
        relay_ = std::make_unique<fleet_daemon::command_relay>(loop_, vms_,
                                                               std::to_string(++restart_count_));
    }

    relay_link& link() { return link_; }

private:
    net::event_loop& loop_;
    fleet::vm_control& vms_;
    base::monotonic_clock clock_;
    base::metrics metrics_;
    unresponsive_peer others_;
    int restart_count_ = 0;
    std::unique_ptr<fleet_daemon::command_relay> relay_;
    fleet_daemon::peer_request_handler handler_;
    net::http_server server_{loop_, {"127.0.0.1", 0}, {}, handler_};
    relay_link link_{loop_, clock_, {"127.0.0.1", 0}, server_.listen_endpoint()};
};

using start_answer = tl::expected<fleet::vm_time, fleet::command_failure>;

class refusing_relays : public testing::TestWithParam<std::uint32_t> {
protected:
    refusing_relays() {
        std::map<std::string, fleet_daemon::relay_candidate> candidates;
        for (int i = 0; i < 2; ++i) {
            relays_.push_back(
                std::make_unique<remote_relay>(fleet_.loop, fleet_.relayed_vms_backend));
            candidates[std::to_string(i)] = {
                fleet_daemon::make_peer(*http_, relays_.back()->link().listen_endpoint()),
                fleet::zone_name("near"), 1.0};
        }
        owner_.set_candidates(candidates);
        owner_.set_vm_count(vm_count);
    }

    void bring_about_fault() {
        constexpr base::milliseconds max_delay{80};
        remote_relay& relay = *relays_[random_() % relays_.size()];
        switch (random_() % 7) {
            case 0:
            case 1:
                relay.link().cut();
                break;
            case 2:
                relay.link().swallow_answers();
                break;
            case 3:
                relay.link().set_delay(
                    base::milliseconds(random_() % static_cast<unsigned>(max_delay.count())));
                break;
            case 4:
                relay.restart();
                break;
            default:
                relay.link().restore();
        }
    }

    void start_task(int number) {
        fleet::start_command order;
        order.task = {fleet::job_id("job"), 0, 0, number};
        order.run = fleet::run_number(1);
        owner_.start(fleet_.vm(static_cast<std::size_t>(number)), fleet::fencing_token(7), order,
                     [this, number](const start_answer& answer) {
                         EXPECT_TRUE(answers_.emplace(number, answer).second);
                     });
    }

    static fleet_daemon::relay_settings settings() {
        fleet_daemon::relay_settings out;
        out.avoid_after_failure = base::milliseconds{30};  // so that there are many failures
        return out;
    }

    // How often a relay was avoided for this reason.
    double avoided_count(const std::string& reason) const {
        const std::string name = "cranberrydock_relays_avoided_total{reason=\"" + reason + "\"} ";
        const std::string text = fleet_.metrics.text();
        const auto at = text.find(name);
        return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
    }

    relayed_fleet fleet_{vm_count};
    fleet_daemon::relayed_vm_control owner_{fleet_.loop, fleet_.direct_vms, "owner/2",
                                            settings(),  fleet_.permission, fleet_.metrics};
    std::unique_ptr<net::http_client> http_ = net::make_http_client(fleet_.loop, {});
    std::vector<std::unique_ptr<remote_relay>> relays_;
    std::mt19937 random_{GetParam()};
    std::map<int, start_answer> answers_;
};

TEST_P(refusing_relays, commands_are_carried_out_once_or_reported) {
    constexpr int task_count = 1'000;
    constexpr base::milliseconds start_period{2};
    constexpr base::milliseconds fault_period{25};
    constexpr base::milliseconds after_every_timeout{3'000};
    int started = 0;
    auto starts = fleet_.loop.every(start_period, [&] {
        start_task(started);
        if (++started == task_count) {
            fleet_.loop.stop();
        }
    });
    const auto faults = fleet_.loop.every(fault_period, [this] { bring_about_fault(); });
    fleet_.loop.run();
    starts.reset();
    fleet_.run_for(after_every_timeout);

    std::map<int, int> received;
    for (const auto* vms : {&fleet_.relayed_vms_backend, &fleet_.direct_vms}) {
        for (const auto& it : vms->received_starts) {
            ++received[it.order.task.index];
        }
    }
    EXPECT_EQ(answers_.size(), static_cast<std::size_t>(task_count));
    std::map<std::string, int> outcomes;
    for (const auto& it : answers_) {
        const int n = received[it.first];
        ++outcomes[it.second ? "done" : fleet::to_string(it.second.error())];
        EXPECT_LE(n, 1) << "task " << it.first;
        if (it.second) {
            EXPECT_EQ(n, 1) << "task " << it.first;
        } else if (it.second.error() != fleet::command_failure::answer_lost) {
            EXPECT_EQ(n, 0) << "task " << it.first << fleet::to_string(it.second.error());
        }
    }
    for (const auto& it : outcomes) {
        RecordProperty(it.first, it.second);
    }
    EXPECT_GT(outcomes["done"], 0);
    EXPECT_GT(outcomes["answer_lost"], 0);
    for (const char* it : {"refused", "silent", "restarted"}) {
        EXPECT_GT(avoided_count(it), 0) << it;
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, refusing_relays, testing::Range(1U, 5U));

}  // namespace
