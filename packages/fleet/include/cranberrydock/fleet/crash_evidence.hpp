// What is known about whether a task crashes the VMs that run it. A VM's crash ends all of its runs
// and doesn't say which of them caused it, so a crash counts against the runs that explain it best:
// those that had just started, else the young ones, else all of them. A suspected task is started
// on probation, on a VM that starts nothing else meanwhile, so that a further crash has one
// explanation and a run that outlives the probation clears its task.
//
// A task that crashes its VMs in mid-run is beside younger runs each time, which explain the
// crashes better. Each VM that crashes under a task therefore counts as a loss, which no probation
// clears. After some losses the task runs on probation for longer, and after the last one allowed
// it is given up whatever explains them.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet/vm_key.hpp>

#include <cstdint>
#include <vector>

namespace cranberrydock::fleet {

// A run that ended together with its VM's connection, before it was known whether the VM had
// crashed. Names the VM, so that a later owner can find out. Without an address it stays unknown,
// as with a run whose start was not answered: it may never have begun.
struct lost_run {
    vm_key vm;
    address_key address;
    boot_time boot;
    bool alone = false;        // no other run explains the crash
    bool young = true;         // otherwise a crash counts as a loss only
    base::time_point since{};  // when this owner learned of it; not saved

    friend bool operator==(const lost_run& a, const lost_run& b) {
        return a.vm == b.vm && a.address == b.address && a.boot == b.boot && a.alone == b.alone &&
               a.young == b.young;
    }
};

struct crash_evidence {
    static constexpr int max_crashes = 5;
    static constexpr int max_alone = 2;
    static constexpr std::size_t max_unresolved = 3;
    static constexpr int losses_before_probation = 3;

    int losses = 0;       // VMs that crashed under a run of the task; at least `crashes`
    int crashes = 0;      // of these, crashes that runs of the task explain best
    int alone = 0;        // of these, crashes that no other run explains
    bool marked = false;  // a run of the task was among the youngest when its VM crashed
    std::vector<lost_run> unresolved;

    // Young runs speak against the task, so that it is to be started on probation.
    bool has_young_runs() const;
    bool needs_probation() const { return has_young_runs() || nearly_given_up(); }
    // The evidence has to be saved before the task is started again.
    bool suspected() const { return needs_probation() || losses > 1; }
    // The next starts decide, so that no two such tasks are to run on one VM.
    bool nearly_given_up() const { return losses >= losses_before_probation; }
    int possible_crashes() const;
    int possible_losses() const { return losses + static_cast<int>(unresolved.size()); }

    void add_crash(bool youngest, bool is_alone);
    // A VM crashed under a run that does not explain it best, or under another member of its gang.
    void add_loss();
    // Forgets the oldest one if there are too many.
    void add_unresolved(const lost_run& run);
    // Removes the latest run that was lost with this incarnation. Returns whether there was one.
    bool remove_unresolved(vm_key vm, boot_time boot);
    // A run has outlived its probation or ended by itself. What speaks against older runs stays.
    void clear();
};

// How many of the VMs that crash do so without a run that explains it.
enum class background_crashes : std::uint8_t { none, some, prevailing };
const char* to_string(background_crashes rate);

// Whether a task with this evidence is not started again, for which two crashes have to be proved.
// Without background crashes two are enough that no other run explains, else four of which one is
// such a crash. With some it takes four in any case. The fifth start under which a VM may have
// crashed is the last one in any case.
bool is_given_up(const crash_evidence& evidence, background_crashes background);

// One character for the evidence without `unresolved`, so that the size of a job's row does not
// depend on it. No evidence is `no_evidence_mark`.
constexpr char no_evidence_mark = '-';
constexpr char done_mark = 'd';  // stands for a done task in the same text
char encode(const crash_evidence& evidence);
// Characters that this version doesn't know mean no evidence.
crash_evidence decode_crash_evidence(char mark);

// How well a run explains its VM's crash. Lower values explain it better.
enum class crash_explanation : std::uint8_t { just_started, young, any };
const char* to_string(crash_explanation explanation);

struct crash_settings {
    base::milliseconds just_started{150};  // greatest age of a run that has just started
    base::milliseconds young{1'000};
    // A run that has lived longer explains no crash, and clears its task. Otherwise long-running
    // tasks would gather evidence for as long as VMs crash now and then.
    base::milliseconds blameless{30'000};
    // Where VMs crash rarely, a run explains a crash up to this part of the mean time between two
    // crashes of a VM, so that few innocent runs see one by chance.
    int blameless_share = 10;
    // How long a VM starts nothing else beside a run on probation.
    base::milliseconds probation{500};
    // The same after losses, which tell nothing of the age at which the task crashes its VM.
    base::milliseconds probation_after_losses{5'000};
    // A task that is on probation for its losses alone starts without one after this wait.
    base::milliseconds max_wait_after_losses{2'000};
    // How long a task waits for the proof that its VM has crashed, and how long a VM that was lost
    // during a probation counts against `min_share`.
    base::milliseconds recovery{5'000};
    // Least limit on the share of the VMs on which runs are on probation at a time.
    double min_share = 0.2;
    // How long other tasks avoid a VM after a probation that was likely to crash it, so that few
    // are lost with the next one.
    base::milliseconds reserved{2'000};
};

crash_explanation explanation_of(base::milliseconds age, const crash_settings& settings);

// Tells whether VMs also crash without a run that has just started, so that a crash says less about
// a run that has.
class unexplained_crashes {
public:
    static constexpr base::seconds window{10};

    void add(base::time_point at, bool explained);
    // `is_new`: for less than the window, so that one crash may be a sample of many.
    background_crashes rate(base::time_point now, bool is_new) const;

private:
    struct crash {
        base::time_point at;
        bool explained = false;
    };
    std::vector<crash> recent_;
};

}  // namespace cranberrydock::fleet
