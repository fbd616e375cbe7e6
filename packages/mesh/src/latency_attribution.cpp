// Divides a request's time into parts and selects the part that exceeds its typical time by the
// most.
#include <cranberrydock/mesh/latency_attribution.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberrydock::mesh {
namespace {

using base::microseconds;
using base::trace_step;

std::string milliseconds_text(microseconds duration) {
    constexpr double microseconds_per_tenth = 100;
    const auto tenths = static_cast<long long>(
        std::llround(static_cast<double>(duration.count()) / microseconds_per_tenth));
    return std::to_string(tenths / 10) + "." + std::to_string(std::llabs(tenths % 10)) + " ms";
}

bool is_entry_step(const trace_step& step) {
    return step.where == "entry" || step.stage == "route";
}

// After these steps the work is at the VM until the owner's next step.
bool assigns_to_vm(const trace_step& step) {
    return step.stage == "place" || step.stage == "start" || step.stage == "adopt" ||
           step.stage == "renew";
}

std::string link_note(const link_usage& link) {
    if (link.went_down) {
        return "the link went down during the request";
    }
    return "round trip " + milliseconds_text(link.round_trips.recent_median) + " of late (p99 " +
           milliseconds_text(link.round_trips.recent_p99) + "), usually " +
           milliseconds_text(link.round_trips.usual_median);
}

// Collects the parts of a request's time. Their sum never exceeds the total.
class time_breakdown {
public:
    explicit time_breakdown(microseconds total) : remaining_(std::max(total, microseconds{0})) {}

    void add(latency_part part) {
        part.duration = std::clamp(part.duration, microseconds{0}, remaining_);
        remaining_ -= part.duration;
        const auto it =
            std::find_if(parts_.begin(), parts_.end(), [&](const latency_part& existing) {
                return existing.cause == part.cause && existing.location == part.location;
            });
        if (it == parts_.end()) {
            parts_.push_back(std::move(part));
            return;
        }
        // Keep the note of the longer interval, which explains more of the time.
        if (part.duration > it->duration) {
            it->note = std::move(part.note);
        }
        it->duration += part.duration;
        it->typical += part.typical;
    }

