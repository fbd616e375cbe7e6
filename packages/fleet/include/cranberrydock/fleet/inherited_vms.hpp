// Decides what a new owner must still wait for because of the runs of previous owners: on which VMs
// such runs can exist, how much of the customers' limits they can take there, and when inherited
// tasks may be started again. Does no I/O and has no clock.
//
// A previous owner has started tasks only on VMs that its record shows. A VM of the record counts
// as missing until its entry is listed, until another VM answers at its address, or until every
// lease of the previous owners has expired. Without the record of its predecessor an owner can only
// compare the number and the digest of the VMs; if they differ, it can't tell which are missing.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/ownership.hpp>
#include <cranberrydock/fleet/run_leases.hpp>
#include <cranberrydock/fleet/vm_record.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace cranberrydock::fleet {

// From the owner's row that the new owner has taken over.
struct previous_vms {
    std::size_t count = 0;
    std::optional<vm_set_digest> set;
    // Member entries may be missing before this time, because the store was unavailable until
    // recently.
    base::time_point members_complete_from{};
};

// Why an owner does not know of every VM on which inherited runs can exist.
enum class vms_unknown {
    nothing,             // it knows of all of them
    record_not_read,     // the VMs are not listed or the record is not read yet
    names_differ,        // there is no record, and the digest of the names differs
    members_incomplete,  // there is no record, and member entries may still be missing
    vms_missing,         // VMs of the record
};
const char* to_string(vms_unknown reason);

// What has ended the wait for inherited runs.
enum class wait_ended_by { reports, expiry };
const char* to_string(wait_ended_by reason);

// Which proofs hold that no previous owner can start a task any more; one is enough.
struct starts_ended_proofs {
    bool all_reported = false;
    bool others_have_ended = false;
    bool commands_ended = false;
};

class inherited_vms {
public:
    // `leases` must outlive this object.
    inherited_vms(const previous_vms& previous, const inherited_leases& leases,
                  base::time_point owner_since);

    // The previous owner's record is known, or proved not to be available. Called once.
    void record_read(const std::optional<vm_record>& record);
    // The VM's entry is new or has changed.
    void listed(const vm_info& vm, base::time_point now);
    // All entries of a read or of a change have been passed to listed().
    void members_read();
    // `requested_at`: when the command that the report answers was sent. `lists_all_completions`:
    // otherwise further completions of inherited runs may follow.
    void reported(const vm_id& vm, base::time_point requested_at, bool lists_all_completions);
    void unresponsive(const vm_id& vm);
    // The incarnation that held the VM's runs has ended, and the VM has not reported since.
    void ended(const vm_id& vm);
    // The last report no longer says what runs on the VM.
    void report_outdated(const vm_id& vm);
    // Every lease on the VM has expired, and its entry is gone.
    void gone(const vm_id& vm);
    // Whether the VM leaves, has no run and gets none any more. Then it is taken off the record, so
    // that a next owner does not wait for it once it is gone.
    void drained(const vm_id& vm, bool is_drained, base::time_point now);

    // Whether every VM on which inherited runs can exist is listed or known to have ended.
    bool all_accounted(base::time_point now) const;
    vms_unknown unknown(base::time_point now) const;
    std::size_t missing_count(base::time_point now) const;
    // VMs of the record at whose address another VM has answered.
    std::size_t replaced_count() const { return replaced_count_; }
    // The listed VMs that have neither reported nor ended.
    std::size_t silent_count() const;
    // The VMs that have reported and may list further completions of inherited runs.
    std::size_t partly_listed_count() const;
    resources silent_capacity() const;
    // Upper bound of what inherited runs take on VMs that are not listed. `largest_vm` bounds the
    // capacity of VMs that are not on record.
    resources missing_capacity(const resources& largest_vm, base::time_point now) const;

    // Whether no previous owner can start a task any more: every VM has received this owner's
    // fencing token, or the commands of previous owners have ended. Once true, it stays true.
    bool starts_ended(base::time_point now);
    const starts_ended_proofs& proofs() const { return proofs_; }
    // Whether inherited tasks may be started: every VM that can hold one of them has listed its
    // runs and all of its completions, or has ended, or every lease has expired. Once true, it
    // stays true. Requires that the jobs are known. `renewal_sent`: of this owner's row as it
    // stands; no later owner had extended a lease by then. `own_leases_expired`: whether the leases
    // that this owner has granted on a VM had expired by then. It extends those of inherited runs
    // before it knows of the runs.
    bool runs_known(base::time_point now, base::time_point renewal_sent,
                    const std::function<bool(const vm_id&)>& own_leases_expired);
    std::optional<wait_ended_by> ended_by() const { return ended_by_; }

    // What this owner is to put on record: all listed VMs, and the missing ones until the inherited
    // runs are known. Empty while missing VMs can't be told.
    std::optional<vm_record> record() const;
    // Changes whenever record() may have changed.
    std::uint64_t revision() const { return revision_; }
    // Whether this owner's row, as sent at `renewal_sent`, shows the VM as it is listed.
    bool is_on_record(const vm_id& vm, base::time_point renewal_sent) const;

private:
    struct vm_state {
        recorded_vm facts;
        base::time_point facts_since;
        bool reported = false;            // so its running runs are known
        bool completions_known = false;   // so its inherited runs are known; implies `reported`
        bool answers_at_address = false;  // a report was requested since `facts_since`
        bool unresponsive = false;
        bool ended = false;
        bool drained = false;
    };

    // Whether a previous owner can have started tasks on the VM.
    bool can_hold_runs(const vm_id& vm) const;
    template <typename Predicate>
    bool all_holders(const Predicate& predicate) const;
    // Drops the missing VMs at whose address the VM answers: their processes have ended.
    void drop_replaced(const vm_state& vm);

    previous_vms previous_;
    const inherited_leases& leases_;
    base::time_point owner_since_;
    std::map<vm_id, vm_state> vms_;
    std::set<vm_key> listed_;  // every VM that this owner has listed, also if it has gone since
    bool record_read_ = false;
    bool members_read_ = false;
    bool set_was_listed_ = false;  // the digest of the listed VMs was that of the previous owner
    std::optional<vm_record> previous_record_;
    std::map<vm_key, recorded_vm> missing_;  // of `previous_record_`
    std::size_t replaced_count_ = 0;
    std::uint64_t revision_ = 1;
    starts_ended_proofs proofs_;
    bool starts_ended_ = false;
    std::optional<wait_ended_by> ended_by_;
};

}  // namespace cranberrydock::fleet
