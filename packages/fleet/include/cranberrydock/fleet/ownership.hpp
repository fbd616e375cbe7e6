// Who owns the fleet. One row of the store names the owner and its fence; the owner renews the row,
// and who sees it unrenewed for long enough takes it over under a condition on its version. Pure.
//
// Safety does not rest on who is believed to be alive. A taker raises the fence, which VMs obey,
// and starts nothing before every VM has heard of it or the earlier owner's orders must have ended:
// an owner gives none later than `valid_for` after it has sent the last renewal that was confirmed.
// Hence a taker may be quick, and an owner may go on through an outage of the store. Time in which
// the store could not be read does not count towards a takeover, so that an outage of the store
// alone changes no owner.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cranberrydock::fleet {

// How many accepted jobs have not begun, a queue an entry. Counted by an owner that had read all
// jobs.
struct waiting_count {
    // Which count it is: no other has both.
    fence counted_by;
    std::int64_t number = 0;
    std::map<queue_name, std::int64_t> jobs;
};

// The content of the owner's row.
struct owner_record {
    std::string holder;  // name of the daemon's VM; empty: free to take
    std::string run;     // of the daemon's process; another run of the holder may take over at once
    fence owner;
    // For whoever is asked about a queue. A taker leaves the earlier owner's in the row until it
    // has counted itself; nothing: nobody has.
    std::optional<waiting_count> waiting;
    // Queues in which new work could not be served any more, and for how long that will last.
    std::map<queue_name, milliseconds> overloaded;
    // The largest VM, and each label that a VM has had: what never fits is refused at once.
    resources largest_vm;
    std::set<vm_label> labels;
    // VMs that the owner knows. The next owner may find fewer listed: entries lapse while the store
    // is away, and are back a little after it.
    std::size_t vm_count = 0;
};

std::string encode_owner(const owner_record& record);
std::optional<owner_record> decode_owner(const std::string& value);

struct ownership_settings {
    milliseconds renew_every{400};
    milliseconds valid_for{6'500};
    milliseconds takeover_after{1'300};
    // The same when the holder's VM refuses connections: a renewal has been missed as well.
    milliseconds takeover_of_refusing_after{550};
    // The same when several questions in a row were not answered: two renewals have been missed.
    milliseconds takeover_of_silent_after{900};
    // Between two readings the row counts as unchanged for so long: a change would have been told
    // at once, and a taker's write has the condition that there was none.
    milliseconds between_readings{700};
};

class ownership {
public:
    ownership(std::string holder, std::string run, const ownership_settings& settings);

    // The row as the store shows it now; nothing when there is none.
    void row_read(const std::optional<owner_record>& record, store_version version,
                  base::time_point now);
    // The store was read and the row has not changed.
    void row_unchanged(base::time_point now);
    // The store could not be read.
    void store_unreadable();
    // The process that holds the row has surely ended.
    void holder_ended(const std::string& run) { ended_run_ = run; }
    // Its VM says that nothing listens there; a broken network may say so too.
    void holder_refused(const std::string& run) { refused_run_ = run; }
    // It does not answer, or does again.
    void holder_silent(const std::string& run) { silent_run_ = run; }
    void holder_answers(const std::string& run) {
        if (silent_run_ == run) {
            silent_run_.clear();
        }
    }
    // Whether the owner before this one has surely ended.
    bool earlier_owner_ended() const { return earlier_ended_; }
    // Takers wait for so long in addition, so that the one nearest to the store comes first.
    void set_stagger(milliseconds stagger) { stagger_ = stagger; }

    enum class step { nothing, acquire, renew };
    // What to write now. Answer it with written(), or failed() if it was surely not written.
    step next(base::time_point now);
    store_version condition() const { return version_; }
    fence next_fence() const { return fence(record_.owner.value() + 1); }
    void written(store_version version, const owner_record& record, base::time_point sent);
    // `unclear`: the write may still be done.
    void failed(bool unclear, base::time_point now);

    // Whether orders may be given.
    bool valid(base::time_point now) const;
    bool owns() const { return owns_; }
    // When the last renewal that was confirmed was sent.
    base::time_point renewed() const { return renewed_; }
    // Gives the fleet up; what is written in the row decides who owns it next.
    void give_up() { owns_ = false; }
    // Takes nothing over before that.
    void rest_until(base::time_point until) { rest_until_ = until; }
    // Gives the fleet up for good: this run of the daemon does not own it again.
    void retire() {
        owns_ = false;
        retired_ = true;
    }
    const owner_record& record() const { return record_; }
    // The count in the record was made after this. Nothing: there is none, or it may be of any age.
    std::optional<base::time_point> counted_after() const { return counted_after_; }

private:
    void set_record(const owner_record& record, std::optional<base::time_point> new_since);

    std::string holder_;
    std::string run_;
    ownership_settings settings_;
    owner_record record_;
    store_version version_;
    bool known_ = false;  // the row has been read
    bool owns_ = false;
    bool writing_ = false;
    bool retired_ = false;
    // Since when the row has been watched without a change or a gap.
    std::optional<base::time_point> unchanged_since_;
    std::optional<base::time_point> unchanged_until_;
    std::optional<base::time_point> last_read_;
    std::optional<base::time_point> written_after_;  // the row's version
    std::optional<base::time_point> counted_after_;
    base::time_point renewed_{};  // when the last confirmed write was sent
    base::time_point next_write_{};
    base::time_point rest_until_{};
    std::string ended_run_;
    std::string refused_run_;
    std::string silent_run_;
    bool earlier_ended_ = false;
    milliseconds stagger_{0};
    base::time_point last_sent_{};  // of the write under way or last under way
};

}  // namespace cranberrydock::fleet
