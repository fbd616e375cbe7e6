// Commits one patch to the chain: reads the head row, waits until its version is in force here,
// checks the patch's base, builds the new version and commits it. If the answer to the commit is
// lost, reads the version row back to find out which writer's version it holds.
#pragma once

#include <cranberrydock/config/version_chain.hpp>

#include <optional>
#include <string>

namespace cranberrydock::config::detail {

// The head row as of one read.
struct head_state {
    base::config_version version;  // the row's content
    platform::row_version row;     // the table service's version of the row
};

// The operations of the chain that a patch uses.
class chain_access {
public:
    virtual ~chain_access() = default;
    virtual store_operation read(const platform::row_key& key) = 0;
    virtual store_operation commit(platform::transaction changes) = 0;
    // The version in force; null if there is none yet.
    virtual configuration_ptr current() const = 0;
    virtual const std::string& current_document() const = 0;
    // Processes the result of a head read, and starts to fetch the version if it is newer. Returns
    // nullopt when the read failed or the row is malformed.
    virtual std::optional<head_state> process_head_read(const row_read& read) = 0;
    // This daemon committed `new_version`, in a transaction sent at `sent_at` or later.
    virtual void on_committed(configuration_ptr new_version, const std::string& document,
                              base::time_point sent_at) = 0;
};

class patch_commit {
public:
    patch_commit(patch_requested request, std::string writer, base::time_point deadline,
                 base::milliseconds retry_interval);

    // Each returns false, without effect, when the operation doesn't belong to this patch.
    bool on_read(const row_read& read, chain_access& chain, base::time_point now);
    bool on_commit(const rows_committed& done, chain_access& chain, base::time_point now);

    // Performs the next step, unless an operation of the store is pending. With `commits_blocked`,
    // a patch that is ready to be committed is refused instead.
    void advance(chain_access& chain, base::time_point now, bool commits_blocked);

    const patch_call& call() const { return request_.call; }
    const std::optional<patch_outcome>& outcome() const { return outcome_; }

    // If this patch has a commit with an unknown outcome: the version of the head row that the
    // commit is conditional on. Otherwise nullopt.
    std::optional<platform::row_version> unresolved() const;

private:
    enum class step {
        need_head,
        reading_head,
        catching_up,  // waits until the version of the head row is in force here
        committing,
        need_read_back,
        reading_back,
    };

    void check_base(chain_access& chain, base::time_point now, bool commits_blocked);
    void build(chain_access& chain, base::time_point now);
    void send_commit(chain_access& chain, base::time_point now);
    void read_back(const row_read& read, chain_access& chain, base::time_point now);
    void accept(chain_access& chain);
    void abandon();
    void schedule_retry(step next, base::time_point now);

    patch_requested request_;
    std::string writer_;
    base::time_point deadline_;
    base::milliseconds retry_interval_;

    step step_ = step::need_head;
    base::time_point next_attempt_at_{};
    store_operation pending_operation_;
    head_state head_;
    configuration_ptr new_configuration_;
    std::string document_;
    platform::transaction transaction_;
    std::optional<base::time_point> commit_sent_at_;  // of the first attempt
    // Invariant: true from the first lost answer until a read of the version row has shown the
    // writer, this daemon or another. While it is true, the patch may be in the chain.
    bool may_be_written_ = false;
    std::optional<patch_outcome> outcome_;
};

}  // namespace cranberrydock::config::detail
