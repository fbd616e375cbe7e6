// One daemon of the fleet: creates its components and connects them.
#include <cranberrydock/fleet_daemon/command_relay.hpp>
#include <cranberrydock/fleet_daemon/daemon.hpp>
#include <cranberrydock/fleet_daemon/job_layout.hpp>
#include <cranberrydock/fleet_daemon/relayed_store.hpp>
#include <cranberrydock/fleet_daemon/zone_reader.hpp>

#include "daemon_record.hpp"
#include "lag_meter.hpp"
#include "rows_listener.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet_daemon {
namespace {

constexpr base::milliseconds follow_wait{500};  // also bounds the time to detect a store outage
constexpr base::milliseconds ownership_tick{50};
// Other daemons take over from an unresponsive owner after 0.9 s at the earliest.
constexpr base::milliseconds max_pause{700};
constexpr base::milliseconds owner_write_timeout{1'200};
constexpr base::milliseconds hand_over_timeout{2'000};
constexpr base::milliseconds configuration_wait{1'000};  // bounds the delay after a lost answer
// A copy of the configuration that is older than this is not served to other daemons. A query stays
// open for up to a second, and the answer to the next one arrives up to a second later.
constexpr base::milliseconds max_shared_read_age{2'500};
constexpr base::milliseconds no_pause{0};
constexpr base::milliseconds query_owner_timeout{350};
constexpr base::milliseconds notify_owner_timeout{350};
constexpr base::milliseconds probe_period{200};
constexpr base::milliseconds probe_timeout{400};
// Jobs are not delegated to an owner that has not answered a probe for this long.
constexpr base::milliseconds owner_response_timeout{600};
constexpr int max_unanswered_probes = 2;
// Member entries expire after three missed heartbeats, whose period is at least a second.
constexpr base::milliseconds member_expiry_time{3'000};
// The store counts as answering for this long after an answer. Queries for changes of the daemons'
// rows follow each other without a pause and stay open for half a second.
constexpr base::milliseconds store_answer_validity{1'000};
constexpr base::milliseconds announce_retry_pause{500};
// A candidate delays its takeover by this multiple of its write time, so that the candidate with
// the fastest connection to the store takes over first.
constexpr int stagger_factor = 3;
constexpr base::milliseconds max_stagger{250};  // limits the effect of one slow write

// The longest delay of a takeover by a daemon with fewer cores than the strongest one.
constexpr base::milliseconds weakest_daemon_delay{3'500};
// The additional delay for a daemon that reaches the store only through peers, since it would load
// the jobs slowly.
constexpr base::milliseconds cut_off_delay{1'500};
// An owner whose events are delayed by more than this on average is overloaded and hands over to
// another daemon.
constexpr base::milliseconds max_lag{300};
// After handing over, a daemon does not take over again for this long.
constexpr base::milliseconds takeover_pause_after_lag{8'000};
// An owner hands over to a daemon with this many times its cores, but not before
// `min_ownership_time`.
constexpr double hand_over_strength_ratio = 1.5;
constexpr base::milliseconds min_ownership_time{3'000};

}  // namespace

struct daemon::state final : fleet_view, ownership_view, peer_services {
    state(net::event_loop& event_loop, net::http_client& http_client, fleet::row_store& row_store,
          fleet::vm_control& vm_control, fleet::placement_advisor& placement,
          const fleet::platform_rows& platform, const daemon_settings& initial_settings,
          base::metrics& metrics_registry, std::function<void()> on_stopped)
        : loop(event_loop),
          http(http_client),
          direct(row_store),
          own_advisor(placement),
          store(row_store, initial_settings.vm_name, metrics_registry),
          zone(store, initial_settings.vm_name, initial_settings.zone,
               initial_settings.region_zones, initial_settings.cores, metrics_registry),
          configuration_feed(event_loop, [this] { return configuration_is_recent(); }),
          vms(event_loop, vm_control, initial_settings.vm_name + "/" + initial_settings.run,
              initial_settings.relays, *this, metrics_registry),
          relay(event_loop, vm_control, initial_settings.run),
          rows(platform),
          settings(initial_settings),
          metrics(metrics_registry),
          stopped(std::move(on_stopped)),
          ownership(initial_settings.vm_name, initial_settings.run, initial_settings.peers.text(),
                    initial_settings.ownership),
          advisors(event_loop, placement, metrics),
          callers(loop, store, layout, *this, metrics, initial_settings.owner.limits),
          configuration_rows([this](const auto& all) { on_configuration(all); },
                             [this](const auto& changed) { on_configuration(changed); }),
          fleet_rows([this](const auto& all) { on_fleet_table(all); },
                     [this](const auto& changed) { on_fleet_rows(changed); },
                     [this] {
                         on_store_answered();
                         ownership.row_unchanged(clock.now());
                     },
                     [this] { on_store_unanswered(); }),
          configurations(loop, zone, rows.configuration_table(), {fleet::partition_name("")},
                         configuration_wait, no_pause, configuration_rows, catch_up::by_full_read),
          fleet_follower(loop, store, fleet_table, {fleet::partition_name("")}, follow_wait,
                         no_pause, fleet_rows) {
        fleet_follower.start();
        tick = loop.every(ownership_tick, [this] { on_tick(); });
        probing = loop.every(probe_period, [this] { probe_owner(); });
        announce();
    }

    // fleet_view
    std::shared_ptr<const fleet::fleet_configuration> configuration() const override {
        return layout.known() ? configured : nullptr;
    }
    const fleet::owner_record& owner() const override { return ownership.record(); }
    base::milliseconds owner_age() const override {
        return std::chrono::duration_cast<base::milliseconds>(clock.now() - owner_row_read_at);
    }
    std::optional<base::milliseconds> count_age() const override {
        const auto counted = ownership.counted_after();
        if (!counted) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<base::milliseconds>(clock.now() - *counted);
    }
    bool shutting_down() const override { return stopping; }

    void query_owner(const fleet::job_id& job, status_callback done) override {
        if (local_owner) {
            local_owner->job_status(job, done);
            return;
        }
        const auto it = peers.find(ownership.record().holder);
        if (it == peers.end()) {
            done(std::nullopt);
        } else {
            it->second->job_status(job, query_owner_timeout, std::move(done));
        }
    }

    void notify_owner(const fleet::job_id& job, const std::string& row,
                      fleet::store_version version, std::function<void()> notified) override {
        const auto it = peers.find(ownership.record().holder);
        if (!local_owner && it != peers.end()) {
            it->second->job_written({job, row, version}, notify_owner_timeout, std::move(notified));
            return;
        }
        if (local_owner) {
            local_owner->job_written(job, row, version);
        }
        notified();
    }

    bool owner_responds() const override {
        const auto& record = ownership.record();
        return !local_owner && peers.count(record.holder) > 0 &&
               owner_answered_run == record.process_run &&
               clock.now() - owner_last_answer < owner_response_timeout;
    }

    bool has_loaded(const fleet::job_id& job) const override {
        return local_owner && local_owner->has_loaded(job);
    }

    void write_through_owner(const delegated_job& delegated, base::milliseconds timeout,
                             const write_callback& done) override {
        peers.at(ownership.record().holder)->write_job(delegated, timeout, done);
    }

    // peer_services
    void write_job(const delegated_job& delegated, base::milliseconds timeout,
                   const write_callback& done) override {
        if (!layout.known()) {
            done({write_outcome::refused, {}});
            return;
        }
        callers.write(delegated, timeout, [this, delegated, done](const write_result& result) {
            if (local_owner && result.outcome == write_outcome::written) {
                local_owner->job_written(delegated.job, delegated.row, result.version);
            }
            done(result);
        });
    }
    void job_written(const written_job& job) override {
        if (local_owner) {
            local_owner->job_written(job.job, job.row, job.version);
        }
    }
    void exchange_commands(const command_batch& batch, exchange_callback done) override {
        relay.exchange(batch, std::move(done));
    }
    void follow_configuration(fleet::store_version after, base::milliseconds wait,
                              const fleet::read_callback& done) override {
        if (!zone.serves_other_daemons()) {
            done(tl::unexpected(fleet::store_error{fleet::store_failure::refused, {}}));
            return;
        }
        configuration_feed.follow(after, wait, done);
    }
    bool configuration_is_recent() const {
        return clock.now() - zone.store_read_as_of() <= max_shared_read_age;
    }
    fleet::placement_advisor& advisor() override { return own_advisor; }
    fleet::row_store& direct_store() override { return direct; }
    void job_status(const fleet::job_id& job, status_callback done) override {
        if (local_owner) {
            local_owner->job_status(job, done);
        } else {
            done(std::nullopt);
        }
    }

    // ownership_view
    bool may_issue_commands() override {
        return local_owner && ownership.may_issue_commands(clock.now()) && !was_paused() &&
               ownership.last_renewal_sent() >= paused_until;
    }
    // Whether this process was just paused for so long that another daemon may have taken over.
    bool was_paused() const { return clock.now() - last_tick > max_pause; }
    base::time_point last_renewal_sent() override { return ownership.last_renewal_sent(); }
    void renew_soon() override { ownership.renew_soon(); }
    bool store_answers() override {
        return clock.now() - store_answered_at < store_answer_validity;
    }
    void on_superseded(const std::string& where) override {
        spdlog::warn("event=owner_superseded by={}", where);
        schedule_end_of_ownership();
    }

    void on_store_answered() {
        const auto now = clock.now();
        const bool was_away = store_unreachable && now - store_answered_at >= member_expiry_time;
        if (was_away) {
            members_complete_from = now + member_return_time;
        }
        store_unreachable = false;
        store_answered_at = now;
    }

    // If the store has never answered this process, the duration of the outage is unknown and
    // assumed to be long.
    void on_store_unanswered() {
        store_unreachable = true;
        ownership.store_unreadable();
    }

    void on_configuration(const std::vector<fleet::stored_row>& received) {
        configuration_feed.update(received, configurations.delivered_version());
        for (const auto& it : received) {
            if (it.removed || it.address.name != rows.configuration_row()) {
                continue;
            }
            auto read = rows.read_configuration(it.value);
            if (!read) {
                spdlog::error("event=configuration_unreadable error=\"{}\"", read.error());
                metrics.count("cranberrydock_configuration_errors_total", "");
                continue;
            }
            if (configured && read->version <= configured->version) {
                continue;
            }
            spdlog::info("event=configuration_in_force version={} queues={} customers={} bytes={}",
                         read->version.value(), read->queues.size(), read->customers.size(),
                         it.value.size());
            configured = std::make_shared<const fleet::fleet_configuration>(std::move(*read));
            if (local_owner) {
                local_owner->configure(configured);
            }
        }
    }

    void on_fleet_table(const std::vector<fleet::stored_row>& received) {
        peers.clear();
        peer_records.clear();
        if (!layout.known()) {
            const auto stored = std::find_if(received.begin(), received.end(), [](const auto& it) {
                return it.address.name == layout_row().name && !it.removed;
            });
            if (stored == received.end()) {
                write_layout();
            } else {
                on_layout_row(*stored);
            }
        }
        const bool has_owner = std::any_of(received.begin(), received.end(), [](const auto& it) {
            return it.address.name == owner_row().name;
        });
        if (!has_owner) {
            ownership.row_read(std::nullopt, fleet::store_version(0), clock.now());
        }
        on_fleet_rows(received);
        if (!configurations_started) {
            configurations_started = true;
            configurations.start();
        }
    }

    // Once known, the layout does not change: jobs are stored by it.
    void on_layout_row(const fleet::stored_row& row) {
        if (layout.known() || row.removed) {
            return;
        }
        layout = decode_layout(row.value);
        if (!layout.known()) {
            spdlog::error("event=row_unreadable table=fleet row=layout");
            return;
        }
        spdlog::info("event=job_layout partitions={} by_settings={}", layout.partition_count(),
                     settings.job_parts);
    }

    // Stores the layout that follows from the settings, unless another daemon has stored one.
    void write_layout() {
        fleet::row_transaction transaction;
        transaction.conditions.push_back({layout_row(), fleet::store_version(0)});
        transaction.puts.push_back({layout_row(), encode_layout(job_layout(settings.job_parts))});
        store.commit(transaction, owner_write_timeout, alive.guard([this](const auto& answer) {
            if (answer || layout.known()) {
                on_layout_row({layout_row(), encode_layout(job_layout(settings.job_parts)),
                               answer.value_or(fleet::store_version(0)), false});
                return;
            }
            for (const auto& it : answer.error().rows) {
                if (it.address.name == layout_row().name) {
                    on_layout_row(it);
                }
            }
            if (!layout.known()) {
                layout_timer = loop.after(announce_retry_pause, [this] { write_layout(); });
            }
        }));
    }

    void on_fleet_rows(const std::vector<fleet::stored_row>& received) {
        bool peers_changed = false;
        for (const auto& it : received) {
            if (!it.address.partition.str().empty()) {
                continue;
            }
            if (it.address.name == owner_row().name) {
                on_owner_row(it);
                continue;
            }
            if (it.address.name == layout_row().name) {
                on_layout_row(it);
                continue;
            }
            const std::string name = vm_of_daemon_row(it.address.name);
            if (name.empty() || name == settings.vm_name) {
                continue;
            }
            peers_changed = true;
            const auto record = detail::decode_daemon(it.value);
            if (it.removed || record.address.port == 0) {
                peers.erase(name);
                peer_records.erase(name);
            } else {
                peers[name] = make_peer(http, record.address);
                peer_records[name] = record;
            }
        }
        if (peers_changed) {
            set_stagger();
            advisors.set_peers(peers);
            store.set_peers(peers);
            update_relay_candidates();
            check_for_restarted_owner();
        }
    }

    void update_relay_candidates() {
        std::map<std::string, relay_candidate> candidates;
        for (const auto& it : peer_records) {
            candidates[it.first] = {peers.at(it.first), it.second.zone, it.second.cores};
        }
        vms.set_candidates(candidates);
        zone.set_daemons(candidates);
    }

    // A daemon announces itself once it listens, so when a later run announces the owner's address,
    // the owner's process has ended. The same holds for the previous owner.
    void check_for_restarted_owner() {
        const auto& record = ownership.record();
        if (is_replaced(record.holder, record.process_run, record.address)) {
            ownership.holder_ended(record.process_run);
        }
        if (local_owner && is_replaced(previous_holder, previous_run, previous_address)) {
            local_owner->on_previous_owner_ended();
        }
    }

    bool is_replaced(const std::string& holder, const std::string& run,
                     const std::string& address) const {
        const auto it = peer_records.find(holder);
        return it != peer_records.end() && it->second.address.text() == address &&
               detail::began_later(run, it->second.run);
    }

    // Computes the delay of a takeover. Of the daemons with the most cores, the one with the
    // fastest connection to the store has the shortest delay.
    void set_stagger() {
        double strongest = settings.cores;
        for (const auto& it : peer_records) {
            strongest = std::max(strongest, it.second.cores);
        }
        const double weakness = 1.0 - settings.cores / strongest;
        const base::milliseconds wait(static_cast<std::int64_t>(
            weakness * static_cast<double>(weakest_daemon_delay.count())));
        stagger = std::min(write_time * stagger_factor, max_stagger) + wait;
    }

    // Hands over to a daemon with `hand_over_strength_ratio` times as many cores or, if this daemon
    // is overloaded, to any daemon with at least as many. The successor has to answer a probe
    // first.
    void hand_over_if_better() {
        if (!local_owner || stopping) {
            lag.reset();
            return;
        }
        const bool lagging = lag.lag() > max_lag;
        const double min_strength = settings.cores * (lagging ? 1.0 : hand_over_strength_ratio);
        const bool settled = clock.now() - owner_since > min_ownership_time;
        const auto better =
            std::find_if(peer_records.begin(), peer_records.end(),
                         [&](const auto& it) { return it.second.cores >= min_strength; });
        if (!settled || probing_successor || better == peer_records.end()) {
            return;
        }
        probing_successor = true;
        const auto successor = next_successor(min_strength);
        peers.at(successor)->probe(probe_timeout, alive.guard([this, successor,
                                                               lagging](peer_liveness liveness) {
            probing_successor = false;
            if (liveness == peer_liveness::answers && local_owner) {
                spdlog::info("event=handing_over to={} lagging={} lag_ms={}", successor, lagging,
                             std::chrono::duration_cast<base::milliseconds>(lag.lag()).count());
                ownership.defer_takeover_until(clock.now() + takeover_pause_after_lag);
                release_row();
            }
        }));
    }

    // Cycles through the daemons that have enough cores, since one of them may not answer.
    std::string next_successor(double min_strength) {
        auto it = peer_records.upper_bound(last_successor);
        for (std::size_t i = 0; i <= peer_records.size(); ++i) {
            if (it == peer_records.end()) {
                it = peer_records.begin();
            }
            if (it->second.cores >= min_strength) {
                break;
            }
            ++it;
        }
        last_successor = it->first;
        return it->first;
    }

    void probe_owner() {
        const auto record = ownership.record();
        const auto it = peers.find(record.holder);
        if (local_owner || stopping || it == peers.end()) {
            return;
        }
        it->second->probe(probe_timeout,
                          alive.guard([this, run = record.process_run](peer_liveness liveness) {
                              if (liveness == peer_liveness::refused) {
                                  ownership.holder_refused(run);
                              } else if (liveness == peer_liveness::answers) {
                                  owner_last_answer = clock.now();
                                  owner_answered_run = run;
                                  unanswered_probes = 0;
                                  ownership.holder_responsive(run);
                              } else if (++unanswered_probes >= max_unanswered_probes) {
                                  ownership.holder_unresponsive(run);
                              }
                          }));
    }

    void on_owner_row(const fleet::stored_row& row) {
        auto record = fleet::decode_owner(row.value);
        if (!record && !row.removed) {
            spdlog::error("event=row_unreadable table=fleet row=owner");
            record = fleet::unknown_owner(ownership.record());
        }
        const fleet::owner_record previous_record = ownership.record();
        const std::string& holder_before = previous_record.holder;
        ownership.row_read(record, row.version, clock.now());
        owner_row_read_at = clock.now();
        if (ownership.record().holder != holder_before) {
            spdlog::info("event=owner_changed holder={} fence={}", ownership.record().holder,
                         ownership.record().token.value());
        }
    }

    void on_tick() {
        if (was_paused()) {
            paused_until = clock.now();
            spdlog::warn(
                "event=paused for_ms={} owner={}",
                std::chrono::duration_cast<base::milliseconds>(paused_until - last_tick).count(),
                local_owner != nullptr);
        }
        last_tick = clock.now();
        lag.tick(clock.now());
        hand_over_if_better();
        if (local_owner && !ownership.owns()) {
            spdlog::warn("event=ownership_lost holder={}", ownership.record().holder);
            stop_ownership();
        }
        if (!local_owner && ownership.owns() && ownership.record().token == last_owner_token) {
            // A job accepted under this token counts as not started yet, which holds for the first
            // task with the token only.
            ownership.step_down();
        }
        if (!local_owner && ownership.owns() && configured && layout.known() &&
            ownership.may_issue_commands(clock.now())) {
            start_ownership();
        }
        ownership.set_stagger(stagger + (store.direct_path_works() ? no_pause : cut_off_delay));
        const auto step = ownership.next(clock.now());
        if (step == fleet::ownership::step::none) {
            return;
        }
        if (step == fleet::ownership::step::acquire) {
            previous_holder = ownership.record().holder;
            previous_run = ownership.record().process_run;
            previous_address = ownership.record().address;
            previous_vm_count = ownership.record().vm_count;
            previous_vm_set = ownership.record().vm_set;
            previous_vm_record = ownership.record().vm_record_checksum;
            const bool is_first_owner = ownership.record().token == fleet::fencing_token(0);
            earlier_owners_ended = is_first_owner || ownership.record().earlier_owners_ended;
        }
        // The figures of the previous record are kept until this owner has its own.
        fleet::owner_record record = ownership.record();
        record.holder = settings.vm_name;
        record.process_run = settings.run;
        record.address = settings.peers.text();
        record.overloaded.clear();  // of an owner that has ended
        if (step == fleet::ownership::step::acquire) {
            record.token = ownership.next_fencing_token();
            record.earlier_owners_ended = earlier_owners_ended && ownership.previous_owner_ended();
        }
        if (local_owner) {
            local_owner->describe(record, ++last_count);
            vms.set_vm_count(record.vm_count);
        }
        write_owner(record);
    }

    // Figures that do not fit into a row are omitted: without its row, no daemon owns the fleet.
    std::string owner_row_value(const fleet::owner_record& record) {
        const std::size_t limit = settings.owner.limits.row_bytes;
        std::string value = encode_owner(record);
        if (value.size() <= limit) {
            return value;
        }
        metrics.count("cranberrydock_rows_too_large_total", "table=\"fleet\"");
        if (large_row_log_limiter.allows(clock.now())) {
            spdlog::error("event=row_too_large table=fleet row=owner bytes={} limit={}",
                          value.size(), limit);
        }
        fleet::owner_record reduced = record;
        reduced.waiting_jobs.reset();
        value = encode_owner(reduced);
        if (value.size() > limit) {
            reduced.overloaded.clear();
            reduced.labels.clear();
            value = encode_owner(reduced);
        }
        return value;
    }

    void write_owner(const fleet::owner_record& record) {
        const auto sent = clock.now();
        fleet::row_transaction transaction;
        transaction.conditions.push_back({owner_row(), ownership.condition()});
        transaction.puts.push_back({owner_row(), owner_row_value(record)});
        // The rows that `record` names; only those that have changed are written.
        std::vector<std::string> vm_record;
        if (local_owner && record.vm_record_checksum) {
            vm_record = local_owner->vm_record_parts();
            add_changed_parts(vm_record, transaction);
        }
        store.commit(
            transaction, owner_write_timeout,
            alive.guard([this, record, sent, vm_record = std::move(vm_record)](const auto& answer) {
                if (answer) {
                    on_store_answered();
                    ownership.written(*answer, record, sent);
                    owner_row_read_at = clock.now();
                    if (!vm_record.empty()) {
                        stored_vm_record = vm_record;
                    }
                    return;
                }
                stored_vm_record.clear();
                const auto& error = answer.error();
                ownership.failed(clock.now());
                metrics.count("cranberrydock_ownership_write_failures_total", "");
                if (error.failure == fleet::store_failure::conflict) {
                    for (const auto& it : error.rows) {
                        on_owner_row(it);
                    }
                }
            }));
    }

    void add_changed_parts(const std::vector<std::string>& vm_record,
                           fleet::row_transaction& transaction) const {
        for (std::size_t part = 0; part < vm_record.size(); ++part) {
            if (part >= stored_vm_record.size() || stored_vm_record[part] != vm_record[part]) {
                transaction.puts.push_back({vm_record_row(part), vm_record[part]});
            }
        }
    }

    void start_ownership() {
        owner_since = clock.now();
        last_owner_token = ownership.record().token;
        lag.reset();
        owner_settings task_settings = settings.owner;
        task_settings.previous_owner_validity = settings.ownership.validity;
        task_settings.earlier_owners_ended = earlier_owners_ended;
        task_settings.expected_vms = previous_vm_count;
        task_settings.expected_vm_set = previous_vm_set;
        task_settings.expected_vm_record = previous_vm_record;
        task_settings.members_complete_from = members_complete_from;
        vms.set_vm_count(previous_vm_count);
        stored_vm_record.clear();
        local_owner = std::make_unique<owner_task>(loop, store, vms, rows, layout, advisors, *this,
                                                   last_owner_token, task_settings, metrics);
        local_owner->configure(configured);
        if (ownership.previous_owner_ended()) {
            local_owner->on_previous_owner_ended();
        }
    }

    // Ends the owner's task and drops commands that have not been sent yet.
    void stop_ownership() {
        local_owner.reset();
        vms.drop_queued_commands();
    }

    // Ends the owner's task on the next turn of the loop, since the task is the caller.
    void schedule_end_of_ownership() {
        ownership.store_unreadable();
        end_ownership_timer = loop.after(base::duration{0}, [this] { stop_ownership(); });
    }

    // Writes this daemon's row, from which the other daemons learn its address.
    void announce() {
        fleet::row_transaction transaction;
        transaction.puts.push_back(
            {daemon_row(settings.vm_name),
             detail::encode_daemon({settings.peers, settings.run, settings.cores, settings.zone})});
        const auto sent = clock.now();
        store.commit(
            transaction, owner_write_timeout, alive.guard([this, sent](const auto& answer) {
                if (!answer) {
                    announce_timer = loop.after(announce_retry_pause, [this] { announce(); });
                    return;
                }
                write_time = std::chrono::duration_cast<base::milliseconds>(clock.now() - sent);
                set_stagger();
            }));
    }

    // Releases the owner's row if this daemon holds it, and removes this daemon's row if it is
    // being stopped. Ends the owner's task, so that no command is issued afterwards.
    void release_row() {
        fleet::row_transaction transaction;
        if (stopping) {
            transaction.removals.push_back(daemon_row(settings.vm_name));
        }
        if (ownership.owns()) {
            fleet::owner_record free = ownership.record();
            free.holder.clear();
            free.overloaded.clear();
            transaction.conditions.push_back({owner_row(), ownership.condition()});
            transaction.puts.push_back({owner_row(), owner_row_value(free)});
            ownership.step_down();
        }
        stop_ownership();
        store.commit(transaction, hand_over_timeout, [](const auto& answer) {
            spdlog::info("event=handed_over ok={}", answer.has_value());
        });
    }

    bool ready() const {
        return configured && layout.known() && !stopping &&
               clock.now() - store_answered_at < settings.store_response_timeout;
    }

    void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        spdlog::info("event=stopping owner={}", local_owner != nullptr);
        release_row();
        ownership.retire();
        finish = loop.after(settings.drain, [this] { stopped(); });
    }

    net::event_loop& loop;
    net::http_client& http;
    fleet::row_store& direct;
    fleet::placement_advisor& own_advisor;
    relayed_store store;
    zone_reader zone;  // reads the configuration through the readers of the region
    shared_feed configuration_feed;
    relayed_vm_control vms;
    command_relay relay;  // for peers that own the fleet
    const fleet::platform_rows& rows;
    daemon_settings settings;
    base::metrics& metrics;
    std::function<void()> stopped;
    base::suspend_aware_clock clock;

    fleet::ownership ownership;
    job_layout layout;  // by the store
    advisor_pool advisors;
    job_api callers;
    detail::rows_listener configuration_rows;
    detail::rows_listener fleet_rows;
    table_follower configurations;
    bool configurations_started = false;  // set once the readers have been determined
    table_follower fleet_follower;
    std::shared_ptr<const fleet::fleet_configuration> configured;
    // The other daemons, by VM name.
    std::map<std::string, std::shared_ptr<peer>> peers;
    std::map<std::string, detail::daemon_record> peer_records;
    base::milliseconds write_time{0};  // duration of the write that announced this daemon
    base::milliseconds stagger{0};     // delay of a takeover by this daemon
    detail::lag_meter lag{ownership_tick};
    base::time_point owner_since{};
    base::time_point last_tick = clock.now();
    // The end of the last pause of this process. An owner issues no commands until it has renewed
    // its row after this time.
    base::time_point paused_until{};
    bool probing_successor = false;
    std::string last_successor;
    // From the owner's row that this daemon took over.
    std::string previous_holder;
    std::string previous_run;
    std::string previous_address;
    std::size_t previous_vm_count = 0;
    std::optional<fleet::vm_set_digest> previous_vm_set;
    std::optional<std::uint64_t> previous_vm_record;
    // The rows of the VM record as this daemon has written them last; empty if not known.
    std::vector<std::string> stored_vm_record;
    bool earlier_owners_ended = false;      // those before the owner of that row
    fleet::fencing_token last_owner_token;  // of the latest owner's task of this process
    std::int64_t last_count = 0;            // number of the last count of waiting jobs
    base::log_rate_limiter large_row_log_limiter{"row_too_large", 1};  // lines per second
    std::unique_ptr<owner_task> local_owner;
    base::time_point store_answered_at{};
    bool store_unreachable = false;  // reads have failed since then
    base::time_point members_complete_from{};
    base::time_point owner_row_read_at{};
    base::time_point owner_last_answer{};  // when the owner last answered a probe
    std::string owner_answered_run;
    int unanswered_probes = 0;  // consecutive probes of the owner
    bool stopping = false;
    std::unique_ptr<net::timer> tick;
    std::unique_ptr<net::timer> probing;
    std::unique_ptr<net::timer> end_ownership_timer;
    std::unique_ptr<net::timer> announce_timer;
    std::unique_ptr<net::timer> layout_timer;
    std::unique_ptr<net::timer> finish;
    lifetime alive;
};

daemon::daemon(net::event_loop& loop, net::http_client& http, fleet::row_store& store,
               fleet::vm_control& vms, fleet::placement_advisor& advisor,
               const fleet::platform_rows& rows, const daemon_settings& settings,
               base::metrics& metrics, std::function<void()> stopped)
    : state_(std::make_unique<state>(loop, http, store, vms, advisor, rows, settings, metrics,
                                     std::move(stopped))) {}

daemon::~daemon() = default;

job_api& daemon::callers() {
    return state_->callers;
}

peer_services& daemon::services_for_peers() {
    return *state_;
}

bool daemon::ready() const {
    return state_->ready();
}

bool daemon::shutting_down() const {
    return state_->stopping;
}

void daemon::stop() {
    state_->stop();
}

}  // namespace cranberrydock::fleet_daemon
