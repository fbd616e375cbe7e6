// Several daemons and concurrent operators share one table. Its answers are lost, its requests are
// applied late, messages are delayed and reordered, and daemons restart. The versions in force only
// increase, also when a daemon restarts on the same VM; no version is in force that was not
// committed; every accepted patch is in the chain exactly once, and a patch that was answered with
// a conflict, as invalid or as not run is never in it; no daemon claims to have the newest version
// for a time at which a newer one existed.
#include <cranberrydock/config/version_chain.hpp>
#include <cranberrydock/config/version_record.hpp>

#include "version_table_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::config;
using base::milliseconds;

constexpr int daemons = 3;
constexpr int max_steps = 1'200;
constexpr int cases = 1'500;
constexpr int max_time_step_ms = 900;
constexpr int max_fate = 15;  // see serve_store()
constexpr int recovery_rounds = 60;
constexpr milliseconds patch_deadline{4'000};

int draw(int from, int to) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

class version_simulation {
public:
    version_simulation() {
        for (int i = 0; i < daemons; ++i) {
            start(i);
        }
    }

    void step(bool with_restarts) {
        const int action = draw(0, 100);
        if (action < 12) {
            now_ += milliseconds(draw(1, max_time_step_ms));
            deliver_event(draw(0, daemons), chain_tick{});
        } else if (action < 40) {
            serve_store(draw(0, max_fate + 1));
        } else if (action < 84) {
            deliver_message();
        } else if (action < 93) {
            request_patch(draw(0, daemons));
        } else if (action < 97) {
            send_version_query(draw(0, daemons));
        } else if (with_restarts) {
            start(draw(0, daemons));
        } else {
            request_outage_promises(draw(0, daemons));
        }
    }

    // Stops all faults and delivers all pending requests and messages. All daemons must reach the
    // head.
    void recover() {
        for (int round = 0; round < recovery_rounds; ++round) {
            now_ += milliseconds(max_time_step_ms);
            for (int i = 0; i < daemons; ++i) {
                deliver_event(i, chain_tick{});
            }
            while (!requests_.empty()) {
                serve_store(max_fate);
            }
            while (!messages_.empty()) {
                deliver_message();
            }
        }
        for (const auto& it : daemons_) {
            RC_ASSERT(it.chain->in_force() != nullptr);
            RC_ASSERT(it.chain->in_force()->version == table_.head());
        }
        check_outcomes();
    }

private:
    struct daemon {
        std::unique_ptr<version_chain> chain;
        int run = 0;
        // The highest version that has been in force at this VM, over all runs.
        base::config_version highest;
    };

    struct store_request {
        int daemon = 0;
        int run = 0;
        std::variant<read_row, commit_rows> row_operation;
    };

    // A message between daemons. A version query carries no event; its answer is made on arrival.
    struct message {
        int receiver = 0;
        int run = 0;
        std::optional<chain_event> event;
        int inquirer = 0;  // of a version query: the daemon that sent it
        int inquirer_run = 0;
        base::time_point sent_at{};
    };

    // One daemon's round of requests for outage promises.
    struct outage_round {
        int initiator = 0;
        base::time_point sent_at{};
        int promises = 0;
        base::config_version highest;
    };

    static base::daemon_id daemon_name(int i, int run) {
        return base::daemon_id(std::to_string(i) + "-" + std::to_string(run));
    }

    void start(int i) {
        daemon& started = daemons_[static_cast<std::size_t>(i)];
        ++started.run;
        version_chain_settings settings;
        settings.self = daemon_name(i, started.run);
        settings.patch_deadline = patch_deadline;
        started.chain = std::make_unique<version_chain>(settings);
        deliver_event(i, chain_tick{});
    }

    daemon& at(int i) { return daemons_[static_cast<std::size_t>(i)]; }

    void deliver_event(int i, const chain_event& event) {
        for (const auto& it : at(i).chain->handle(event, now_)) {
            std::visit([&](const auto& effect) { apply(i, effect); }, it);
        }
        check_newest_claim(i);
    }

    // ---- effects

    void apply(int i, const read_row& effect) { requests_.push_back({i, at(i).run, effect}); }
    void apply(int i, const commit_rows& effect) { requests_.push_back({i, at(i).run, effect}); }

    void apply(int i, const version_in_force& effect) {
        RC_ASSERT(at(i).highest <= effect.current->version);
        at(i).highest = effect.current->version;
        RC_ASSERT(effect.current->version <= table_.head());
        RC_ASSERT(effect.document == table_.document(effect.current->version));
    }

    void apply(int /*i*/, const version_unreadable& /*effect*/) {
        RC_FAIL("a committed version could not be read");
    }

    void apply(int /*i*/, const patch_finished& effect) {
        const auto patch = patches_.at(effect.call.value());
        RC_ASSERT(outcomes_.emplace(effect.call.value(), effect.outcome).second);
        if (const auto* conflict = std::get_if<patch_conflict>(&effect.outcome)) {
            RC_ASSERT(conflict->current != patch);
            RC_ASSERT(conflict->current <= table_.head());
        }
    }

    void apply(int i, const announce_version& effect) {
        for (int peer = 0; peer < daemons; ++peer) {
            const bool addressed =
                effect.recipient.empty() || effect.recipient == daemon_name(peer, at(peer).run);
            if (peer != i && addressed) {
                messages_.push_back(
                    {peer, at(peer).run, version_announced{effect.version, effect.document}});
            }
        }
    }

    void apply(int /*i*/, const outage_answer& effect) {
        outage_round& round = rounds_.at(static_cast<std::size_t>(effect.call.value()));
        if (!effect.granted) {
            return;
        }
        ++round.promises;
        round.highest = std::max(round.highest, effect.version);
        if (round.promises == daemons - 1) {
            messages_.push_back({round.initiator, at(round.initiator).run,
                                 outage_confirmed{round.sent_at, round.highest, effect.valid_for}});
        }
    }

    // ---- random actions

    // With `fate` 0 and 1 the request is applied and its answer lost. With 2 the answer is lost and
    // the request stays pending. With 3 and 4 the store is unavailable, with 5 the request is
    // dropped. From 6 on the request succeeds.
    void serve_store(int fate) {
        if (requests_.empty()) {
            return;
        }
        const int chosen = draw(0, static_cast<int>(requests_.size()));
        const store_request request = requests_[static_cast<std::size_t>(chosen)];
        if (fate != 2) {
            requests_.erase(requests_.begin() + chosen);
        }
        if (const auto* read = std::get_if<read_row>(&request.row_operation)) {
            serve(request, *read, fate);
        } else {
            serve(request, std::get<commit_rows>(request.row_operation), fate);
        }
    }

    void serve(const store_request& request, const read_row& read, int fate) {
        row_read answer{read.operation, table_.read(read.key)};
        if (fate <= 2 || fate == 5) {
            answer.result = tl::unexpected(platform::store_error::answer_lost);
        } else if (fate <= 4) {
            answer.result = tl::unexpected(platform::store_error::unavailable);
        }
        messages_.push_back({request.daemon, request.run, answer});
    }

    void serve(const store_request& request, const commit_rows& commit, int fate) {
        rows_committed answer{commit.operation, platform::commit_result{}};
        if (fate == 3 || fate == 4) {
            answer.result = tl::unexpected(platform::store_error::unavailable);
        } else if (fate <= 2 || fate == 5) {
            answer.result = tl::unexpected(platform::store_error::answer_lost);
        }
        if ((fate <= 1 || fate >= 6) && !table_.commit(commit.transaction, now_) && fate >= 6) {
            answer.result = tl::unexpected(platform::store_error::conflict);
        }
        messages_.push_back({request.daemon, request.run, answer});
    }

    void deliver_message() {
        if (messages_.empty()) {
            return;
        }
        const int chosen = draw(0, static_cast<int>(messages_.size()));
        const message arrived = messages_[static_cast<std::size_t>(chosen)];
        messages_.erase(messages_.begin() + chosen);
        if (at(arrived.receiver).run != arrived.run) {
            return;
        }
        if (arrived.event) {
            deliver_event(arrived.receiver, *arrived.event);
        } else {
            answer_version_query(arrived);
        }
    }

    void request_patch(int i) {
        static const std::string invalid = R"({"queues":{"q":{"policy":"none"}}})";
        const auto current = at(i).chain->in_force();
        const base::config_version known =
            current == nullptr ? base::config_version(0) : current->version;
        const base::config_version bases[] = {known, known, known, table_.head(),
                                              table_.head().next()};
        const base::config_version base = bases[draw(0, 5)];
        patches_.push_back(base);
        const auto call = static_cast<std::int64_t>(patches_.size() - 1);
        const std::string valid =
            R"({"queues":{"q)" + std::to_string(call) + R"(":{"policy":"batch"}}})";
        deliver_event(i, patch_requested{patch_call(call), base, draw(0, 8) == 0 ? invalid : valid,
                                         std::to_string(call), "now"});
    }

    void send_version_query(int i) {
        for (int peer = 0; peer < daemons; ++peer) {
            if (peer != i) {
                messages_.push_back({peer, at(peer).run, std::nullopt, i, at(i).run, now_});
            }
        }
    }

    void answer_version_query(const message& query) {
        const version_chain& chain = *at(query.receiver).chain;
        if (chain.in_force() == nullptr) {
            return;
        }
        peer_version answer{daemon_name(query.receiver, query.run), chain.in_force()->version, {}};
        if (const auto newest = chain.newest_at(); newest && *newest <= now_) {
            const auto age = std::chrono::duration_cast<milliseconds>(now_ - *newest);
            answer.evidence = peer_evidence{query.sent_at, age + milliseconds(1)};
        }
        messages_.push_back({query.inquirer, query.inquirer_run, answer});
    }

    void request_outage_promises(int i) {
        rounds_.push_back({i, now_, 0, {}});
        const auto call = static_cast<std::int64_t>(rounds_.size() - 1);
        for (int peer = 0; peer < daemons; ++peer) {
            if (peer != i) {
                messages_.push_back(
                    {peer, at(peer).run,
                     outage_query{daemon_name(i, at(i).run), outage_query_id(call)}});
            }
        }
    }

    // ---- checks

    void check_newest_claim(int i) {
        const version_chain& chain = *at(i).chain;
        const auto newest = chain.newest_at();
        if (newest) {
            RC_ASSERT(table_.head_before(std::min(*newest, now_)) <= chain.in_force()->version);
        }
    }

    void check_outcomes() {
        const std::vector<std::string> authors = table_.authors();
        const std::multiset<std::string> chain(authors.begin(), authors.end());
        for (const auto& it : outcomes_) {
            const std::size_t occurrences = chain.count(std::to_string(it.first));
            if (const auto* accepted = std::get_if<patch_accepted>(&it.second)) {
                RC_ASSERT(occurrences == 1U);
                const auto index = static_cast<std::size_t>(accepted->version.value() - 1);
                RC_ASSERT(authors.at(index) == std::to_string(it.first));
            } else {
                const auto* refused = std::get_if<base::refusal>(&it.second);
                RC_ASSERT(occurrences <= (refused != nullptr && !refused->not_run ? 1U : 0U));
            }
        }
        for (const auto& it : authors) {
            RC_ASSERT(chain.count(it) == 1U);
        }
    }

    base::time_point now_{base::seconds(1'000)};
    table_model table_;
    std::vector<daemon> daemons_ = std::vector<daemon>(daemons);
    std::vector<store_request> requests_;  // pending at the table
    std::vector<message> messages_;        // pending at the daemons
    std::vector<outage_round> rounds_;
    std::vector<base::config_version> patches_;  // the base version of each patch, by call
    std::map<std::int64_t, patch_outcome> outcomes_;
};

void run_simulation(bool with_restarts) {
    version_simulation simulation;
    for (int n = draw(0, max_steps); n > 0; --n) {
        simulation.step(with_restarts);
    }
    simulation.recover();
}

// Some faults appear only in many cases. A number set in RC_PARAMS takes precedence. Must be called
// before the first check.
void set_case_count() {
    const char* const existing = std::getenv("RC_PARAMS");
    const std::string params = existing == nullptr ? "" : existing;
    if (params.find("max_success") == std::string::npos) {
        setenv("RC_PARAMS", (params + " max_success=" + std::to_string(cases)).c_str(), 1);
    }
}

TEST(configuration_versions, never_revert_while_daemons_restart) {
    set_case_count();
    EXPECT_TRUE(rc::check("with restarts", [] { run_simulation(true); }));
}

TEST(configuration_versions, never_revert_with_outage_promises) {
    set_case_count();
    EXPECT_TRUE(rc::check("with outage promises", [] { run_simulation(false); }));
}

}  // namespace
