// Plays one interleaving of owners, the store and VMs.
#include "takeover_model.hpp"

#include <cranberrydock/fleet/inherited_vms.hpp>
#include <cranberrydock/fleet/scheduler.hpp>

#include "fleet_test_data.hpp"
#include "fleet_vm.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace cranberrydock::standins {
namespace {

using base::duration;
using base::milliseconds;
using base::time_point;
using fleet::command_failure;
using fleet::ownership;

constexpr milliseconds tick{50};
constexpr milliseconds max_pause{700};
constexpr milliseconds write_timeout{1'200};
constexpr milliseconds longest_delay_of_write{6'000};
constexpr milliseconds longest_delay_of_command{6'000};
constexpr milliseconds follow_wait{500};
constexpr milliseconds retry_pause{100};
constexpr milliseconds probe_period{200};
constexpr milliseconds watch_wait{700};
constexpr milliseconds watch_margin{600};
constexpr milliseconds watch_retry_pause{150};
constexpr milliseconds start_timeout{400};
constexpr milliseconds members_period{250};
constexpr milliseconds decide_period{250};
constexpr milliseconds member_expiry_time{3'000};
constexpr milliseconds member_return_time{2'500};
constexpr milliseconds faults_from{1'500};
constexpr milliseconds faults_until{10'000};
// After the last fault begins: its longest duration, a takeover, and the expiry of inherited leases
// with the time that a VM takes to end its runs.
constexpr milliseconds end_of_play{30'000};
constexpr double slowest_clock = 0.98;
constexpr double fastest_clock = 1.02;
constexpr int tasks_per_vm = 4;

struct owner_row {
    fleet::store_version version;
    std::shared_ptr<const std::optional<fleet::owner_record>> record =
        std::make_shared<const std::optional<fleet::owner_record>>();
};

// A machine of a daemon: its clock, and its paths to the store and the VMs.
struct machine {
    double clock_rate = 1.0;
    duration clock_offset{0};
    bool store_cut = false;
    double store_fault_rate = 0.0;
    std::string announced_run;
    std::string announced_address;
};

struct path {
    bool requests_cut = false;
    bool answers_cut = false;
    bool refuses = false;  // a cut path fails at once instead of after the timeout
};

struct vm_node {
    vm_node(const fleet::vm_info& facts, double rate, milliseconds stop)
        : vm(
              facts,
              [](const auto&, auto) {
                  return task_behavior{std::chrono::hours(1), false, 0, {}};
              },
              stop),
          clock_rate(rate),
          stop_time(stop) {}

    fleet_vm vm;
    double clock_rate;
    milliseconds stop_time;
    bool listed = true;
    std::vector<path> paths;  // by machine
    fleet::completion_number reported;
};

struct ended_run {
    std::size_t vm = 0;
    fleet::run_number run;
    duration ended_at{0};
    bool reported = false;
};

struct process;

struct session {
    fleet::vm_info facts;
    std::size_t vm;
    fleet::vm_leases leases;
    fleet::completion_number last_listed;
    int failures = 0;
    bool listed = true;
    bool expiry_reported = true;
};

struct owner_task {
    owner_task(time_point now, fleet::fencing_token owner, const fleet::previous_vms& previous,
               const fleet::lease_settings& lease_settings, milliseconds validity)
        : token(owner),
          leases(lease_settings),
          inherited(leases, now, validity),
          vms(previous, inherited, now),
          scheduler(owner, {}, metrics) {}

    fleet::fencing_token token;
    fleet::lease_settings leases;
    base::metrics metrics;
    fleet::inherited_leases inherited;
    fleet::inherited_vms vms;
    fleet::scheduler scheduler;
    std::map<fleet::vm_id, std::shared_ptr<session>> sessions;
    struct early_report {
        fleet::vm_report report;
        time_point watch_sent_at;
    };
    std::map<fleet::vm_id, early_report> early_reports;
    std::map<fleet::vm_id, bool> members;  // as delivered last
    bool members_known = false;
    bool jobs_known = false;
    bool inherited_known = false;
    bool earlier_owners_ended = false;
    bool decision_due = false;
    time_point last_decision{};
    std::size_t expected_vms = 0;
    std::optional<std::uint64_t> expected_record;
    std::uint64_t record_revision = 0;
    std::optional<fleet::vm_set_digest> vm_set;
    std::optional<std::uint64_t> vm_record_checksum;
    std::vector<std::string> vm_parts;
};

struct process {
    process(std::size_t on, const std::string& vm_name, const std::string& run_name,
            const std::string& listen)
        : on_machine(on),
          name(vm_name),
          run(run_name),
          address(listen),
          owner(vm_name, run_name, listen, {}) {}

    std::size_t on_machine;
    std::string name;
    std::string run;
    std::string address;
    ownership owner;
    bool up = true;
    bool stopping = false;
    duration paused_to{0};  // on the model's clock
    time_point last_tick{};
    time_point paused_until{};
    time_point store_answered_at{};
    bool store_unreachable = false;
    time_point members_complete_from{};
    int unanswered_probes = 0;
    int delivered = 0;  // changes of the fleet's table
    bool waits_for_change = false;
    // By machine, as delivered last: the daemon's run and its address.
    std::vector<std::pair<std::string, std::string>> announced;
    std::string previous_holder;
    std::string previous_run;
    std::string previous_address;
    std::size_t previous_vm_count = 0;
    std::optional<fleet::vm_set_digest> previous_vm_set;
    std::optional<std::uint64_t> previous_vm_record;
    std::vector<std::string> stored_vm_record;
    bool earlier_owners_ended = false;
    fleet::fencing_token last_owner_token;
    std::shared_ptr<owner_task> task;
};

class play {
public:
    play(const takeover_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed) {
        const std::size_t machines = 2 + draw(2);
        for (std::size_t i = 0; i < machines; ++i) {
            machines_.push_back(
                {draw_rate(fastest_clock), milliseconds(draw(5'000)), false, 0.0, {}, {}});
        }
        const std::size_t vms = 2 + draw(2);
        for (std::size_t i = 0; i < vms; ++i) {
            add_vm(i, machines);
        }
        const int tasks = 2 + draw(3);
        for (int i = 0; i < tasks; ++i) {
            jobs_.push_back(make_job("job-" + std::to_string(i), "urgent", {make_step(1, 1'000)}));
            jobs_.back().accepted_under = fleet::fencing_token(1);
            jobs_.back().steps.front().long_running = draw(2) == 0;
        }
        late_command_rate_ = draw(3) == 0 ? 0.15 : 0.01;
        for (std::size_t i = 0; i < machines; ++i) {
            begin_process(i, milliseconds(i == 0 ? 0 : 30 + draw(300)));
        }
        draw_faults();
    }

    takeover_outcome run() {
        while (!events_.empty() && events_.front().at < end_of_play) {
            std::pop_heap(events_.begin(), events_.end());
            const event next = std::move(events_.back());
            events_.pop_back();
            now_ = std::max(now_, next.at);
            next.action();
        }
        return outcome_;
    }

private:
    using event_action = std::function<void()>;
    struct event {
        duration at;
        std::uint64_t number;
        event_action action;
        friend bool operator<(const event& a, const event& b) {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };

    // Random choices.
    int draw(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
    bool chance(double probability) {
        return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < probability;
    }
    double draw_rate(double likely) {
        return draw(2) == 0
                   ? likely
                   : slowest_clock + (fastest_clock - slowest_clock) * draw(1'000) / 1'000.0;
    }
    duration transit() {
        return chance(0.05) ? milliseconds(20 + draw(250)) : duration(500 + draw(8'000));
    }

    // Time and events.
    void at(duration time, event_action what) {
        events_.push_back({std::max(time, now_), ++event_count_, std::move(what)});
        std::push_heap(events_.begin(), events_.end());
    }
    void after(duration delay, event_action what) { at(now_ + delay, std::move(what)); }
    // On the process's event loop: not while it is paused, and not once it has ended.
    void post(process& it, duration delay, event_action what) {
        after(delay, [this, &it, what = std::move(what)] { run_in(it, what); });
    }
    void run_in(process& it, const event_action& what) {
        if (!it.up) {
            return;
        }
        if (now_ < it.paused_to) {
            at(it.paused_to + duration(draw(3'000)), [this, &it, what] { run_in(it, what); });
            return;
        }
        what();
    }
    // A timer of the process, whose clock has another rate.
    void post_timer(process& it, duration delay, event_action what) {
        const double rate = machines_[it.on_machine].clock_rate;
        post(it, duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) / rate)),
             std::move(what));
    }
    void post_in_task(process& it, duration delay, std::function<void(owner_task&)> what) {
        post_timer(it, delay, [task = std::weak_ptr<owner_task>(it.task), what = std::move(what)] {
            if (const auto held = task.lock()) {
                what(*held);
            }
        });
    }
    time_point clock_of(const process& it) const {
        const machine& on = machines_[it.on_machine];
        return time_point(std::chrono::seconds(100)) + on.clock_offset +
               duration(
                   static_cast<std::int64_t>(static_cast<double>(now_.count()) * on.clock_rate));
    }
    fleet::clock_reading reading_of(const process& it) const {
        return {clock_of(it), fleet::unix_time(1'000'000 + now_.count() / 1'000)};
    }

    // VMs.
    void add_vm(std::size_t number, std::size_t machines) {
        fleet::vm_info facts;
        facts.id = fleet::vm_id("vm-" + std::to_string(number));
        facts.address = "10.0.0.1:" + std::to_string(1 + number);
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(1'000 * tasks_per_vm);
        facts.boot = fleet::boot_time(1);
        const auto bound = static_cast<int>(settings_.max_stop_time.count());
        milliseconds stop(draw(4) == 0 ? draw(bound + 1) : bound);
        if (settings_.stop_excess.count() > 0) {
            stop = settings_.max_stop_time +
                   milliseconds(draw(static_cast<int>(settings_.stop_excess.count()) + 1));
        }
        auto node = std::make_unique<vm_node>(facts, draw_rate(slowest_clock), stop);
        node->paths.resize(machines);
        vms_.push_back(std::move(node));
    }

    static duration on_play_clock(const vm_node& node, std::int64_t vm_clock) {
        return duration(static_cast<std::int64_t>(
            static_cast<double>((vm_clock - vm_clock_offset) * 1'000) / node.clock_rate));
    }

    // Ends the runs whose time is over.
    void advance(std::size_t number) {
        vm_node& node = *vms_[number];
        const auto target =
            vm_clock_offset + static_cast<std::int64_t>(static_cast<double>(now_.count()) *
                                                        node.clock_rate / 1'000.0);
        const auto by = target - node.vm.now().value();
        if (by <= 0) {
            return;
        }
        for (const auto& it : node.vm.running()) {
            const auto end = it.second.ends_at
                                 ? it.second.ends_at->value()
                                 : node.vm.lease_until().value() + node.stop_time.count();
            if (end < target) {
                ends_[it.first].push_back(
                    {number, it.second.number, on_play_clock(node, end + 1), false});
            }
        }
        node.vm.advance(milliseconds(by));
    }

    void advance_all() {
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            advance(i);
        }
    }

    fleet::vm_report report_of(std::size_t number) {
        advance(number);
        vm_node& node = *vms_[number];
        const auto report = node.vm.watch(node.vm.fencing_token(), {});
        for (const auto& it : report->completions) {
            for (auto& end : ends_[it.task]) {
                end.reported = end.reported || (end.vm == number && end.run == it.run);
            }
        }
        return *report;
    }

    tl::expected<fleet::vm_time, command_failure> carry_out_start(
        std::size_t number, fleet::fencing_token owner, const fleet::start_command& command) {
        advance_all();
        vm_node& node = *vms_[number];
        const bool was_running = node.vm.running().count(command.task) > 0;
        auto out = node.vm.start(owner, command);
        if (out && !was_running) {
            check_start(number, owner, command);
        }
        return out;
    }

    void check_start(std::size_t number, fleet::fencing_token owner,
                     const fleet::start_command& command) {
        const auto describe = [&](std::size_t earlier_vm, fleet::run_number earlier) {
            return to_string(command.task) + " run " + std::to_string(command.run.value()) +
                   " of owner " + std::to_string(owner.value()) + " on vm-" +
                   std::to_string(number) + " at " + std::to_string(now_.count() / 1'000) +
                   " ms, run " + std::to_string(earlier.value()) + " on vm-" +
                   std::to_string(earlier_vm);
        };
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const auto& running = vms_[i]->vm.running();
            const auto other = running.find(command.task);
            if (i == number || other == running.end()) {
                continue;
            }
            const auto end = other->second.ends_at
                                 ? other->second.ends_at->value()
                                 : vms_[i]->vm.lease_until().value() + vms_[i]->stop_time.count();
            const auto overlap =
                std::chrono::duration_cast<milliseconds>(on_play_clock(*vms_[i], end + 1) - now_);
            if (overlap > outcome_.longest_overlap || outcome_.in_two_places.empty()) {
                outcome_.longest_overlap = std::max(outcome_.longest_overlap, overlap);
                outcome_.in_two_places = describe(i, other->second.number) + " for another " +
                                         std::to_string(overlap.count()) + " ms";
            }
        }
        const auto& ends = ends_[command.task];
        outcome_.restarts += ends.empty() ? 0 : 1;
        bool by_expiry = false;
        for (const auto& it : ends) {
            if (it.reported || it.vm == number) {
                continue;
            }
            by_expiry = true;
            if (now_ - it.ended_at < outcome_.smallest_margin) {
                outcome_.smallest_margin = now_ - it.ended_at;
                outcome_.at_smallest_margin = describe(it.vm, it.run) + " ended at " +
                                              std::to_string(it.ended_at.count() / 1'000) + " ms";
            }
        }
        outcome_.restarts_by_expiry += by_expiry ? 1 : 0;
    }

    // Sends a command to the VM. `apply` runs on the VM and returns the answer, which leaves the VM
    // after `wait`.
    template <typename Answer>
    void call(process& from, std::size_t number, duration timeout, std::function<Answer()> apply,
              const std::function<duration()>& wait, std::function<Answer()> late_answer,
              std::function<void(Answer)> done) {
        const path& way = vms_[number]->paths[from.on_machine];
        const auto fail = [this, &from, done](duration when, command_failure why) {
            post(from, when, [done, why] { done(tl::make_unexpected(why)); });
        };
        if (way.requests_cut) {
            fail(way.refuses ? transit() : timeout,
                 way.refuses ? command_failure::not_delivered : command_failure::answer_lost);
            return;
        }
        if (chance(late_command_rate_)) {
            after(milliseconds(draw(longest_delay_of_command.count())), [apply] { apply(); });
            fail(timeout, command_failure::answer_lost);
            return;
        }
        after(transit(), [this, &from, number, timeout, apply, wait, late_answer, done, fail] {
            const Answer first = apply();
            const duration held = first ? wait() : duration{0};
            after(held, [this, &from, number, timeout, held, first, late_answer, done, fail] {
                const Answer answer = first ? late_answer() : first;
                if (vms_[number]->paths[from.on_machine].answers_cut || chance(0.005)) {
                    fail(std::max(duration{0}, timeout - held), command_failure::answer_lost);
                } else {
                    post(from, transit(), [done, answer] { done(answer); });
                }
            });
        });
    }

    // The store.
    struct commit_request {
        fleet::store_version condition;
        fleet::owner_record record;
        std::map<std::size_t, std::string> vm_parts;
    };
    using commit_answer = std::function<void(tl::expected<fleet::store_version, bool>)>;

    bool apply(const commit_request& request) {
        if (request.condition != row_.version) {
            return false;
        }
        row_.version = fleet::store_version(++store_version_);
        row_.record = std::make_shared<const std::optional<fleet::owner_record>>(
            fleet::decode_owner(fleet::encode_owner(request.record)));
        for (const auto& it : request.vm_parts) {
            vm_parts_[it.first] = it.second;
        }
        on_changed();
        return true;
    }

    // The error of an answer: whether the write conflicts.
    void commit(process& from, const commit_request& request, const commit_answer& done) {
        machine& on = machines_[from.on_machine];
        const auto fail = [this, &from, done](duration when) {
            post(from, when, [done] { done(tl::make_unexpected(false)); });
        };
        const bool faulty = chance(on.store_fault_rate + 0.002);
        if (on.store_cut || (faulty && draw(3) == 0)) {
            fail(draw(2) == 0 ? duration(write_timeout) : transit());
            return;
        }
        if (faulty && draw(2) == 0) {
            after(milliseconds(draw(longest_delay_of_write.count())),
                  [this, request] { apply(request); });
            fail(write_timeout);
            return;
        }
        after(transit(), [this, &from, request, done, fail, faulty] {
            const bool applied = apply(request);
            if (faulty || machines_[from.on_machine].store_cut) {
                fail(write_timeout);
                return;
            }
            const auto version = row_.version;
            post(from, transit(), [this, &from, done, applied, version, seen = row_] {
                if (applied) {
                    done(version);
                    return;
                }
                done(tl::make_unexpected(true));
                on_row(from, seen);
            });
        });
    }

    // Follows the owner's row and the rows of the daemons.
    void follow(process& it) {
        const machine& on = machines_[it.on_machine];
        if (on.store_cut || chance(on.store_fault_rate)) {
            post(it, follow_wait + milliseconds(draw(300)), [this, &it] {
                it.store_unreachable = true;
                it.owner.store_unreadable();
                post_timer(it, retry_pause, [this, &it] { follow(it); });
            });
            return;
        }
        after(transit(), [this, &it, until = now_ + follow_wait] { answer_follow(it, until); });
    }

    void answer_follow(process& it, duration until) {
        if (it.delivered == changes_ && now_ < until) {
            it.waits_for_change = true;
            at(until, [this, &it, change = it.delivered] {
                if (it.delivered == change && it.waits_for_change) {
                    send_changes(it);
                }
            });
            return;
        }
        send_changes(it);
    }

    void on_changed() {
        ++changes_;
        for (const auto& it : processes_) {
            if (it->waits_for_change) {
                send_changes(*it);
            }
        }
    }

    void send_changes(process& it) {
        it.waits_for_change = false;
        const duration slow = chance(0.03) ? milliseconds(draw(900)) : duration{0};
        post(it, transit() + slow, [this, &it, seen = row_, daemons = announced(), n = changes_] {
            it.delivered = n;
            on_store_answered(it);
            it.owner.row_unchanged(clock_of(it));
            on_row(it, seen);
            if (it.announced != daemons) {
                it.announced = daemons;
                check_for_restarted_owner(it);
            }
            follow(it);
        });
    }

    std::vector<std::pair<std::string, std::string>> announced() const {
        std::vector<std::pair<std::string, std::string>> out;
        for (const auto& it : machines_) {
            out.emplace_back(it.announced_run, it.announced_address);
        }
        return out;
    }

    // The daemon.
    void begin_process(std::size_t on_machine, duration delay) {
        after(delay, [this, on_machine] {
            processes_.push_back(
                std::make_unique<process>(on_machine, "machine-" + std::to_string(on_machine),
                                          std::to_string(++next_run_), free_address(on_machine)));
            process& it = *processes_.back();
            it.announced.resize(machines_.size());
            it.last_tick = clock_of(it);
            follow(it);
            on_tick(it);
            probe_owner(it);
            announce(it);
        });
    }

    // An address at which no other process of the machine listens.
    std::string free_address(std::size_t on_machine) const {
        for (int port = 1;; ++port) {
            std::string out = std::to_string(on_machine) + ":" + std::to_string(port);
            if (std::none_of(processes_.begin(), processes_.end(),
                             [&](const auto& it) { return it->up && it->address == out; })) {
                return out;
            }
        }
    }

    void announce(process& it) {
        if (machines_[it.on_machine].store_cut) {
            post_timer(it, write_timeout, [this, &it] { announce(it); });
            return;
        }
        const duration delay =
            chance(0.05) ? duration(milliseconds(draw(longest_delay_of_write.count()))) : transit();
        after(delay, [this, &it] {
            machines_[it.on_machine].announced_run = it.run;
            machines_[it.on_machine].announced_address = it.address;
            on_changed();
        });
    }

    void on_store_answered(process& it) {
        const auto now = clock_of(it);
        if (it.store_unreachable && now - it.store_answered_at >= member_expiry_time) {
            it.members_complete_from = now + member_return_time;
        }
        it.store_unreachable = false;
        it.store_answered_at = now;
    }

    void on_row(process& it, const owner_row& row) {
        it.owner.row_read(*row.record, row.version, clock_of(it));
    }

    void check_for_restarted_owner(process& it) {
        const auto began_later = [](const std::string& earlier, const std::string& later) {
            return earlier.size() == later.size() ? earlier < later : earlier.size() < later.size();
        };
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const std::string name = "machine-" + std::to_string(i);
            const auto& [run, address] = it.announced[i];
            if (i == it.on_machine || run.empty()) {
                continue;
            }
            const auto& record = it.owner.record();
            if (record.holder == name && record.address == address &&
                began_later(record.process_run, run)) {
                it.owner.holder_ended(record.process_run);
            }
            if (it.task && it.previous_holder == name && it.previous_address == address &&
                began_later(it.previous_run, run)) {
                on_previous_owner_ended(it);
            }
        }
    }

    void probe_owner(process& it) {
        const auto& record = it.owner.record();
        if (!it.task && !it.stopping && !record.holder.empty() && record.holder != it.name) {
            bool listens = false;
            bool answers = false;
            for (const auto& other : processes_) {
                if (other->name == record.holder && other->up) {
                    listens = true;
                    answers = answers || now_ >= other->paused_to;
                }
            }
            const bool is_refused = !listens || chance(0.02);
            if (is_refused) {
                it.owner.holder_refused(record.process_run);
            } else if (answers && !chance(0.02)) {
                it.unanswered_probes = 0;
                it.owner.holder_responsive(record.process_run);
            } else if (++it.unanswered_probes >= 2) {
                it.owner.holder_unresponsive(record.process_run);
            }
        }
        post_timer(it, probe_period, [this, &it] { probe_owner(it); });
    }

    bool was_paused(const process& it) const { return clock_of(it) - it.last_tick > max_pause; }

    bool may_issue_commands(const process& it) const {
        return it.task && it.owner.may_issue_commands(clock_of(it)) && !was_paused(it) &&
               it.owner.last_renewal_sent() >= it.paused_until;
    }

    void on_tick(process& it) {
        const auto now = clock_of(it);
        if (was_paused(it)) {
            it.paused_until = now;
        }
        it.last_tick = now;
        if (it.task && !it.owner.owns()) {
            it.task.reset();
        }
        if (!it.task && it.owner.owns() && it.owner.record().token == it.last_owner_token) {
            it.owner.step_down();
        }
        if (!it.task && it.owner.owns() && it.owner.may_issue_commands(now)) {
            start_ownership(it);
        }
        if (it.task) {
            tick_task(it, *it.task);
        }
        const auto step = it.owner.next(now);
        if (step != ownership::step::none) {
            write_owner(it, step == ownership::step::acquire);
        }
        post_timer(it, tick, [this, &it] { on_tick(it); });
    }

    void write_owner(process& it, bool acquires) {
        if (acquires) {
            const auto& previous = it.owner.record();
            it.previous_holder = previous.holder;
            it.previous_run = previous.process_run;
            it.previous_address = previous.address;
            it.previous_vm_count = previous.vm_count;
            it.previous_vm_set = previous.vm_set;
            it.previous_vm_record = previous.vm_record_checksum;
            it.earlier_owners_ended =
                previous.token == fleet::fencing_token(0) || previous.earlier_owners_ended;
        }
        commit_request request;
        request.record = it.owner.record();
        request.record.holder = it.name;
        request.record.process_run = it.run;
        request.record.address = it.address;
        if (acquires) {
            request.record.token = it.owner.next_fencing_token();
            request.record.earlier_owners_ended =
                it.earlier_owners_ended && it.owner.previous_owner_ended();
        }
        std::vector<std::string> vm_record;
        if (it.task) {
            describe(*it.task, clock_of(it), request.record);
            if (request.record.vm_record_checksum) {
                vm_record = it.task->vm_parts;
                for (std::size_t part = 0; part < vm_record.size(); ++part) {
                    if (part >= it.stored_vm_record.size() ||
                        it.stored_vm_record[part] != vm_record[part]) {
                        request.vm_parts[part] = vm_record[part];
                    }
                }
            }
        }
        request.condition = it.owner.condition();
        const auto sent = clock_of(it);
        commit(it, request,
               [this, &it, record = request.record, sent, vm_record](const auto& answer) {
                   if (answer) {
                       on_store_answered(it);
                       it.owner.written(*answer, record, sent);
                       if (!vm_record.empty()) {
                           it.stored_vm_record = vm_record;
                       }
                       return;
                   }
                   it.stored_vm_record.clear();
                   it.owner.failed(clock_of(it));
               });
    }

    static void describe(owner_task& task, time_point now, fleet::owner_record& record) {
        record.earlier_owners_ended = task.inherited.commands_ended(now);
        const std::size_t vms = task.sessions.size();
        record.vm_count = task.inherited_known ? vms : std::max(vms, task.expected_vms);
        if (task.record_revision != task.vms.revision()) {
            task.record_revision = task.vms.revision();
            task.vm_set.reset();
            task.vm_record_checksum.reset();
            task.vm_parts.clear();
            if (const auto on_record = task.vms.record()) {
                task.vm_set = on_record->digest();
                task.vm_parts = fleet::encode_vm_record(*on_record);
                task.vm_record_checksum = fleet::checksum_of(task.vm_parts);
            }
        }
        record.vm_set = task.vm_set;
        record.vm_record_checksum = task.vm_record_checksum;
    }

    void start_ownership(process& it) {
        ++outcome_.owners;
        it.last_owner_token = it.owner.record().token;
        fleet::lease_settings leases;
        leases.lease = settings_.lease;
        leases.max_stop_time = settings_.max_stop_time;
        it.task = std::make_shared<owner_task>(
            clock_of(it), it.last_owner_token,
            fleet::previous_vms{it.previous_vm_count, it.previous_vm_set, it.members_complete_from},
            leases, fleet::ownership_settings{}.validity);
        owner_task& task = *it.task;
        task.earlier_owners_ended = it.earlier_owners_ended;
        task.expected_vms = it.previous_vm_count;
        task.expected_record = it.previous_vm_record;
        it.stored_vm_record.clear();
        task.scheduler.configure(configuration_);
        read_vm_record(it);
        read_members(it);
        read_jobs(it);
        if (it.owner.previous_owner_ended()) {
            on_previous_owner_ended(it);
        }
    }

    void on_previous_owner_ended(process& it) {
        if (it.task->earlier_owners_ended) {
            it.task->inherited.on_previous_owner_ended(clock_of(it));
        }
    }

    void stop(process& it) {
        it.stopping = true;
        if (it.owner.owns()) {
            commit_request request;
            request.record = it.owner.record();
            request.record.holder.clear();
            request.condition = it.owner.condition();
            it.owner.step_down();
            commit(it, request, [](const auto&) {});
        }
        it.task.reset();
        it.owner.retire();
    }

    void on_superseded(process& it) {
        it.owner.store_unreadable();
        post(it, duration{0}, [&it] { it.task.reset(); });
    }

    // The owner's task: loading.
    duration read_delay(const process& it) {
        const machine& on = machines_[it.on_machine];
        const bool slow = on.store_cut || chance(on.store_fault_rate);
        return transit() + transit() + (slow ? milliseconds(1'000 + draw(3'000)) : duration{0});
    }

    void read_vm_record(process& it) {
        if (!it.task->expected_record) {
            it.task->vms.record_read(std::nullopt);
            return;
        }
        post_in_task(it, read_delay(it), [this](owner_task& task) {
            const bool matches = fleet::checksum_of(vm_parts_) == *task.expected_record;
            task.vms.record_read(matches ? fleet::decode_vm_record(vm_parts_) : std::nullopt);
        });
    }

    void read_jobs(process& it) {
        post_in_task(it, read_delay(it) + milliseconds(draw(800)), [this, &it](owner_task& task) {
            for (const auto& job : jobs_) {
                const auto saved = progress_.find(job.id);
                task.scheduler.add_job(job, saved == progress_.end() ? nullptr : &saved->second,
                                       job.accepted_under < task.token, reading_of(it));
            }
            task.jobs_known = true;
            process_early_reports(it, task);
            wake(it, task);
        });
    }

    void read_members(process& it) {
        const duration delay =
            it.task->members_known ? members_period + read_delay(it) : read_delay(it);
        post_in_task(it, delay, [this, &it](owner_task& task) {
            if (!machines_[it.on_machine].store_cut) {
                on_members(it, task);
            }
            read_members(it);
        });
    }

    void on_members(process& it, owner_task& task) {
        bool changed = !task.members_known;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const auto& facts = vms_[i]->vm.facts();
            const auto known = task.members.find(facts.id);
            const bool was_listed = known != task.members.end() && known->second;
            if (was_listed == vms_[i]->listed) {
                continue;
            }
            changed = true;
            task.members[facts.id] = vms_[i]->listed;
            const auto held = task.sessions.find(facts.id);
            if (!vms_[i]->listed) {
                if (held != task.sessions.end()) {
                    held->second->listed = false;
                }
                continue;
            }
            task.scheduler.vm_listed(facts);
            task.vms.listed(facts, clock_of(it));
            if (held != task.sessions.end()) {
                held->second->listed = true;
                continue;
            }
            const auto added = std::make_shared<session>(
                session{facts, i, fleet::vm_leases(task.leases, task.inherited), {}});
            task.sessions[facts.id] = added;
            send_watch(it, task, added);
        }
        if (!changed) {
            return;
        }
        if (!task.members_known) {
            task.members_known = true;
            it.owner.renew_soon();
        }
        task.vms.members_read();
        wake(it, task);
    }

    // The owner's task: sessions with VMs.
    void send_watch_later(process& it, const std::shared_ptr<session>& to, duration pause) {
        post_in_task(it, pause, [this, &it, weak = std::weak_ptr<session>(to)](owner_task& task) {
            if (const auto held = weak.lock()) {
                send_watch(it, task, held);
            }
        });
    }

    void send_watch(process& it, owner_task& task, const std::shared_ptr<session>& to) {
        if (!may_issue_commands(it)) {
            send_watch_later(it, to, watch_retry_pause);
            return;
        }
        const auto sent_at = clock_of(it);
        fleet::watch_command command;
        if (to->leases.has_report() && to->failures == 0) {
            command.lease_until = to->leases.grant(sent_at);
            command.wait = watch_wait;
            command.acknowledged = task.scheduler.acknowledgeable_completion(to->facts.id);
        }
        using answer_type = tl::expected<fleet::vm_report, command_failure>;
        const std::size_t number = to->vm;
        call<answer_type>(
            it, number, command.wait + watch_margin,
            [this, number, owner = task.token, command]() -> answer_type {
                advance(number);
                return vms_[number]->vm.watch(owner, command);
            },
            [this, number, command]() -> duration {
                return vms_[number]->vm.unacknowledged().empty()
                           ? duration(
                                 milliseconds(draw(static_cast<int>(command.wait.count()) + 1)))
                           : duration{0};
            },
            [this, number]() -> answer_type { return report_of(number); },
            [this, &it, sent_at, weak_task = std::weak_ptr<owner_task>(it.task),
             weak = std::weak_ptr<session>(to)](const answer_type& answer) {
                const auto held_task = weak_task.lock();
                const auto held = weak.lock();
                if (!held_task || !held) {
                    return;
                }
                if (answer) {
                    on_answer(it, *held_task, held, sent_at, *answer);
                } else {
                    on_failure(it, *held_task, held, answer.error());
                }
            });
    }

    void on_answer(process& it, owner_task& task, const std::shared_ptr<session>& from,
                   time_point sent_at, const fleet::vm_report& report) {
        if (from->failures >= 1) {
            task.scheduler.vm_reachable(from->facts.id, true);
        }
        from->failures = 0;
        from->expiry_reported = false;
        from->leases.on_report(report.now, clock_of(it), !report.running.empty());
        if (!report.completions.empty()) {
            from->last_listed = report.completions.back().number;
        }
        on_report(it, task, from->facts.id, report, sent_at);
        if (report.completions.empty()) {
            send_watch(it, task, from);
        } else {
            send_watch_later(it, from, milliseconds(20 + draw(230)));
        }
    }

    void on_report(process& it, owner_task& task, const fleet::vm_id& vm,
                   const fleet::vm_report& report, time_point sent_at) {
        if (!task.jobs_known || !task.vms.is_on_record(vm, it.owner.last_renewal_sent())) {
            task.early_reports[vm] = {report, sent_at};
            return;
        }
        task.early_reports.erase(vm);
        task.vms.reported(vm, sent_at, report.lists_all_completions());
        task.scheduler.vm_reported(vm, report, sent_at, reading_of(it));
        wake(it, task);
    }

    void process_early_reports(process& it, owner_task& task) {
        if (!task.jobs_known || task.early_reports.empty()) {
            return;
        }
        const auto early = std::exchange(task.early_reports, {});
        for (const auto& report : early) {
            on_report(it, task, report.first, report.second.report, report.second.watch_sent_at);
        }
    }

    void on_failure(process& it, owner_task& task, const std::shared_ptr<session>& from,
                    command_failure failure) {
        if (failure == command_failure::stale_fencing_token) {
            on_superseded(it);
            return;
        }
        const fleet::vm_id vm = from->facts.id;
        if (++from->failures == 1) {
            task.vms.unresponsive(vm);
            task.scheduler.vm_reachable(vm, false);
            wake(it, task);
        }
        const auto now = clock_of(it);
        if (!from->leases.all_expired(it.owner.last_renewal_sent())) {
            send_watch_later(it, from, watch_retry_pause);
            return;
        }
        if (!from->listed || !from->expiry_reported) {
            task.early_reports.erase(vm);
            task.scheduler.vm_lost(vm, "lease_lapsed", from->leases.expiry(now), reading_of(it));
            wake(it, task);
            if (!from->listed) {
                task.vms.gone(vm);
                task.sessions.erase(vm);
                return;
            }
            from->expiry_reported = true;
            task.scheduler.vm_listed(from->facts);
            task.vms.report_outdated(vm);
        }
        send_watch_later(it, from, watch_retry_pause);
    }

    // The owner's task: decisions.
    void tick_task(process& it, owner_task& task) {
        process_early_reports(it, task);
        const auto now = clock_of(it);
        const auto renewal_sent = it.owner.last_renewal_sent();
        const auto own_leases_expired = [&](const fleet::vm_id& vm) {
            const auto found = task.sessions.find(vm);
            return found == task.sessions.end() || found->second->leases.all_expired(renewal_sent);
        };
        if (!task.inherited_known && task.members_known && task.jobs_known &&
            task.vms.runs_known(now, renewal_sent, own_leases_expired)) {
            task.inherited_known = true;
            task.scheduler.inherited_runs_reported(reading_of(it));
            wake(it, task);
        }
        if (now - task.last_decision > decide_period) {
            decide(it, task);
        }
    }

    void wake(process& it, owner_task& task) {
        if (!task.decision_due) {
            task.decision_due = true;
            post_in_task(it, milliseconds(2), [this, &it](owner_task& held) {
                held.decision_due = false;
                decide(it, held);
            });
        }
    }

    void decide(process& it, owner_task& task) {
        if (!may_issue_commands(it) || !task.jobs_known || !task.members_known) {
            return;
        }
        task.last_decision = clock_of(it);
        const auto decided = task.scheduler.decide(reading_of(it), {});
        for (const auto& stop : decided.stops) {
            send_stop(it, task, stop);
        }
        for (const auto& start : decided.starts) {
            send_start(it, task, start);
        }
        for (const auto& unsaved : task.scheduler.take_unsaved_jobs(reading_of(it))) {
            write_progress(progress_[unsaved.job], unsaved.progress);
            task.scheduler.progress_saved(unsaved.job, unsaved.change);
        }
    }

    void send_start(process& it, owner_task& task, const fleet::start_decision& decision) {
        const auto held = task.sessions.find(decision.vm);
        if (held == task.sessions.end() || !may_issue_commands(it) ||
            !task.vms.is_on_record(decision.vm, it.owner.last_renewal_sent())) {
            task.scheduler.start_answered(decision.vm, decision.task, decision.run,
                                          tl::make_unexpected(command_failure::not_delivered),
                                          reading_of(it));
            return;
        }
        fleet::start_command command;
        command.task = decision.task;
        command.run = decision.run;
        command.lease_until = held->second->leases.grant(clock_of(it));
        using answer_type = tl::expected<fleet::vm_time, command_failure>;
        const std::size_t number = held->second->vm;
        send<answer_type>(
            it, number, start_timeout,
            [this, number, owner = task.token, command] {
                return carry_out_start(number, owner, command);
            },
            [this, &it, decision](owner_task& by, const answer_type& answer) {
                by.scheduler.start_answered(decision.vm, decision.task, decision.run, answer,
                                            reading_of(it));
            });
    }

    void send_stop(process& it, owner_task& task, const fleet::stop_decision& decision) {
        const auto held = task.sessions.find(decision.vm);
        if (held == task.sessions.end()) {
            return;
        }
        using answer_type = tl::expected<fleet::vm_time, command_failure>;
        const std::size_t number = held->second->vm;
        send<answer_type>(
            it, number, start_timeout,
            [this, number, owner = task.token, decision] {
                advance(number);
                return vms_[number]->vm.stop(owner, decision.task, decision.run);
            },
            [this, &it, decision](owner_task& by, const answer_type& answer) {
                by.scheduler.stop_answered(decision.vm, decision.task, decision.run, answer,
                                           reading_of(it));
            });
    }

    template <typename Answer>
    void send(process& it, std::size_t number, duration timeout, std::function<Answer()> apply,
              std::function<void(owner_task&, const Answer&)> done) {
        const auto result = std::make_shared<Answer>();
        call<Answer>(
            it, number, timeout, [apply, result] { return *result = apply(); },
            [] { return duration{0}; }, [result] { return *result; },
            [this, &it, done, weak = std::weak_ptr<owner_task>(it.task)](const Answer& answer) {
                const auto held = weak.lock();
                if (!held) {
                    return;
                }
                if (!answer && answer.error() == command_failure::stale_fencing_token) {
                    on_superseded(it);
                    return;
                }
                done(*held, answer);
                wake(it, *held);
            });
    }

    // Faults.
    process* owning_process() {
        process* out = nullptr;
        for (const auto& it : processes_) {
            if (it->up && it->task && (out == nullptr || it->task->token > out->task->token)) {
                out = it.get();
            }
        }
        return out;
    }

    void draw_faults() {
        const int faults = 1 + draw(5);
        for (int i = 0; i < faults; ++i) {
            const milliseconds from(
                faults_from.count() +
                draw(static_cast<int>(faults_until.count() - faults_from.count())));
            at(from, [this] { begin_fault(); });
        }
        // Faults of several kinds at one moment show the most.
        const milliseconds together(
            faults_from.count() +
            draw(static_cast<int>(faults_until.count() - faults_from.count())));
        const int spread = draw(2) == 0 ? 50 : 1'000;
        at(together + milliseconds(draw(spread)), [this] { disturb_vm(); });
        at(together + milliseconds(draw(spread)), [this] { disturb_owner(); });
        switch (draw(4)) {
            case 0:
                at(together + milliseconds(draw(spread)), [this] { disturb_store_of_all(); });
                break;
            case 1:
                at(together + milliseconds(draw(spread)), [this] { partition_owner(); });
                break;
            default:
                break;
        }
    }

    void begin_fault() {
        switch (draw(5)) {
            case 0:
                disturb_owner();
                break;
            case 1:
                disturb_store();
                break;
            case 2:
                lapse_entry();
                break;
            default:
                disturb_vm();
        }
    }

    milliseconds fault_time() { return milliseconds(draw(3) == 0 ? draw(1'500) : draw(14'000)); }

    void disturb_vm() {
        vm_node& node = *vms_[static_cast<std::size_t>(draw(static_cast<int>(vms_.size())))];
        path cut;
        const int kind = draw(4);
        cut.requests_cut = kind != 0;
        cut.answers_cut = kind != 1;
        cut.refuses = draw(2) == 0;
        const bool from_all = draw(2) == 0;
        const auto machine = static_cast<std::size_t>(draw(static_cast<int>(machines_.size())));
        for (std::size_t i = 0; i < node.paths.size(); ++i) {
            if (from_all || i == machine) {
                node.paths[i] = cut;
                after(fault_time(), [&node, i] { node.paths[i] = {}; });
            }
        }
    }

    void disturb_store() {
        auto& it = machines_[static_cast<std::size_t>(draw(static_cast<int>(machines_.size())))];
        if (draw(2) == 0) {
            it.store_cut = true;
        } else {
            it.store_fault_rate = 0.3 + 0.2 * draw(4);
        }
        after(fault_time(), [&it] {
            it.store_cut = false;
            it.store_fault_rate = 0.0;
        });
    }

    void disturb_store_of_all() {
        for (auto& it : machines_) {
            it.store_fault_rate = 0.2 + 0.2 * draw(4);
            after(fault_time(), [&it] { it.store_fault_rate = 0.0; });
        }
    }

    // The owner keeps some of the VMs, and the other daemons the store and the other VMs.
    void partition_owner() {
        const process* const it = owning_process();
        if (it == nullptr) {
            return;
        }
        machine& on = machines_[it->on_machine];
        on.store_cut = true;
        after(fault_time(), [&on] { on.store_cut = false; });
        for (const auto& node : vms_) {
            const bool is_kept = draw(2) == 0;
            for (std::size_t i = 0; i < node->paths.size(); ++i) {
                if (is_kept != (i == it->on_machine)) {
                    node->paths[i] = {true, true, draw(2) == 0};
                    after(fault_time(), [&way = node->paths[i]] { way = {}; });
                }
            }
        }
    }

    void lapse_entry() {
        vm_node& node = *vms_[static_cast<std::size_t>(draw(static_cast<int>(vms_.size())))];
        node.listed = false;
        after(fault_time(), [&node] { node.listed = true; });
    }

    void disturb_owner() {
        process* const it = owning_process();
        if (it == nullptr) {
            return;
        }
        const auto replace_after = [this, it](duration delay) {
            begin_process(it->on_machine, delay);
        };
        switch (draw(settings_.overlapping_processes ? 8 : 6)) {
            case 0:
            case 1:
            case 2:  // ends, and restarts as its own successor, mostly at once
                it->up = false;
                it->task.reset();
                replace_after(milliseconds(draw(2) == 0 ? draw(100) : draw(4'000)));
                break;
            case 3:
            case 4: {
                pause(*it);
                break;
            }
            case 5: {  // is stopped; its replacement starts once it has ended
                stop(*it);
                const milliseconds drain(draw(3'000));
                after(drain, [it] { it->up = false; });
                replace_after(drain + milliseconds(draw(500)));
                break;
            }
            case 6:  // is stopped, and goes on beside its replacement
                stop(*it);
                after(milliseconds(3'000), [it] { it->up = false; });
                replace_after(milliseconds(draw(1'000)));
                break;
            default:  // is paused beside its replacement, or just not ended yet
                if (draw(3) != 0) {
                    pause(*it);
                }
                replace_after(milliseconds(draw(1'000)));
                after(milliseconds(draw(12'000)), [it] {
                    it->up = false;
                    it->task.reset();
                });
        }
    }

    void pause(process& it) {
        it.paused_to = now_ + milliseconds(draw(2) == 0 ? draw(750) : draw(7'000));
    }

    static constexpr std::int64_t vm_clock_offset = 1'000;  // where a VM's clock starts

    takeover_settings settings_;
    std::mt19937_64 random_;
    duration now_{0};
    std::vector<event> events_;  // a heap
    std::uint64_t event_count_ = 0;
    std::shared_ptr<const fleet::fleet_configuration> configuration_ =
        std::make_shared<const fleet::fleet_configuration>(two_queue_configuration());
    std::vector<machine> machines_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<std::unique_ptr<vm_node>> vms_;
    std::vector<fleet::job_spec> jobs_;
    std::map<fleet::job_id, fleet::job_progress> progress_;
    std::map<fleet::task_ref, std::vector<ended_run>> ends_;  // by task
    owner_row row_;
    std::vector<std::string> vm_parts_ = std::vector<std::string>(fleet::vm_record_parts);
    int changes_ = 1;  // of the owner's row and of those of the daemons
    std::int64_t store_version_ = 0;
    int next_run_ = 1'000;
    double late_command_rate_ = 0.0;
    takeover_outcome outcome_;
};

}  // namespace

takeover_outcome play_takeovers(const takeover_settings& settings, std::uint64_t seed) {
    return play(settings, seed).run();
}

}  // namespace cranberrydock::standins
