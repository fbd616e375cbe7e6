// The steps by which one patch is committed.
#include "patch_commit.hpp"

#include <cranberrydock/config/version_record.hpp>

#include <utility>

namespace cranberrydock::config::detail {
namespace {

base::refusal store_unavailable() {
    return {base::refusal_reason::store_unavailable, true, base::seconds(1),
            "expected the table service to accept the new version, found it unavailable; nothing "
            "was changed, try again"};
}

base::refusal outcome_unknown() {
    return {
        base::refusal_reason::outcome_unknown, false, base::milliseconds(0),
        "the table service did not confirm whether it wrote the new version; look for the patch "
        "in the history (cranberryctl config history) before trying again"};
}

}  // namespace

patch_commit::patch_commit(patch_requested request, std::string writer, base::time_point deadline,
                           base::milliseconds retry_interval)
    : request_(std::move(request)),
      writer_(std::move(writer)),
      deadline_(deadline),
      retry_interval_(retry_interval) {}

std::optional<platform::row_version> patch_commit::unresolved() const {
    const bool is_pending = may_be_written_ || step_ == step::committing;
    return is_pending ? std::optional(head_.row) : std::nullopt;
}

void patch_commit::schedule_retry(step next, base::time_point now) {
    step_ = next;
    next_attempt_at_ = now + retry_interval_;
}

void patch_commit::abandon() {
    outcome_ = unresolved() ? outcome_unknown() : store_unavailable();
}

void patch_commit::advance(chain_access& chain, base::time_point now, bool commits_blocked) {
    if (outcome_) {
        return;
    }
    if (now >= deadline_) {
        abandon();
        return;
    }
    const configuration_ptr current = chain.current();
    switch (step_) {
        case step::need_head:
            if (current != nullptr && request_.base < current->version) {
                outcome_ = patch_conflict{current->version};
            } else if (now >= next_attempt_at_) {
                pending_operation_ = chain.read(head_key());
                step_ = step::reading_head;
            }
            break;
        case step::catching_up:
            check_base(chain, now, commits_blocked);
            break;
        case step::need_read_back:
            if (now >= next_attempt_at_) {
                pending_operation_ = chain.read(version_key(request_.base.next()));
                step_ = step::reading_back;
            }
            break;
        case step::reading_head:
        case step::committing:
        case step::reading_back:
            break;
    }
}

bool patch_commit::on_read(const row_read& read, chain_access& chain, base::time_point now) {
    if (read.operation != pending_operation_) {
        return false;
    }
    if (step_ == step::reading_back) {
        read_back(read, chain, now);
        return true;
    }
    const auto head = chain.process_head_read(read);
    if (!head) {
        schedule_retry(step::need_head, now);
        return true;
    }
    head_ = *head;
    next_attempt_at_ = now + retry_interval_;
    step_ = step::catching_up;
    return true;
}

void patch_commit::check_base(chain_access& chain, base::time_point now, bool commits_blocked) {
    const configuration_ptr current = chain.current();
    if (current == nullptr || current->version < head_.version) {
        if (now >= next_attempt_at_) {
            step_ = step::need_head;
        }
        return;
    }
    if (request_.base != current->version) {
        outcome_ = patch_conflict{current->version};
        return;
    }
    if (current->version != head_.version) {
        step_ = step::need_head;  // a newer version came into force after the head was read
        return;
    }
    if (commits_blocked) {
        outcome_ = store_unavailable();
        return;
    }
    build(chain, now);
}

void patch_commit::build(chain_access& chain, base::time_point now) {
    const auto patched = apply_patch(chain.current_document(), request_.patch);
    if (!patched) {
        outcome_ = patch_invalid{patched.error()};
        return;
    }
    auto parsed = parse_configuration(*patched, request_.base.next());
    if (!parsed) {
        outcome_ = patch_invalid{parsed.error()};
        return;
    }
    new_configuration_ = std::move(*parsed);
    document_ = *patched;
    const version_record record{document_, request_.author, request_.patch, request_.at, writer_};
    transaction_.conditions = {
        {head_key(), head_.row},
        {version_key(new_configuration_->version), platform::row_version(0)}};
    transaction_.writes = {{head_key(), encode_head(new_configuration_->version)},
                           {version_key(new_configuration_->version), encode(record)}};
    send_commit(chain, now);
}

void patch_commit::send_commit(chain_access& chain, base::time_point now) {
    if (!commit_sent_at_) {
        commit_sent_at_ = now;
    }
    pending_operation_ = chain.commit(transaction_);
    step_ = step::committing;
}

bool patch_commit::on_commit(const rows_committed& done, chain_access& chain,
                             base::time_point now) {
    if (step_ != step::committing || done.operation != pending_operation_) {
        return false;
    }
    if (done.result) {
        accept(chain);
        return true;
    }
    switch (done.result.error()) {
        case platform::store_error::answer_lost:
            may_be_written_ = true;
            schedule_retry(step::need_read_back, now);
            next_attempt_at_ = now;
            break;
        case platform::store_error::conflict:
            step_ = may_be_written_ ? step::need_read_back : step::need_head;
            break;
        case platform::store_error::unavailable:
            // This attempt wrote nothing, but an earlier attempt may have.
            if (may_be_written_) {
                schedule_retry(step::need_read_back, now);
            } else {
                step_ = step::need_head;
                outcome_ = store_unavailable();
            }
            break;
    }
    return true;
}

// Processes the read that follows a lost answer to a commit. An absent row doesn't prove that the
// transaction failed, since it may still be in transit. In this case the identical transaction is
// sent again: both attempts have the same conditions, so at most one of them can be applied.
void patch_commit::read_back(const row_read& read, chain_access& chain, base::time_point now) {
    if (!read.result) {
        schedule_retry(step::need_read_back, now);
        return;
    }
    if (!*read.result) {
        send_commit(chain, now);
        return;
    }
    const auto record = decode_version((*read.result)->value);
    if (record && record->writer == writer_) {
        accept(chain);
        return;
    }
    may_be_written_ = false;  // the row holds another writer's version, so ours can't be applied
    step_ = step::need_head;
    outcome_ = patch_conflict{request_.base.next()};
}

void patch_commit::accept(chain_access& chain) {
    may_be_written_ = false;
    step_ = step::need_head;
    chain.on_committed(new_configuration_, document_, *commit_sent_at_);
    outcome_ = patch_accepted{new_configuration_->version};
}

}  // namespace cranberrydock::config::detail
