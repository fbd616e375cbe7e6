// Ownership of the fleet. One row of the store names the owner and its fencing token. The owner
// renews the row. A daemon that sees no renewal for long enough takes the row over with a write
// that is conditional on the row's version. The class does no I/O.
//
// Safety does not depend on detecting whether the owner is alive. A new owner raises the fencing
// token, which VMs enforce. It starts nothing until every VM has received the new token, or until
// the commands of the previous owner must have expired: an owner issues no commands later than
// `validity` after it sent the last renewal that was confirmed. A takeover may therefore be quick,
// and an owner can continue through an outage of the store. Time in which the store could not be
// read does not count towards a takeover, so an outage of the store alone never changes the owner.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cranberrydock::fleet {

// The number of accepted jobs that have not started, for each queue. Only an owner that has read
// all jobs makes a count.
struct waiting_job_counts {
    // The fencing token of the owner that made the count, and the count's number under that owner.
    // Together they identify the count.
    fencing_token counted_by;
    std::int64_t sequence = 0;
    std::map<queue_name, std::int64_t> jobs;
};

// A digest of a set of VMs. Two sets with equal digests are the same, up to hash collisions.
class vm_set_digest {
public:
    vm_set_digest() = default;
    vm_set_digest(std::size_t count, std::uint64_t hash) : count_(count), hash_(hash) {}

    void add(const vm_id& vm);
    std::size_t count() const { return count_; }
    std::uint64_t hash() const { return hash_; }  // independent of the order of the VMs

    friend bool operator==(const vm_set_digest& a, const vm_set_digest& b) {
        return a.count_ == b.count_ && a.hash_ == b.hash_;
    }
    friend bool operator!=(const vm_set_digest& a, const vm_set_digest& b) { return !(a == b); }

private:
    std::size_t count_ = 0;
    std::uint64_t hash_ = 0;
};

// The content of the owner's row.
struct owner_record {
    std::string holder;  // name of the daemon's VM; empty: the fleet has no owner
    std::string
        process_run;  // names the daemon's process; a later one on that VM may take over at once
    // Where that process listens. Only when a later process listens there has it ended for certain.
    // Empty: not known.
    std::string address;
    fencing_token token;
    // Read by daemons that answer requests about a queue. A new owner keeps the previous owner's
    // count in the row until it has made its own. Empty if there is no count yet.
    std::optional<waiting_job_counts> waiting_jobs;
    // Queues that cannot serve new jobs in time, and for how long this is expected to last.
    std::map<queue_name, milliseconds> overloaded;
    // The largest VM and every label that a VM has had, so that jobs that can never fit are
    // rejected immediately.
    resources largest_vm;
    std::set<vm_label> labels;
    // Whether no owner before this one issues commands any more. The end of one owner says nothing
    // of those before it.
    bool earlier_owners_ended = false;
    // The number of VMs on record at the owner.
    std::size_t vm_count = 0;
    // The VMs on which an owner may have started tasks: it starts none on a VM before this row
    // shows the VM. The entries of some may be missing from the member list that the next owner
    // reads: they expire when a VM does not reach the store, and it may still run its tasks. Empty
    // if the owner does not know all of these VMs, or has started no task.
    std::optional<vm_set_digest> vm_set;
    // The checksum of the rows that list the same VMs (fleet/vm_record.hpp). Empty if there are no
    // such rows; earlier versions neither write nor keep it.
    std::optional<std::uint64_t> vm_record_checksum;
};

std::string encode_owner(const owner_record& record);
// Empty if the row cannot be decoded.
std::optional<owner_record> decode_owner(const std::string& value);
// Stands for a row that can't be decoded: its writer is unknown and may issue commands. `last` is
// the row's last readable content.
owner_record unknown_owner(const owner_record& last);

