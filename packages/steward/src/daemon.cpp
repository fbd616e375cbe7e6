// One daemon of the fleet: its parts and how they are tied together.
#include <cranberrydock/steward/daemon.hpp>
#include <cranberrydock/steward/job_parts.hpp>
#include <cranberrydock/steward/order_relay.hpp>
#include <cranberrydock/steward/relayed_store.hpp>
#include <cranberrydock/steward/zone_reader.hpp>

#include "daemon_record.hpp"
#include "lag_meter.hpp"
#include "rows_listener.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::steward {
namespace {

constexpr base::milliseconds follow_wait{500};  // also how soon a lost store is noticed
constexpr base::milliseconds ownership_tick{50};
// Others take the fleet over from an owner that has been silent for 0.9 s at the earliest.
constexpr base::milliseconds longest_pause{700};
constexpr base::milliseconds owner_write_timeout{1'200};
constexpr base::milliseconds hand_over_timeout{2'000};
constexpr base::milliseconds configuration_wait{1'000};  // a lost answer costs no more than this
// News of the configuration that is older than this is not handed on to others. A question waits
// for a second, and the next one's answer is a second further on.
constexpr base::milliseconds oldest_shared_news{2'500};
constexpr base::milliseconds no_pause{0};
constexpr base::milliseconds ask_owner_timeout{350};
constexpr base::milliseconds tell_owner_timeout{350};
constexpr base::milliseconds probe_period{200};
constexpr base::milliseconds probe_timeout{400};
// An owner that has answered no probe for so long is not relied on.
constexpr base::milliseconds owner_silence{600};
constexpr int silent_probes_until_gone = 2;
// Entries of VMs lapse after three missed heartbeats, each a second or more.
constexpr base::milliseconds entries_lapse_after{3'000};
// The store is asked for changes of the daemons all the time, each question for half a second.
constexpr base::milliseconds store_answers_for{1'000};
constexpr base::milliseconds announce_retry{500};
// Takers wait for so many times of what a write takes them.
constexpr int stagger_per_write = 3;
constexpr base::milliseconds longest_stagger{250};  // a write may have met a busy store

// A daemon that is weaker than the strongest leaves a takeover to the others for up to so long.
constexpr base::milliseconds weakest_wait{3'500};
// The same for a daemon that reaches the store only through others: it would load the jobs slowly.
constexpr base::milliseconds cut_off_wait{1'500};
// An owner whose events wait for so long on average can't keep up: another daemon does better.
constexpr base::milliseconds longest_lag{300};
// After giving the fleet up for that, a daemon leaves it to others for so long.
constexpr base::milliseconds rest_after_lag{8'000};
// An owner hands over to a daemon that is so many times stronger, once it has owned for a while.
constexpr double much_stronger = 1.5;
constexpr base::milliseconds least_ownership{3'000};

}  // namespace

struct daemon::state final : fleet_view, owner_rights, peer_services {
    state(net::event_loop& event_loop, net::http_client& http_client, fleet::row_store& row_store,
          fleet::vm_control& vm_control, fleet::placement_adviser& placement,
          const fleet::platform_rows& platform, const daemon_settings& limits,
          base::metrics& counters, std::function<void()> on_stopped)
        : loop(event_loop),
          http(http_client),
          direct(row_store),
          own_adviser(placement),
          store(row_store, limits.vm_name, counters),
          zone(store, limits.vm_name, limits.zone, limits.region_zones, limits.strength, counters),
          configuration_feed(event_loop, [this] { return configuration_is_recent(); }),
          vms(event_loop, vm_control, limits.vm_name + "/" + limits.run, limits.relays, counters),
          relay(event_loop, vm_control, limits.run),
          rows(platform),
          settings(limits),
          metrics(counters),
          stopped(std::move(on_stopped)),
          ownership(limits.vm_name, limits.run, limits.ownership),
          layout(limits.job_parts),
          advisers(placement, metrics),
          callers(loop, store, layout, *this, metrics),
          configuration_rows([this](const auto& all) { on_configuration(all); },
                             [this](const auto& changed) { on_configuration(changed); }),
          fleet_rows([this](const auto& all) { on_fleet_table(all); },
                     [this](const auto& changed) { on_fleet_rows(changed); },
                     [this] {
                         store_answered();
                         ownership.row_unchanged(clock.now());
                     },
                     [this] { store_unanswered(); }),
          configurations(loop, zone, rows.configuration_table(), {fleet::part_name("")},
                         configuration_wait, no_pause, configuration_rows, catch_up::by_reading),
          fleet_follower(loop, store, fleet_table, {fleet::part_name("")}, follow_wait, no_pause,
                         fleet_rows) {
        fleet_follower.start();
        tick = loop.every(ownership_tick, [this] { on_tick(); });
        probing = loop.every(probe_period, [this] { probe_owner(); });
        announce();
    }

    // fleet_view
    std::shared_ptr<const fleet::fleet_configuration> configuration() const override {
        return configured;
    }
    const fleet::owner_record& owner() const override { return ownership.record(); }
    base::milliseconds owner_age() const override {
        return std::chrono::duration_cast<base::milliseconds>(clock.now() - owner_heard);
    }
    std::optional<base::milliseconds> count_age() const override {
        const auto counted = ownership.counted_after();
        if (!counted) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<base::milliseconds>(clock.now() - *counted);
    }
    bool shutting_down() const override { return stopping; }

    void ask_owner(const fleet::job_id& job, status_done done) override {
        if (owning) {
            owning->job_status(job, done);
            return;
        }
        const auto it = peers.find(ownership.record().holder);
        if (it == peers.end()) {
            done(std::nullopt);
        } else {
            it->second->job_status(job, ask_owner_timeout, std::move(done));
        }
    }

    void tell_owner(const fleet::job_id& job, const std::string& row, fleet::store_version version,
                    std::function<void()> told) override {
        const auto it = peers.find(ownership.record().holder);
        if (!owning && it != peers.end()) {
            it->second->job_written({job, row, version}, tell_owner_timeout, std::move(told));
            return;
        }
        if (owning) {
            owning->job_written(job, row, version);
        }
        told();
    }

    bool owner_answers() const override {
        const auto& record = ownership.record();
        return !owning && peers.count(record.holder) > 0 && owner_alive_run == record.run &&
               clock.now() - owner_alive < owner_silence;
    }

    bool has_read(const fleet::job_id& job) const override {
        return owning && owning->has_read(job);
    }

    void write_through_owner(const handed_job& what, base::milliseconds timeout,
                             const write_done& done) override {
        peers.at(ownership.record().holder)->write_job(what, timeout, done);
    }

    // peer_services
    void write_job(const handed_job& what, base::milliseconds timeout,
                   const write_done& done) override {
        callers.write(what, timeout, [this, what, done](const write_result& result) {
            if (owning && result.outcome == write_outcome::written) {
                owning->job_written(what.job, what.row, result.version);
            }
            done(result);
        });
    }
    void job_written(const written_job& job) override {
        if (owning) {
            owning->job_written(job.job, job.row, job.version);
        }
    }
    void exchange_orders(const order_batch& batch, exchange_done done) override {
        relay.exchange(batch, std::move(done));
    }
    void follow_configuration(fleet::store_version after, base::milliseconds wait,
                              const fleet::read_done& done) override {
        if (!zone.reads_for_others()) {
            done(tl::unexpected(fleet::store_error{fleet::store_failure::refused, {}}));
            return;
        }
        configuration_feed.follow(after, wait, done);
    }
    bool configuration_is_recent() const {
        return clock.now() - zone.store_news_as_of() <= oldest_shared_news;
    }
    fleet::placement_adviser& adviser() override { return own_adviser; }
    fleet::row_store& direct_store() override { return direct; }
    void job_status(const fleet::job_id& job, status_done done) override {
        if (owning) {
            owning->job_status(job, done);
        } else {
            done(std::nullopt);
        }
    }

    // owner_rights
    bool may_order() override {
        return owning && ownership.valid(clock.now()) && !was_paused() &&
               ownership.renewed() >= paused_until;
    }
    // Whether this process has just been paused for so long that another may own the fleet.
    bool was_paused() const { return clock.now() - last_tick > longest_pause; }
    renewal last_renewal() override { return {ownership.renewed(), ownership.condition()}; }
    bool store_answers() override { return clock.now() - store_heard < store_answers_for; }
    void superseded(const std::string& where) override {
        spdlog::warn("event=owner_superseded by={}", where);
        end_owning_soon();
    }

    void store_answered() {
        const auto now = clock.now();
        const bool was_away = store_away && now - store_heard >= entries_lapse_after;
        if (was_away) {
            members_complete_from = now + members_return_within;
        }
        store_away = false;
        store_heard = now;
    }

    // A process that has never heard of the store can't tell for how long it has been away.
    void store_unanswered() {
        store_away = true;
        ownership.store_unreadable();
    }

    void on_configuration(const std::vector<fleet::stored_row>& found) {
        configuration_feed.heard(found, configurations.handed_on());
        for (const auto& it : found) {
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
            if (owning) {
                owning->configure(configured);
            }
        }
    }

    void on_fleet_table(const std::vector<fleet::stored_row>& found) {
        peers.clear();
        peer_records.clear();
        const bool has_owner = std::any_of(found.begin(), found.end(), [](const auto& it) {
            return it.address.name == owner_row().name;
        });
        if (!has_owner) {
            ownership.row_read(std::nullopt, fleet::store_version(0), clock.now());
        }
        on_fleet_rows(found);
        if (!configurations_started) {
            configurations_started = true;
            configurations.start();
        }
    }

    void on_fleet_rows(const std::vector<fleet::stored_row>& found) {
        bool peers_changed = false;
        for (const auto& it : found) {
            if (!it.address.part.str().empty()) {
                continue;
            }
            if (it.address.name == owner_row().name) {
                on_owner_row(it);
                continue;
            }
            const std::string name = daemon_of(it.address.name);
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
            advisers.set_peers(peers);
            store.set_peers(peers);
            set_relays();
            look_for_restarted_owner();
        }
    }

    void set_relays() {
        std::map<std::string, relay_candidate> candidates;
        for (const auto& it : peer_records) {
            candidates[it.first] = {peers.at(it.first), it.second.zone, it.second.strength};
        }
        vms.set_candidates(candidates);
        zone.set_daemons(candidates);
    }

    // A VM has one daemon: when another run of the owner's has announced itself, the owner's
    // process has ended.
    void look_for_restarted_owner() {
        const auto& record = ownership.record();
        const auto holder = peer_records.find(record.holder);
        if (holder != peer_records.end() && detail::began_later(record.run, holder->second.run)) {
            ownership.holder_ended(record.run);
        }
        const auto former = peer_records.find(former_holder);
        if (owning && former != peer_records.end() &&
            detail::began_later(former_run, former->second.run)) {
            owning->earlier_owner_gone();
        }
    }

    // The nearest to the store of the strongest daemons comes first.
    void set_stagger() {
        double strongest = settings.strength;
        for (const auto& it : peer_records) {
            strongest = std::max(strongest, it.second.strength);
        }
        const double weakness = 1.0 - settings.strength / strongest;
        const base::milliseconds wait(
            static_cast<std::int64_t>(weakness * static_cast<double>(weakest_wait.count())));
        stagger = std::min(write_time * stagger_per_write, longest_stagger) + wait;
    }

    // Gives the fleet to a daemon that serves it better: one that is much stronger, or, when this
    // one can't keep up, any that is as strong.
    void consider_handing_over() {
        if (!owning || stopping) {
            lag.reset();
            return;
        }
        const bool lagging = lag.lag() > longest_lag;
        const double least = settings.strength * (lagging ? 1.0 : much_stronger);
        const bool settled = clock.now() - owning_since > least_ownership;
        const auto better =
            std::find_if(peer_records.begin(), peer_records.end(),
                         [&](const auto& it) { return it.second.strength >= least; });
        if (!settled || probing_successor || better == peer_records.end()) {
            return;
        }
        probing_successor = true;
        const auto successor = next_successor(least);
        peers.at(successor)->probe(probe_timeout, alive.guard([this, successor,
                                                               lagging](peer_life life) {
            probing_successor = false;
            if (life == peer_life::answers && owning) {
                spdlog::info("event=handing_over to={} lagging={} lag_ms={}", successor, lagging,
                             std::chrono::duration_cast<base::milliseconds>(lag.lag()).count());
                ownership.rest_until(clock.now() + rest_after_lag);
                release_row();
            }
        }));
    }

    // Those strong enough in turn, for the first may not answer.
    std::string next_successor(double least) {
        auto it = peer_records.upper_bound(last_successor);
        for (std::size_t i = 0; i <= peer_records.size(); ++i) {
            if (it == peer_records.end()) {
                it = peer_records.begin();
            }
            if (it->second.strength >= least) {
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
        if (owning || stopping || it == peers.end()) {
            return;
        }
        it->second->probe(probe_timeout, alive.guard([this, run = record.run](peer_life life) {
            if (life == peer_life::process_gone) {
                ownership.holder_refused(run);
            } else if (life == peer_life::answers) {
                owner_alive = clock.now();
                owner_alive_run = run;
                silent_probes = 0;
                ownership.holder_answers(run);
            } else if (++silent_probes >= silent_probes_until_gone) {
                ownership.holder_silent(run);
            }
        }));
    }

    void on_owner_row(const fleet::stored_row& row) {
        auto record = fleet::decode_owner(row.value);
        if (!record && !row.removed) {
            spdlog::error("event=row_unreadable table=fleet row=owner");
        }
        const fleet::owner_record before_record = ownership.record();
        const std::string& before = before_record.holder;
        ownership.row_read(record, row.version, clock.now());
        owner_heard = clock.now();
        if (ownership.record().holder != before) {
            spdlog::info("event=owner_changed holder={} fence={}", ownership.record().holder,
                         ownership.record().owner.value());
        }
    }

    void on_tick() {
        if (was_paused()) {
            paused_until = clock.now();
            spdlog::warn(
                "event=paused for_ms={} owner={}",
                std::chrono::duration_cast<base::milliseconds>(paused_until - last_tick).count(),
                owning != nullptr);
        }
        last_tick = clock.now();
        lag.tick(clock.now());
        consider_handing_over();
        if (owning && !ownership.owns()) {
            spdlog::warn("event=ownership_lost holder={}", ownership.record().holder);
            stop_owning();
        }
        if (!owning && ownership.owns() && configured && ownership.valid(clock.now())) {
            begin_owning();
        }
        ownership.set_stagger(stagger + (store.direct_works() ? no_pause : cut_off_wait));
        const auto step = ownership.next(clock.now());
        if (step == fleet::ownership::step::nothing) {
            return;
        }
        if (step == fleet::ownership::step::acquire) {
            former_holder = ownership.record().holder;
            former_run = ownership.record().run;
            former_vms = ownership.record().vm_count;
        }
        // Its figures stand until this owner has its own.
        fleet::owner_record record = ownership.record();
        record.holder = settings.vm_name;
        record.run = settings.run;
        if (step == fleet::ownership::step::acquire) {
            record.owner = ownership.next_fence();
        }
        if (owning) {
            owning->describe(record, ++last_count);
            vms.set_vm_count(record.vm_count);
        }
        write_owner(record);
    }

    void write_owner(const fleet::owner_record& record) {
        const auto sent = clock.now();
        fleet::row_transaction what;
        what.conditions.push_back({owner_row(), ownership.condition()});
        what.puts.push_back({owner_row(), encode_owner(record)});
        store.commit(
            what, owner_write_timeout, alive.guard([this, record, sent](const auto& answer) {
                if (answer) {
                    store_answered();
                    ownership.written(*answer, record, sent);
                    owner_heard = clock.now();
                    return;
                }
                const auto& error = answer.error();
                ownership.failed(error.failure == fleet::store_failure::answer_lost, clock.now());
                metrics.count("cranberrydock_ownership_write_failures_total", "");
                if (error.failure == fleet::store_failure::conflict) {
                    for (const auto& it : error.rows) {
                        on_owner_row(it);
                    }
                }
            }));
    }

    void begin_owning() {
        owning_since = clock.now();
        lag.reset();
        owner_settings limits = settings.owner;
        limits.earlier_owner_valid_for = settings.ownership.valid_for;
        limits.expected_vms = former_vms;
        vms.set_vm_count(former_vms);
        limits.members_complete_from = members_complete_from;
        owning = std::make_unique<owner_task>(loop, store, vms, rows, layout, advisers, *this,
                                              ownership.record().owner, limits, metrics);
        owning->configure(configured);
        if (ownership.earlier_owner_ended()) {
            owning->earlier_owner_gone();
        }
    }

    // Orders that no relay has been handed yet are not given any more.
    void stop_owning() {
        owning.reset();
        vms.drop_waiting();
    }

    void end_owning_soon() {
        ownership.store_unreadable();
        end_owning = loop.after(base::duration{0}, [this] { stop_owning(); });
    }

    // Tells the other daemons where this one is.
    void announce() {
        fleet::row_transaction what;
        what.puts.push_back({daemon_row(settings.vm_name),
                             detail::encode_daemon({settings.peers, settings.run, settings.strength,
                                                    settings.zone})});
        const auto sent = clock.now();
        store.commit(what, owner_write_timeout, alive.guard([this, sent](const auto& answer) {
            if (!answer) {
                announce_again = loop.after(announce_retry, [this] { announce(); });
                return;
            }
            write_time = std::chrono::duration_cast<base::milliseconds>(clock.now() - sent);
            set_stagger();
        }));
    }

    // Frees the owner's row, if this daemon holds it, and takes this daemon's row away when it
    // stops. No order is given after this.
    void release_row() {
        fleet::row_transaction what;
        if (stopping) {
            what.removals.push_back(daemon_row(settings.vm_name));
        }
        if (ownership.owns()) {
            fleet::owner_record free = ownership.record();
            free.holder.clear();
            what.conditions.push_back({owner_row(), ownership.condition()});
            what.puts.push_back({owner_row(), encode_owner(free)});
            ownership.give_up();
        }
        stop_owning();
        store.commit(what, hand_over_timeout, [](const auto& answer) {
            spdlog::info("event=handed_over ok={}", answer.has_value());
        });
    }

    bool ready() const {
        return configured && !stopping && clock.now() - store_heard < settings.store_silence;
    }

    void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        spdlog::info("event=stopping owner={}", owning != nullptr);
        release_row();
        ownership.retire();
        finish = loop.after(settings.drain, [this] { stopped(); });
    }

    net::event_loop& loop;
    net::http_client& http;
    fleet::row_store& direct;
    fleet::placement_adviser& own_adviser;
    relayed_store store;
    zone_reader zone;  // the same, but for changes of the configuration
    shared_feed configuration_feed;
    relayed_vms vms;
    order_relay relay;  // for owners among the peers
    const fleet::platform_rows& rows;
    daemon_settings settings;
    base::metrics& metrics;
    std::function<void()> stopped;
    base::suspend_aware_clock clock;

    fleet::ownership ownership;
    job_layout layout;
    adviser_pool advisers;
    entry callers;
    detail::rows_listener configuration_rows;
    detail::rows_listener fleet_rows;
    table_follower configurations;
    bool configurations_started = false;  // once it is known who reads them for others
    table_follower fleet_follower;
    std::shared_ptr<const fleet::fleet_configuration> configured;
    // The other daemons, by the names of their VMs.
    std::map<std::string, std::shared_ptr<peer>> peers;
    std::map<std::string, detail::daemon_record> peer_records;
    base::milliseconds write_time{0};  // of a write to the store
    base::milliseconds stagger{0};     // for which this daemon leaves a takeover to others
    detail::lag_meter lag{ownership_tick};
    base::time_point owning_since{};
    base::time_point last_tick = clock.now();
    // An owner gives no orders before it has renewed its row after this.
    base::time_point paused_until{};
    bool probing_successor = false;
    std::string last_successor;
    std::string former_holder;  // of the row that this daemon took over
    std::string former_run;
    std::size_t former_vms = 0;   // that its owner knew
    std::int64_t last_count = 0;  // of waiting jobs
    std::unique_ptr<owner_task> owning;
    base::time_point store_heard{};
    bool store_away = false;  // it has not answered since
    base::time_point members_complete_from{};
    base::time_point owner_heard{};
    base::time_point owner_alive{};  // when it last answered a probe
    std::string owner_alive_run;
    int silent_probes = 0;  // of the owner, in a row
    bool stopping = false;
    std::unique_ptr<net::timer> tick;
    std::unique_ptr<net::timer> probing;
    std::unique_ptr<net::timer> end_owning;
    std::unique_ptr<net::timer> announce_again;
    std::unique_ptr<net::timer> finish;
    lifetime alive;
};

daemon::daemon(net::event_loop& loop, net::http_client& http, fleet::row_store& store,
               fleet::vm_control& vms, fleet::placement_adviser& adviser,
               const fleet::platform_rows& rows, const daemon_settings& settings,
               base::metrics& metrics, std::function<void()> stopped)
    : state_(std::make_unique<state>(loop, http, store, vms, adviser, rows, settings, metrics,
                                     std::move(stopped))) {}

daemon::~daemon() = default;

entry& daemon::callers() {
    return state_->callers;
}

peer_services& daemon::for_peers() {
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

}  // namespace cranberrydock::steward
