// One patch on its way into the chain: read the head, catch up with it, check the base, build the
// new version, commit it, and after a lost answer read back whose version stands there.
#pragma once

#include <cranberrydock/config/version_chain.hpp>

#include <optional>
#include <string>

namespace cranberrydock::config::detail {

// The head row as it was read.
struct head_state {
    base::config_version version;
    platform::row_version row;
};

// What a patch needs of the chain.
class chain_access {
public:
    virtual ~chain_access() = default;
    virtual store_operation read(const platform::row_key& key) = 0;
    virtual store_operation commit(platform::transaction what) = 0;
    // Null when nothing is in force yet.
    virtual configuration_ptr current() const = 0;
    virtual const std::string& current_document() const = 0;
    // A head read came back: learn from it, and fetch the version when it is a newer one.
    virtual std::optional<head_state> learn_head(const row_read& read) = 0;
    // This version was committed by this daemon, in a transaction sent at `sent_at` or later.
    virtual void committed(configuration_ptr made, const std::string& document,
                           base::time_point sent_at) = 0;
};

class patch_commit {
public:
    patch_commit(patch_requested request, std::string writer, base::time_point deadline,
                 base::milliseconds retry);

    // True when the operation was this patch's.
    bool on_read(const row_read& read, chain_access& chain, base::time_point now);
    bool on_commit(const rows_committed& done, chain_access& chain, base::time_point now);

    // Takes the next step that needs no answer. `hold`: commit nothing now.
    void advance(chain_access& chain, base::time_point now, bool hold);

    const patch_call& call() const { return request_.call; }
    const std::optional<patch_outcome>& outcome() const { return outcome_; }

    // The head row's version that an unresolved commit of this patch is conditional on; nothing
    // when none was sent, or what became of it is known.
    std::optional<platform::row_version> unresolved() const;

private:
    enum class step {
        need_head,
        reading_head,
        catching_up,  // the head names a version that is not in force here yet
        committing,
        need_read_back,
        reading_back,
    };

    void check_base(chain_access& chain, base::time_point now, bool hold);
    void build(chain_access& chain, base::time_point now);
    void send_commit(chain_access& chain, base::time_point now);
    void read_back(const row_read& read, chain_access& chain, base::time_point now);
    void accept(chain_access& chain);
    void give_up();
    void retry_from(step next, base::time_point now);

    patch_requested request_;
    std::string writer_;
    base::time_point deadline_;
    base::milliseconds retry_;

    step step_ = step::need_head;
    base::time_point not_before_{};  // the next attempt
    store_operation waiting_for_;
    head_state head_;
    configuration_ptr made_;
    std::string document_;
    platform::transaction transaction_;
    std::optional<base::time_point> commit_sent_at_;  // the first attempt's
    // Invariant: true from the first answer that was lost until the row was read back as ours or
    // another's. Only false proves that nothing of this patch can be in the chain.
    bool may_be_written_ = false;
    std::optional<patch_outcome> outcome_;
};

}  // namespace cranberrydock::config::detail
