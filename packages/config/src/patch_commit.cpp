// The steps of one patch.
#include "patch_commit.hpp"

#include <cranberrydock/config/version_record.hpp>

#include <utility>

namespace cranberrydock::config::detail {
namespace {

base::refusal store_unavailable() {
    return {base::refusal_reason::store_unavailable, true, base::seconds(1),
            "expected the table service to take the new version, found it unavailable; nothing was "
            "changed, try again"};
}

base::refusal outcome_unknown() {
    return {base::refusal_reason::outcome_unknown, false, base::milliseconds(0),
            "the table service did not say whether it took the new version; look for the patch in "
            "the history (cranberryctl config history) before trying again"};
}

}  // namespace

patch_commit::patch_commit(patch_requested request, std::string writer, base::time_point deadline,
                           base::milliseconds retry)
    : request_(std::move(request)),
      writer_(std::move(writer)),
      deadline_(deadline),
      retry_(retry) {}

std::optional<platform::row_version> patch_commit::unresolved() const {
    const bool open = may_be_written_ || step_ == step::committing;
    return open ? std::optional(head_.row) : std::nullopt;
}

void patch_commit::retry_from(step next, base::time_point now) {
    step_ = next;
    not_before_ = now + retry_;
}

void patch_commit::give_up() {
    outcome_ = unresolved() ? outcome_unknown() : store_unavailable();
}

void patch_commit::advance(chain_access& chain, base::time_point now, bool hold) {
    if (outcome_) {
        return;
    }
    if (now >= deadline_) {
        give_up();
        return;
    }
    const configuration_ptr current = chain.current();
    switch (step_) {
        case step::need_head:
            if (current != nullptr && request_.base < current->version) {
                outcome_ = patch_conflict{current->version};
            } else if (now >= not_before_) {
                waiting_for_ = chain.read(head_key());
                step_ = step::reading_head;
            }
            break;
        case step::catching_up:
            check_base(chain, now, hold);
            break;
        case step::need_read_back:
            if (now >= not_before_) {
                waiting_for_ = chain.read(version_key(request_.base.next()));
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
    if (read.operation != waiting_for_) {
        return false;
    }
    if (step_ == step::reading_back) {
        read_back(read, chain, now);
        return true;
    }
    const auto head = chain.learn_head(read);
    if (!head) {
        retry_from(step::need_head, now);
        return true;
    }
    head_ = *head;
    not_before_ = now + retry_;
    step_ = step::catching_up;
    return true;
}

void patch_commit::check_base(chain_access& chain, base::time_point now, bool hold) {
    const configuration_ptr current = chain.current();
    if (current == nullptr || current->version < head_.version) {
        if (now >= not_before_) {
            step_ = step::need_head;
        }
        return;
    }
    if (request_.base != current->version) {
        outcome_ = patch_conflict{current->version};
        return;
    }
    if (current->version != head_.version) {
        step_ = step::need_head;  // it moved on since the head was read
        return;
    }
    if (hold) {
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
    auto made = parse_configuration(*patched, request_.base.next());
    if (!made) {
        outcome_ = patch_invalid{made.error()};
        return;
    }
    made_ = std::move(*made);
    document_ = *patched;
    const version_record record{document_, request_.author, request_.patch, request_.at, writer_};
    transaction_.conditions = {{head_key(), head_.row},
                               {version_key(made_->version), platform::row_version(0)}};
    transaction_.writes = {{head_key(), encode_head(made_->version)},
                           {version_key(made_->version), encode(record)}};
    send_commit(chain, now);
}

void patch_commit::send_commit(chain_access& chain, base::time_point now) {
    if (!commit_sent_at_) {
        commit_sent_at_ = now;
    }
    waiting_for_ = chain.commit(transaction_);
    step_ = step::committing;
}

bool patch_commit::on_commit(const rows_committed& done, chain_access& chain,
                             base::time_point now) {
    if (step_ != step::committing || done.operation != waiting_for_) {
        return false;
    }
    if (done.result) {
        accept(chain);
        return true;
    }
    switch (done.result.error()) {
        case platform::store_error::answer_lost:
            may_be_written_ = true;
            retry_from(step::need_read_back, now);
            not_before_ = now;
            break;
        case platform::store_error::conflict:
            step_ = may_be_written_ ? step::need_read_back : step::need_head;
            break;
        case platform::store_error::unavailable:
            // This attempt wrote nothing, but an earlier one may have.
            if (may_be_written_) {
                retry_from(step::need_read_back, now);
            } else {
                step_ = step::need_head;
                outcome_ = store_unavailable();
            }
            break;
    }
    return true;
}

// After a lost answer. An absent row does not prove that the transaction failed: it may still be on
// its way. Sending the very same one again settles it, since both have the same conditions and only
// one of them can hold.
void patch_commit::read_back(const row_read& read, chain_access& chain, base::time_point now) {
    if (!read.result) {
        retry_from(step::need_read_back, now);
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
    may_be_written_ = false;  // another's version stands there, so ours never can
    step_ = step::need_head;
    outcome_ = patch_conflict{request_.base.next()};
}

void patch_commit::accept(chain_access& chain) {
    may_be_written_ = false;
    step_ = step::need_head;
    chain.committed(made_, document_, *commit_sent_at_);
    outcome_ = patch_accepted{made_->version};
}

}  // namespace cranberrydock::config::detail
