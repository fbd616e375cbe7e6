// For any order of reports, lapsed entries, replaced VMs, expired leases, owners and readable or
// lost records: no customer exceeds its limit, no task runs in two places, a new owner withholds
// no more room than the VMs that it misses have, and waits no longer than until the leases of
// previous owners have expired.
#include <cranberrydock/fleet/inherited_vms.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using base::milliseconds;

constexpr int initial_vms = 5;
constexpr int task_count = 30;
constexpr std::int64_t vm_cores = 4;
constexpr std::int64_t limit_cores = 12;  // of the only customer; each task takes one core
constexpr milliseconds lease{4'500};
constexpr milliseconds validity{6'500};
// 4.5 s on a clock that is 4 % slow, and the margin of run_leases.cpp.
constexpr milliseconds longest_expiry{4'888};

int draw_below(int limit) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

fleet::resources cores(std::int64_t n) {
    return {base::millicores(n), base::mebibytes(n), {}, {}};
}

struct machine {
    fleet::vm_info facts;
    bool up = true;
    bool listed = true;
    bool reachable = true;
    double clock_rate = 1.0;
    std::int64_t token = 0;                // the highest that it has received
    std::map<int, base::time_point> runs;  // the end of each task's lease, on the test's clock
};

// What an owner knows, and what its row shows.
struct owner {
    std::int64_t token = 1;
    base::time_point since;
    base::time_point renewal_sent;
    std::unique_ptr<fleet::inherited_leases> leases;
    std::unique_ptr<fleet::inherited_vms> vms;
    std::set<std::string> seen;                 // listed here
    std::map<std::string, std::set<int>> runs;  // by reports and by its own starts
    std::set<std::string> reported;
    std::set<std::string> expected;  // the ids of the previous owner's record, if that is readable
    bool has_record = false;
    bool was_known = false;
};

struct owner_row {
    std::size_t count = 0;
    std::optional<fleet::vm_set_digest> set;
    std::optional<fleet::vm_record> record;
    std::set<std::string> ids;  // of the record
    base::time_point written;
};

class world {
public:
    world() {
        for (int i = 0; i < initial_vms; ++i) {
            add_vm("127.0.0.1:" + std::to_string(i));
        }
        begin_owner(true);
    }

    void step() {
        switch (draw_below(15)) {
            case 0:
                replace_vm();
                break;
            case 1:
                any_vm().listed = draw_below(2) == 0;
                break;
            case 2:
                any_vm().reachable = draw_below(2) == 0;
                break;
            case 3:
                renew();
                break;
            case 4:
            case 5:
                list_vms();
                break;
            case 6:
            case 7:
                exchange_reports();
                break;
            case 8:
            case 9:
                start_tasks();
                break;
            case 10:
                if (draw_below(3) == 0) {
                    change_owner();
                }
                break;
            default:
                pass(milliseconds(draw_below(900)));
        }
        previous_owner_acts();
        check();
    }

private:
    void add_vm(const std::string& address) {
        machine out;
        out.facts.id = fleet::vm_id("vm-" + std::to_string(next_vm_++));
        out.facts.address = address;
        out.facts.capacity = cores(vm_cores);
        out.clock_rate = draw_below(2) == 0 ? 0.97 : 1.02;
        machines_.push_back(out);
    }

    // A VM ends, and another one takes its place at its address or elsewhere.
    void replace_vm() {
        machine& ended = any_vm();
        if (!ended.up) {
            return;
        }
        ended.up = false;
        ended.listed = false;
        ended.runs.clear();
        add_vm(draw_below(2) == 0 ? ended.facts.address : "10.0.0.1:" + std::to_string(next_vm_));
    }

    machine& any_vm() {
        return machines_[static_cast<std::size_t>(draw_below(static_cast<int>(machines_.size())))];
    }

    void pass(milliseconds time) {
        now_ += time;
        for (auto& it : machines_) {
            for (auto run = it.runs.begin(); run != it.runs.end();) {
                run = run->second <= now_ ? it.runs.erase(run) : std::next(run);
            }
        }
    }

    base::time_point lease_end(const machine& vm) const {
        return now_ + milliseconds(static_cast<std::int64_t>(static_cast<double>(lease.count()) /
                                                             vm.clock_rate));
    }

    void list_vms() {
        for (const auto& it : machines_) {
            if (it.listed) {
                current_.vms->listed(it.facts, now_);
                current_.seen.insert(it.facts.id.str());
            }
        }
        current_.vms->members_read();
    }

    // The VMs that can be reached answer this owner, which renews their leases.
    void exchange_reports() {
        bool all_processed = !current_.seen.empty();
        for (auto& it : machines_) {
            const std::string& id = it.facts.id.str();
            if (current_.seen.count(id) == 0) {
                continue;
            }
            if (!it.up || !it.reachable) {
                current_.vms->unresponsive(it.facts.id);
                continue;
            }
            if (it.token > current_.token) {
                continue;
            }
            it.token = std::max(it.token, current_.token);
            if (!current_.vms->is_on_record(it.facts.id, current_.renewal_sent)) {
                all_processed = false;
                continue;
            }
            current_.vms->reported(it.facts.id, now_, true);
            current_.reported.insert(id);
            auto& known = current_.runs[id];
            known.clear();
            for (auto& run : it.runs) {
                run.second = lease_end(it);
                known.insert(run.first);
            }
        }
        if (all_processed && now_ >= current_.since + validity + longest_expiry) {
            RC_ASSERT(runs_known(current_));
        }
    }

    // The model's owners extend no lease on a VM before they have processed its report.
    bool runs_known(const owner& by) const {
        return by.vms->runs_known(now_, now_, [](const fleet::vm_id& /*vm*/) { return true; });
    }

    void renew() {
        row_.count = std::max(current_.was_known ? 0 : row_.count, current_.seen.size());
        row_.record = current_.vms->record();
        row_.set =
            row_.record ? std::optional<fleet::vm_set_digest>(row_.record->digest()) : std::nullopt;
        row_.ids = current_.seen;
        if (!current_.was_known) {
            row_.ids.insert(current_.expected.begin(), current_.expected.end());
        }
        row_.written = now_;
        pass(milliseconds(1));
        current_.renewal_sent = row_.written;
        pass(milliseconds(1));
    }

    void begin_owner(bool is_first) {
        current_.since = now_;
        current_.renewal_sent = now_;
        current_.leases = std::make_unique<fleet::inherited_leases>(
            fleet::lease_settings{}, now_, is_first ? milliseconds(0) : validity);
        // Earlier versions write no record, and a record may be lost.
        const bool readable = row_.record && draw_below(4) != 0;
        current_.vms = std::make_unique<fleet::inherited_vms>(
            fleet::previous_vms{row_.count, row_.set, {}}, *current_.leases, now_);
        current_.has_record = readable;
        current_.expected = row_.ids;
        current_.vms->record_read(readable ? row_.record : std::nullopt);
    }

    void change_owner() {
        previous_ = std::move(current_);
        current_ = owner{};
        current_.token = previous_.token + 1;
        begin_owner(false);
        // What the owners do is compared only up to their next change.
        previous_until_ = previous_.renewal_sent + validity;
    }

    // A previous owner starts and renews on VMs that have not received a newer token.
    void previous_owner_acts() {
        if (!previous_.vms || now_ >= previous_until_) {
            return;
        }
        for (auto& it : machines_) {
            if (!it.up || it.token > previous_.token ||
                previous_.reported.count(it.facts.id.str()) == 0) {
                continue;
            }
            for (auto& run : it.runs) {
                run.second = lease_end(it);
            }
        }
        if (previous_.was_known && draw_below(3) == 0) {
            start_for(previous_, 1);
        }
    }

    static std::int64_t in_use_by(const owner& it) {
        std::int64_t out = 0;
        for (const auto& vm : it.runs) {
            out += static_cast<std::int64_t>(vm.second.size());
        }
        return out;
    }

    void start_tasks() { start_for(current_, 3); }

    void start_for(owner& by, int count) {
        by.was_known = by.was_known || runs_known(by);
        fleet::resources unseen;
        if (!by.was_known) {
            unseen = by.vms->missing_capacity(cores(vm_cores), now_) + by.vms->silent_capacity();
        }
        for (int i = 0; i < count; ++i) {
            // New work has task numbers of its own for each owner.
            const bool inherited = by.was_known && draw_below(2) == 0;
            const int task = inherited ? draw_below(task_count) : next_new_task_;
            bool is_running = false;
            for (const auto& it : by.runs) {
                is_running = is_running || it.second.count(task) > 0;
            }
            if (is_running || in_use_by(by) + unseen.cores.value() + 1 > limit_cores) {
                continue;
            }
            for (auto& it : machines_) {
                const std::string& id = it.facts.id.str();
                if (by.reported.count(id) > 0 && it.up && it.reachable && it.token <= by.token &&
                    by.vms->is_on_record(it.facts.id, by.renewal_sent) &&
                    it.runs.size() < static_cast<std::size_t>(vm_cores) &&
                    by.runs[id].size() < static_cast<std::size_t>(vm_cores)) {
                    it.token = by.token;
                    it.runs[task] = lease_end(it);
                    by.runs[id].insert(task);
                    next_new_task_ += inherited ? 0 : 1;
                    break;
                }
            }
        }
    }

    void check() {
        std::map<int, int> places;
        std::int64_t running = 0;
        for (const auto& it : machines_) {
            running += static_cast<std::int64_t>(it.runs.size());
            for (const auto& run : it.runs) {
                RC_ASSERT(++places[run.first] == 1);
            }
        }
        RC_ASSERT(running <= limit_cores);
        if (current_.has_record && !current_.seen.empty()) {
            std::int64_t unlisted = 0;
            for (const auto& it : current_.expected) {
                unlisted += current_.seen.count(it) > 0 ? 0 : vm_cores;
            }
            RC_ASSERT(current_.vms->missing_capacity(cores(vm_cores), now_).cores.value() <=
                      unlisted);
        }
    }

    base::time_point now_{std::chrono::seconds(100)};
    std::vector<machine> machines_;
    int next_vm_ = 0;
    int next_new_task_ = task_count;
    owner_row row_;
    owner current_;
    owner previous_;
    base::time_point previous_until_{};
};

}  // namespace

RC_GTEST_PROP(only_unseen_runs, delay_new_owner, ()) {
    constexpr int fleets = 20;
    constexpr int steps = 300;
    for (int i = 0; i < fleets; ++i) {
        world fleet;
        for (int step = 0; step < steps; ++step) {
            fleet.step();
        }
    }
}
