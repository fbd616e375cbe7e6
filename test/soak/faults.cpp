// Draws the faults of a soak.
#include "faults.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cranberrydock::soak {
namespace {

struct weighted_kind {
    fault_kind kind;
    double weight;
    const char* name;
};

constexpr std::array<weighted_kind, 11> kinds{{
    {fault_kind::kill_daemon, 3, "kill_daemon"},
    {fault_kind::stop_daemon, 2, "stop_daemon"},
    {fault_kind::pause_daemon, 3, "pause_daemon"},
    {fault_kind::hang_up_daemon, 1, "hang_up_daemon"},
    {fault_kind::crash_vm, 3, "crash_vm"},
    {fault_kind::store_refuses, 1, "store_refuses"},
    {fault_kind::store_silent, 1, "store_silent"},
    {fault_kind::lose_answers, 2, "lose_answers"},
    {fault_kind::forget_history, 1, "forget_history"},
    {fault_kind::change_key, 1, "change_key"},
    {fault_kind::link, 8, "link"},
}};

constexpr std::array<const char*, 5> link_faults{"delay", "reset", "silence", "black_hole",
                                                 "one_way"};

// One fault in this many has the kind of the fault before it.
constexpr int faults_per_repetition = 4;
constexpr int mean_pause_ms = 700;
constexpr int max_fault_ms = 7'000;  // longer than an owner's commands are valid
constexpr int max_link_delay_ms = 400;
constexpr int max_lost_answers = 4;

}  // namespace

std::vector<fault> draw_faults(const fault_plan& plan) {
    std::mt19937 random(plan.seed);
    const auto draw = [&random](int from, int to) {
        return std::uniform_int_distribution<int>(from, to)(random);
    };
    std::vector<double> weights;
    weights.reserve(kinds.size());
    for (const auto& it : kinds) {
        weights.push_back(it.weight);
    }
    std::discrete_distribution<std::size_t> kind(weights.begin(), weights.end());
    std::vector<fault> out;
    base::milliseconds next_start{0};
    while (true) {
        next_start += base::milliseconds(draw(1, 2 * mean_pause_ms));
        if (next_start >= plan.time) {
            return out;
        }
        fault drawn;
        const bool same_kind = !out.empty() && draw(1, faults_per_repetition) == 1;
        drawn.kind = same_kind ? out.back().kind : kinds[kind(random)].kind;
        drawn.start_time = next_start;
        const auto remaining_ms = static_cast<int>((plan.time - next_start).count());
        drawn.duration = base::milliseconds(draw(1, std::min(remaining_ms, max_fault_ms)));
        switch (drawn.kind) {
            case fault_kind::link:
                drawn.target = draw(0, plan.links - 1);
                drawn.link_effect =
                    static_cast<link_fault>(draw(0, static_cast<int>(link_faults.size()) - 1));
                drawn.delay = base::milliseconds(draw(1, max_link_delay_ms));
                break;
            case fault_kind::crash_vm:
                drawn.target = draw(0, plan.vms - 1);
                break;
            case fault_kind::lose_answers:
                drawn.target = draw(1, max_lost_answers);
                break;
            default:
                drawn.target = draw(0, plan.daemons - 1);
        }
        out.push_back(drawn);
    }
}

std::string to_string(const fault& injected) {
    const auto entry = std::find_if(kinds.begin(), kinds.end(),
                                    [&](const auto& it) { return it.kind == injected.kind; });
    std::string out = std::to_string(injected.start_time.count()) + " ms: " + entry->name + " " +
                      std::to_string(injected.target);
    if (injected.kind == fault_kind::link) {
        out += std::string(" ") + link_faults[static_cast<std::size_t>(injected.link_effect)];
        if (injected.link_effect == link_fault::delay) {
            out += " by " + std::to_string(injected.delay.count()) + " ms";
        }
    }
    return out + " for " + std::to_string(injected.duration.count()) + " ms";
}

void disturbance_history::set(fault_kind kind, int target, bool disturbed) {
    const std::lock_guard lock(mutex_);
    spans_[{kind, target}] = {disturbed, clock_.now()};
}

void disturbance_history::end_all() {
    const std::lock_guard lock(mutex_);
    for (auto& it : spans_) {
        if (it.second.ongoing) {
            it.second = {false, clock_.now()};
        }
    }
}

bool disturbance_history::none_since(fault_kind kind, int target, base::time_point since) const {
    const std::lock_guard lock(mutex_);
    const auto it = spans_.find({kind, target});
    return it == spans_.end() || (!it->second.ongoing && it->second.ended < since);
}

}  // namespace cranberrydock::soak
