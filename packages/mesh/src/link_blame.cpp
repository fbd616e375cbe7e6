// The request's time taken apart, and the part that took most beyond the usual.
#include <cranberrydock/mesh/link_blame.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberrydock::mesh {
namespace {

using base::microseconds;
using base::trace_step;

std::string milliseconds_text(microseconds of) {
    constexpr double microseconds_per_tenth = 100;
    const auto tenths = static_cast<long long>(
        std::llround(static_cast<double>(of.count()) / microseconds_per_tenth));
    return std::to_string(tenths / 10) + "." + std::to_string(std::llabs(tenths % 10)) + " ms";
}

bool of_entry(const trace_step& step) {
    return step.where == "entry" || step.stage == "route";
}

// After these the work is with the VM, until the owner says otherwise.
bool hands_to_vm(const trace_step& step) {
    return step.stage == "place" || step.stage == "start" || step.stage == "adopt" ||
           step.stage == "renew";
}

std::string link_note(const link_use& link) {
    if (link.went_down) {
        return "the link went down meanwhile";
    }
    return "round trip " + milliseconds_text(link.round_trips.recent_median) + " of late (p99 " +
           milliseconds_text(link.round_trips.recent_p99) + "), usually " +
           milliseconds_text(link.round_trips.usual_median);
}

// Collects parts whose times never sum to more than the total.
class time_account {
public:
    explicit time_account(microseconds total) : left_(std::max(total, microseconds{0})) {}

    void add(blame_part part) {
        part.took = std::clamp(part.took, microseconds{0}, left_);
        left_ -= part.took;
        const auto it = std::find_if(parts_.begin(), parts_.end(), [&](const blame_part& has) {
            return has.what == part.what && has.where == part.where;
        });
        if (it == parts_.end()) {
            parts_.push_back(std::move(part));
            return;
        }
        // The longer stretch says more of why.
        if (part.took > it->took) {
            it->note = std::move(part.note);
        }
        it->took += part.took;
        it->typical += part.typical;
    }

    microseconds left() const { return left_; }
    std::vector<blame_part> take() { return std::move(parts_); }

private:
    microseconds left_;  // of the total, in no part yet; never negative
    std::vector<blame_part> parts_;
};

// The entry's own stages. A hand-over takes no time there, but one that the link then lost does:
// the work was away for so long.
void add_entry(const request_times& request, time_account& account) {
    for (const auto& it : request.steps) {
        if (it.stage == "route" && it.took.count() > 0) {
            account.add({blamed::link, it.where, it.took, microseconds{0}, it.note});
        } else if (of_entry(it)) {
            account.add({blamed::entry, it.stage, it.took, microseconds{0}, it.note});
        }
    }
}

std::string described(const trace_step& step) {
    return step.note.empty() ? step.stage : step.stage + ": " + step.note;
}

// What the work was doing after an owner's step: with a VM, or waiting for a decision.
blame_part part_after(const trace_step& step, microseconds took) {
    if (hands_to_vm(step)) {
        return {blamed::vm, step.where, took, microseconds{0}, step.note};
    }
    return {blamed::decision, "owner", took, microseconds{0}, described(step)};
}

// The time between two steps of the owner belongs to what the first one began.
void add_owner(const std::vector<trace_step>& steps, time_account& account) {
    const trace_step* before = nullptr;
    for (const auto& it : steps) {
        // A later owner counts from its own acceptance: its first step lies before the last one's.
        if (before != nullptr && it.at > before->at) {
            blame_part part = part_after(*before, it.at - before->at);
            if (part.what == blamed::decision) {
                part.note += ", then " + described(it);
            }
            account.add(std::move(part));
        }
        before = &it;
    }
}

// What the links explain of the time that is left.
void add_links(const request_times& request, time_account& account) {
    for (const auto& it : request.links) {
        const microseconds most =
            it.went_down ? account.left() : it.round_trips.recent_p99 * it.crossings + it.transfer;
        const microseconds usual = it.round_trips.usual_median * it.crossings + it.typical_transfer;
        account.add(
            {blamed::link, it.peer.str(), std::min(account.left(), most), usual, link_note(it)});
    }
}

// The rest: of a request without an answer it is with whoever had it last.
void add_rest(const request_times& request, const std::vector<trace_step>& owner_steps,
              time_account& account) {
    if (account.left().count() == 0) {
        return;
    }
    if (!request.answered && !owner_steps.empty()) {
        account.add(part_after(owner_steps.back(), account.left()));
        return;
    }
    account.add({blamed::unaccounted, "", account.left(), microseconds{0}, ""});
}

// Sets what is usual of a kind of part, shared among its parts as their times are.
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

std::string sentence(const blame_part& part, double share) {
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
            out = "nothing that was measured";
            break;
    }
    out += ": " + milliseconds_text(part.took) + ", usually " + milliseconds_text(part.typical) +
           ", " + std::to_string(std::lround(share * percent)) + "% of the total";
    return part.note.empty() ? out : out + "; " + part.note;
}

bool blamed_before(const blame_part& a, const blame_part& b) {
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
                 [](const trace_step& it) { return !of_entry(it); });
    time_account account(request.total);
    add_entry(request, account);
    add_owner(owner_steps, account);
    add_links(request, account);
    add_rest(request, owner_steps, account);

    verdict out;
    out.parts = account.take();
    set_typical(out.parts, blamed::entry, request.typical.entry);
    set_typical(out.parts, blamed::decision, request.typical.decision);
    set_typical(out.parts, blamed::vm, request.typical.vm);
    const auto worst = std::min_element(out.parts.begin(), out.parts.end(), blamed_before);
    if (worst == out.parts.end() || worst->excess().count() <= 0) {
        out.text = "nothing took longer than usual";
        return out;
    }
    out.what = worst->what;
    out.where = worst->where;
    out.excess = worst->excess();
    out.share =
        static_cast<double>(worst->took.count()) / static_cast<double>(request.total.count());
    out.text = sentence(*worst, out.share);
    return out;
}

}  // namespace cranberrydock::mesh
