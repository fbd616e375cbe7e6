// Weighs the evidence that a task crashes its VMs, and encodes it.
#include <cranberrydock/fleet/crash_evidence.hpp>

#include <algorithm>

namespace cranberrydock::fleet {
namespace {

constexpr char first_mark = '!';
constexpr int mark_count = (crash_evidence::max_crashes + 1) * (crash_evidence::max_alone + 1) * 2;
// A task is started at most this often while each start may have crashed a VM.
constexpr int max_crashing_starts = 5;
constexpr int min_proved_crashes = 2;

}  // namespace

bool crash_evidence::has_young_runs() const {
    return marked || possible_crashes() > crashes;
}

int crash_evidence::possible_crashes() const {
    return crashes + static_cast<int>(std::count_if(unresolved.begin(), unresolved.end(),
                                                    [](const lost_run& it) { return it.young; }));
}

void crash_evidence::add_loss() {
    losses = std::min(losses + 1, max_crashes);
}

void crash_evidence::add_crash(bool youngest, bool is_alone) {
    add_loss();
    crashes = std::min(crashes + 1, max_crashes);
    alone = std::min(alone + (is_alone ? 1 : 0), max_alone);
    marked |= youngest;
}

void crash_evidence::add_unresolved(const lost_run& run) {
    if (unresolved.size() >= max_unresolved) {
        unresolved.erase(unresolved.begin());
    }
    unresolved.push_back(run);
}

bool crash_evidence::remove_unresolved(vm_key vm, boot_time boot) {
    const auto it = std::find_if(unresolved.rbegin(), unresolved.rend(),
                                 [&](const auto& run) { return run.vm == vm && run.boot == boot; });
    if (it == unresolved.rend()) {
        return false;
    }
    unresolved.erase(std::next(it).base());
    return true;
}

void crash_evidence::clear() {
    crashes = std::min(crashes, 1);
    alone = 0;
    marked = false;
    for (auto& it : unresolved) {
        it.young = false;
        it.alone = false;
    }
}

bool is_given_up(const crash_evidence& evidence, background_crashes background) {
    const int possible = evidence.possible_crashes();
    if (evidence.losses < min_proved_crashes) {
        return false;
    }
    if (evidence.possible_losses() >= max_crashing_starts) {
        return true;
    }
    if (evidence.crashes < min_proved_crashes) {
        return false;
    }
    // One crash alone among others may be that of an older run beside it.
    const bool is_sure = evidence.alone >= crash_evidence::max_alone ||
                         (evidence.alone > 0 && evidence.alone == evidence.crashes);
    switch (background) {
        case background_crashes::none:
            return is_sure || (evidence.alone > 0 && possible >= max_crashing_starts - 1);
        case background_crashes::some:
            return evidence.alone > 0 && possible >= max_crashing_starts - 1;
        case background_crashes::prevailing:
            return false;
    }
    return false;
}

char encode(const crash_evidence& evidence) {
    const int code = (evidence.crashes * (crash_evidence::max_alone + 1) + evidence.alone) * 2 +
                     (evidence.marked ? 1 : 0);
    if (code == 0) {
        return no_evidence_mark;
    }
    int mark = first_mark + code;
    for (const char reserved : {no_evidence_mark, done_mark}) {
        mark += mark >= reserved ? 1 : 0;
    }
    return static_cast<char>(mark);
}

crash_evidence decode_crash_evidence(char mark) {
    int code = static_cast<unsigned char>(mark);
    if (mark == no_evidence_mark || mark == done_mark) {
        return {};
    }
    for (const char reserved : {done_mark, no_evidence_mark}) {
        code -= mark > reserved ? 1 : 0;
    }
    code -= first_mark;
    if (code < 0 || code >= mark_count) {
        return {};
    }
    crash_evidence out;
    out.marked = code % 2 == 1;
    code /= 2;
    out.alone = code % (crash_evidence::max_alone + 1);
    out.crashes = code / (crash_evidence::max_alone + 1);
    out.losses = out.crashes;
    return out;
}

const char* to_string(crash_explanation explanation) {
    switch (explanation) {
        case crash_explanation::just_started:
            return "just_started";
        case crash_explanation::young:
            return "young";
        case crash_explanation::any:
            return "any";
    }
    return "";
}

const char* to_string(background_crashes rate) {
    switch (rate) {
        case background_crashes::none:
            return "none";
        case background_crashes::some:
            return "some";
        case background_crashes::prevailing:
            return "prevailing";
    }
    return "";
}

crash_explanation explanation_of(base::milliseconds age, const crash_settings& settings) {
    if (age <= settings.just_started) {
        return crash_explanation::just_started;
    }
    return age <= settings.young ? crash_explanation::young : crash_explanation::any;
}

void unexplained_crashes::add(base::time_point at, bool explained) {
    recent_.erase(std::remove_if(recent_.begin(), recent_.end(),
                                 [&](const crash& it) { return at - it.at > window; }),
                  recent_.end());
    recent_.push_back({at, explained});
}

background_crashes unexplained_crashes::rate(base::time_point now, bool is_new) const {
    const std::size_t min_count = is_new ? 1 : 2;
    constexpr std::size_t some = 4;        // one in this many
    constexpr std::size_t prevailing = 2;  // likewise
    std::size_t total = 0;
    std::size_t unexplained = 0;
    for (const auto& it : recent_) {
        total += now - it.at <= window ? 1 : 0;
        unexplained += now - it.at <= window && !it.explained ? 1 : 0;
    }
    if (unexplained < min_count || unexplained * some <= total) {
        return background_crashes::none;
    }
    return unexplained * prevailing > total ? background_crashes::prevailing
                                            : background_crashes::some;
}

}  // namespace cranberrydock::fleet