    microseconds remaining() const { return remaining_; }
    std::vector<latency_part> take() { return std::move(parts_); }

private:
    microseconds remaining_;  // not assigned to a part yet; never negative
    std::vector<latency_part> parts_;
};

// Adds the entry's own stages. A successful hand-over takes no time at the entry. One that the link
// lost does: the work was in transit for that time, so it counts as the link's.
void add_entry(const request_times& request, time_breakdown& breakdown) {
    for (const auto& it : request.steps) {
        if (it.stage == "route" && it.took.count() > 0) {
            breakdown.add({latency_cause::link, it.where, it.took, microseconds{0}, it.note});
        } else if (is_entry_step(it)) {
            breakdown.add({latency_cause::entry, it.stage, it.took, microseconds{0}, it.note});
        }
    }
}

std::string describe(const trace_step& step) {
    return step.note.empty() ? step.stage : step.stage + ": " + step.note;
}

// The part to which the time after an owner's step belongs: a VM, or the owner's decision.
latency_part part_after(const trace_step& step, microseconds took) {
    if (assigns_to_vm(step)) {
        return {latency_cause::vm, step.where, took, microseconds{0}, step.note};
    }
    return {latency_cause::decision, "owner", took, microseconds{0}, describe(step)};
}

// Adds the time between consecutive steps of the owner, assigned by the earlier of the two.
void add_owner(const std::vector<trace_step>& steps, time_breakdown& breakdown) {
    const trace_step* previous = nullptr;
    for (const auto& it : steps) {
        // A later owner's timestamps start at its own acceptance, so its first step may lie before
        // the previous owner's last step. Skip such a pair.
        if (previous != nullptr && it.at > previous->at) {
            latency_part part = part_after(*previous, it.at - previous->at);
            if (part.cause == latency_cause::decision) {
                part.note += ", then " + describe(it);
            }
            breakdown.add(std::move(part));
        }
        previous = &it;
    }
}

// Adds as much of the remaining time as the links account for.
void add_links(const request_times& request, time_breakdown& breakdown) {
    for (const auto& it : request.links) {
        const microseconds max_time = it.went_down
                                          ? breakdown.remaining()
                                          : it.round_trips.recent_p99 * it.crossings + it.transfer;
        const microseconds usual = it.round_trips.usual_median * it.crossings + it.typical_transfer;
        breakdown.add({latency_cause::link, it.peer.str(),
                       std::min(breakdown.remaining(), max_time), usual, link_note(it)});
    }
}

// Adds the remaining time. For an unanswered request it belongs to the VM or the decision that
// follows the owner's last step; otherwise it is unaccounted.
void add_remainder(const request_times& request, const std::vector<trace_step>& owner_steps,
                   time_breakdown& breakdown) {
    if (breakdown.remaining().count() == 0) {
        return;
    }
    if (!request.answered && !owner_steps.empty()) {
        breakdown.add(part_after(owner_steps.back(), breakdown.remaining()));
        return;
    }
    breakdown.add({latency_cause::unaccounted, "", breakdown.remaining(), microseconds{0}, ""});
}

// Distributes the typical time of one kind of part over the parts of that kind, in proportion to
// their times.
void set_typical(std::vector<latency_part>& parts, latency_cause what, microseconds usual) {
    microseconds sum{0};
    for (const auto& it : parts) {
        sum += it.cause == what ? it.duration : microseconds{0};
    }
    for (auto& it : parts) {
        if (it.cause == what && sum.count() > 0) {
            const double share =
                static_cast<double>(it.duration.count()) / static_cast<double>(sum.count());
            it.typical = microseconds(
                static_cast<microseconds::rep>(share * static_cast<double>(usual.count())));
        }
    }
}

std::string verdict_text(const latency_part& part, double share) {
    constexpr double percent = 100;
    std::string out;
    switch (part.cause) {
        case latency_cause::link:
            out = "the link to " + part.location;
            break;
        case latency_cause::vm:
            out = "VM " + part.location;
            break;
        case latency_cause::decision:
            out = "the owner's decision";
            break;
        case latency_cause::entry:
            out = "the entry's stage " + part.location;
            break;
        case latency_cause::unaccounted:
        case latency_cause::nothing:
            out = "time that no measured part accounts for";
            break;
    }
    out += ": " + milliseconds_text(part.duration) + ", usually " +
           milliseconds_text(part.typical) + ", " + std::to_string(std::lround(share * percent)) +
           "% of the total";
    return part.note.empty() ? out : out + "; " + part.note;
}

bool ranks_before(const latency_part& a, const latency_part& b) {
    if (a.excess() != b.excess()) {
        return a.excess() > b.excess();
    }
    return a.cause != latency_cause::link && b.cause == latency_cause::link;
}

}  // namespace

std::string to_string(latency_cause what) {
    switch (what) {
        case latency_cause::nothing:
            return "nothing";
        case latency_cause::link:
            return "link";
        case latency_cause::vm:
            return "vm";
        case latency_cause::decision:
            return "decision";
        case latency_cause::entry:
            return "entry";
        case latency_cause::unaccounted:
            return "unaccounted";
    }
    return "nothing";
}

latency_verdict attribute_latency(const request_times& request) {
    std::vector<trace_step> owner_steps;
    std::copy_if(request.steps.begin(), request.steps.end(), std::back_inserter(owner_steps),
                 [](const trace_step& it) { return !is_entry_step(it); });
    time_breakdown breakdown(request.total);
    add_entry(request, breakdown);
    add_owner(owner_steps, breakdown);
    add_links(request, breakdown);
    add_remainder(request, owner_steps, breakdown);

    latency_verdict out;
    out.parts = breakdown.take();
    set_typical(out.parts, latency_cause::entry, request.typical.entry);
    set_typical(out.parts, latency_cause::decision, request.typical.decision);
    set_typical(out.parts, latency_cause::vm, request.typical.vm);
    const auto worst = std::min_element(out.parts.begin(), out.parts.end(), ranks_before);
    if (worst == out.parts.end() || worst->excess().count() <= 0) {
        out.text = "nothing took longer than usual";
        return out;
    }
    out.cause = worst->cause;
    out.location = worst->location;
    out.excess = worst->excess();
    out.share =
        static_cast<double>(worst->duration.count()) / static_cast<double>(request.total.count());
    out.text = verdict_text(*worst, out.share);
    return out;
}

}  // namespace cranberrydock::mesh