struct ownership_settings {
    milliseconds renewal_interval{400};
    // How long after the last confirmed renewal was sent the owner may issue commands.
    milliseconds validity{6'500};
    // How long the row must be unchanged before a takeover.
    milliseconds takeover_after{1'300};
    // The same if the holder's VM refuses connections; a renewal has been missed as well.
    milliseconds takeover_after_refusal{550};
    // The same if the holder has left several consecutive probes unanswered; two renewals have been
    // missed as well.
    milliseconds takeover_after_unresponsive{900};
    // After a read the row counts as unchanged for at most this duration. The change feed would
    // have reported a change at once, and the takeover's write is conditional on the row's version.
    milliseconds max_read_gap{700};
};

class ownership {
public:
    // `address`: where this process listens.
    ownership(std::string holder, std::string run, std::string address,
              const ownership_settings& settings);

    // The row was read. `record` is empty if there is no row.
    void row_read(const std::optional<owner_record>& record, store_version version,
                  base::time_point now);
    // The store was read and the row has not changed.
    void row_unchanged(base::time_point now);
    // The store could not be read.
    void store_unreadable();
    // The process that holds the row is known to have ended.
    void holder_ended(const std::string& run) { ended_run_ = run; }
    // The holder's VM refused a connection. A broken network can have the same effect.
    void holder_refused(const std::string& run) { refusing_run_ = run; }
    // The holder has become unresponsive, or has answered.
    void holder_unresponsive(const std::string& run) { unresponsive_run_ = run; }
    void holder_responsive(const std::string& run) {
        if (unresponsive_run_ == run) {
            unresponsive_run_.clear();
        }
        if (refusing_run_ == run) {
            refusing_run_.clear();
        }
    }
    // Whether the process of the previous owner is known to have ended.
    bool previous_owner_ended() const { return previous_owner_ended_; }
    // An additional delay before a takeover. It lets the candidate nearest to the store go first.
    void set_stagger(milliseconds stagger) { stagger_ = stagger; }

    enum class step { none, acquire, renew };
    // The write to make now. The caller then reports its result with written() or failed().
    step next(base::time_point now);
    // The row version that the write must be conditional on.
    store_version condition() const { return version_; }
    fencing_token next_fencing_token() const { return fencing_token(record_.token.value() + 1); }
    // Makes the next renewal due at once.
    void renew_soon() { next_write_ = {}; }
    // `sent`: when the write was sent.
    void written(store_version version, const owner_record& record, base::time_point sent);
    // The write may have been applied, or may still be, until the row has another version.
    void failed(base::time_point now);

    // Whether commands may be issued.
    bool may_issue_commands(base::time_point now) const;
    bool owns() const { return owns_; }
    // When the last confirmed renewal was sent, or earlier if it is not known which write the row
    // holds.
    base::time_point last_renewal_sent() const { return last_renewal_sent_; }
    // Steps down as owner. The content of the row decides who owns the fleet next.
    void step_down() { owns_ = false; }
    // Makes no takeover before this point in time.
    void defer_takeover_until(base::time_point until) { takeovers_deferred_until_ = until; }
    // Steps down permanently: this process does not become the owner again.
    void retire() {
        owns_ = false;
        retired_ = true;
    }
    const owner_record& record() const { return record_; }
    // A point in time after which the record's count was made. Empty if there is no count or if its
    // age is not known.
    std::optional<base::time_point> counted_after() const { return counted_after_; }

private:
    void set_record(const owner_record& record, std::optional<base::time_point> count_made_after);

    std::string holder_;
    std::string run_;
    std::string address_;
    ownership_settings settings_;
    owner_record record_;
    store_version version_;
    bool row_known_ = false;  // the row has been read
    bool owns_ = false;
    bool writing_ = false;
    bool retired_ = false;
    // The period in which every read found the row unchanged, without a gap.
    std::optional<base::time_point> unchanged_since_;
    std::optional<base::time_point> unchanged_until_;
    std::optional<base::time_point> last_read_;
    // The row's version `version_` was written after this point in time.
    std::optional<base::time_point> version_written_after_;
    std::optional<base::time_point> counted_after_;
    base::time_point last_renewal_sent_{};  // when the last confirmed write was sent
    base::time_point next_write_{};
    base::time_point takeovers_deferred_until_{};
    std::string ended_run_;
    std::string refusing_run_;
    std::string unresponsive_run_;
    bool previous_owner_ended_ = false;
    milliseconds stagger_{0};
    // When the first write that is conditional on `version_` was sent. If the next version of the
    // row is this daemon's, any of these writes may be the one that was carried out.
    std::optional<base::time_point> first_write_sent_;
};

}  // namespace cranberrydock::fleet
