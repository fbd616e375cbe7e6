// Divides a request's time into parts and selects the part that exceeds its typical time by the
// most.
#include <cranberrydock/mesh/link_blame.hpp>

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

std::string link_note(const link_use& link) {
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

    void add(blame_part part) {
        part.took = std::clamp(part.took, microseconds{0}, remaining_);
        remaining_ -= part.took;
        const auto it = std::find_if(parts_.begin(), parts_.end(), [&](const blame_part& existing) {
            return existing.what == part.what && existing.where == part.where;
        });
        if (it == parts_.end()) {
            parts_.push_back(std::move(part));
            return;
        }
        // Keep the note of the longer interval, which explains more of the time.
        if (part.took > it->took) {
            it->note = std::move(part.note);
        }
        it->took += part.took;
        it->typical += part.typical;
    }

    microseconds remaining() const { return remaining_; }
    std::vector<blame_part> take() { return std::move(parts_); }

private:
    microseconds remaining_;  // not assigned to a part yet; never negative
    std::vector<blame_part> parts_;
};

// Adds the entry's own stages. A successful hand-over takes no time at the entry. One that the link
// lost does: the work was in transit for that time, so it counts as the link's.
void add_entry(const request_times& request, time_breakdown& breakdown) {
    for (const auto& it : request.steps) {
        if (it.stage == "route" && it.took.count() > 0) {
            breakdown.add({blamed::link, it.where, it.took, microseconds{0}, it.note});
        } else if (is_entry_step(it)) {
            breakdown.add({blamed::entry, it.stage, it.took, microseconds{0}, it.note});
        }
    }
}

std::string describe(const trace_step& step) {
    return step.note.empty() ? step.stage : step.stage + ": " + step.note;
}

// The part to which the time after an owner's step belongs: a VM, or the owner's decision.
blame_part part_after(const trace_step& step, microseconds took) {
    if (assigns_to_vm(step)) {
        return {blamed::vm, step.where, took, microseconds{0}, step.note};
    }
    return {blamed::decision, "owner", took, microseconds{0}, describe(step)};
}

// Adds the time between consecutive steps of the owner, assigned by the earlier of the two.
void add_owner(const std::vector<trace_step>& steps, time_breakdown& breakdown) {
    const trace_step* previous = nullptr;
    for (const auto& it : steps) {
        // A later owner's timestamps start at its own acceptance, so its first step may lie before
        // the previous owner's last step. Skip such a pair.
        if (previous != nullptr && it.at > previous->at) {
            blame_part part = part_after(*previous, it.at - previous->at);
            if (part.what == blamed::decision) {
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
        breakdown.add({blamed::link, it.peer.str(), std::min(breakdown.remaining(), max_time),
                       usual, link_note(it)});
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
    breakdown.add({blamed::unaccounted, "", breakdown.remaining(), microseconds{0}, ""});
}

// Distributes the typical time of one kind of part over the parts of that kind, in proportion to
// their times.
void set_typical(std::vector<blame_part>& parts, blamed what, microseconds usual) {
    microseconds sum{0};
    for (const auto& it : parts) {
        sum += it.what == what ? it.took : microseconds{0};
    }
    for (auto& it : parts) {
        if (it.what == what && sum.count() > 0) {
            const double share =
                static_cast<double>(it.took.count()) / static_cast<double>(sum.count());
            it.typical = microseconds(
                static_cast<microseconds::rep>(share * static_cast<double>(usual.count())));
        }
    }
}

std::string verdict_text(const blame_part& part, double share) {
    constexpr double percent = 100;
    std::string out;
    switch (part.what) {
        case blamed::link:
            out = "the link to " + part.where;
            break;
        case blamed::vm:
            out = "VM " + part.where;
            break;
        case blamed::decision:
            out = "the owner's decision";
            break;
        case blamed::entry:
            out = "the entry's stage " + part.where;
            break;
        case blamed::unaccounted:
        case blamed::nothing:
            out = "time that no measured part accounts for";
            break;
    }
    out += ": " + milliseconds_text(part.took) + ", usually " + milliseconds_text(part.typical) +
           ", " + std::to_string(std::lround(share * percent)) + "% of the total";
    return part.note.empty() ? out : out + "; " + part.note;
}

bool ranks_before(const blame_part& a, const blame_part& b) {
    if (a.excess() != b.excess()) {
        return a.excess() > b.excess();
    }
    return a.what != blamed::link && b.what == blamed::link;
}

}  // namespace

std::string to_string(blamed what) {
    switch (what) {
        case blamed::nothing:
            return "nothing";
        case blamed::link:
            return "link";
        case blamed::vm:
            return "vm";
        case blamed::decision:
            return "decision";
        case blamed::entry:
            return "entry";
        case blamed::unaccounted:
            return "unaccounted";
    }
    return "nothing";
}

verdict explain_blame(const request_times& request) {
    std::vector<trace_step> owner_steps;
    std::copy_if(request.steps.begin(), request.steps.end(), std::back_inserter(owner_steps),
                 [](const trace_step& it) { return !is_entry_step(it); });
    time_breakdown breakdown(request.total);
    add_entry(request, breakdown);
    add_owner(owner_steps, breakdown);
    add_links(request, breakdown);
    add_remainder(request, owner_steps, breakdown);

    verdict out;
    out.parts = breakdown.take();
    set_typical(out.parts, blamed::entry, request.typical.entry);
    set_typical(out.parts, blamed::decision, request.typical.decision);
    set_typical(out.parts, blamed::vm, request.typical.vm);
    const auto worst = std::min_element(out.parts.begin(), out.parts.end(), ranks_before);
    if (worst == out.parts.end() || worst->excess().count() <= 0) {
        out.text = "nothing took longer than usual";
        return out;
    }
    out.what = worst->what;
    out.where = worst->where;
    out.excess = worst->excess();
    out.share =
        static_cast<double>(worst->took.count()) / static_cast<double>(request.total.count());
    out.text = verdict_text(*worst, out.share);
    return out;
}

}  // namespace cranberrydock::mesh
