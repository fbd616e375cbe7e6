// The state machine of the version chain: polls the head row, receives versions from the store and
// from peers, records evidence of which version is the newest, and commits one patch at a time.
#include <cranberrydock/config/version_chain.hpp>
#include <cranberrydock/config/version_record.hpp>

#include "patch_commit.hpp"
#include "version_evidence.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>

namespace cranberrydock::config {
namespace {

// A daemon keeps its outage promise longer by this margin than the requester relies on it, since
// their clocks may run at different speeds.
constexpr int promise_margin_percent = 5;

base::findings single_finding(base::finding fault) {
    base::findings out;
    out.add(std::move(fault));
    return out;
}

}  // namespace

class version_chain::machine final : private detail::chain_access {
public:
    explicit machine(version_chain_settings settings) : settings_(std::move(settings)) {}

    std::vector<chain_effect> handle(const chain_event& event, base::time_point now) {
        now_ = now;
        std::visit([this](const auto& it) { on(it); }, event);
        poll_head();
        process_patches();
        return std::exchange(effects_, {});
    }

    configuration_ptr in_force() const { return in_force_; }
    const std::string& document() const { return document_; }
    std::optional<base::time_point> newest_at() const { return evidence_.newest_at(); }
    const version_chain_settings& settings() const { return settings_; }

private:
    struct queued_patch {
        patch_requested request;
        base::time_point deadline;
    };

    // ---- events

    void on(const chain_tick& /*unused*/) {}

    void on(const patch_requested& request) {
        if (queued_patches_.size() >= settings_.max_queued_patches) {
            finish(request.call,
                   base::refusal{base::refusal_reason::overloaded, true, settings_.patch_deadline,
                                 "expected fewer waiting patches; try again later"});
            return;
        }
        queued_patches_.push_back({request, now_ + settings_.patch_deadline});
    }

    void on(const row_read& read) {
        const auto sent = read_sent_at_.find(read.operation);
        if (sent == read_sent_at_.end()) {
            return;
        }
        current_read_sent_at_ = sent->second;
        read_sent_at_.erase(sent);
        if (patch_ && patch_->on_read(read, *this, now_)) {
            return;
        }
        if (read.operation == poll_operation_) {
            poll_operation_ = store_operation();
            process_head_read(read);
        } else if (read.operation == fetch_operation_) {
            fetch_operation_ = store_operation();
            process_version_read(read);
        }
    }

    void on(const rows_committed& done) {
        const bool belongs_to_patch = patch_ && patch_->on_commit(done, *this, now_);
        if (!belongs_to_patch) {
            next_poll_ = now_;  // the patch was abandoned: a poll shows whether it was committed
        }
    }

    void on(const version_announced& announced) {
        if (received_ != nullptr && announced.version <= received_->version) {
            return;
        }
        receive_document(announced.version, announced.document);
    }

    void on(const peer_version& peer) {
        if (peer.evidence) {
            add_claim(peer.version, peer.evidence->query_sent_at - peer.evidence->age);
        }
        if (in_force_ != nullptr && peer.version < in_force_->version) {
            push_newest_to(peer.peer);
        }
    }

    void on(const outage_query& query) {
        const bool given = !store_reachable_ && in_force_ != nullptr && !has_unresolved_commit();
        outage_answer answer{query.requester, query.call, given, {}, {}};
        if (given) {
            block_commits_for(settings_.promise_validity);
            answer.version = evidence_.highest();
            answer.valid_for = settings_.promise_validity;
        }
        effects_.emplace_back(answer);
    }

    void on(const outage_confirmed& confirmed) {
        if (has_unresolved_commit()) {
            return;
        }
        block_commits_for(confirmed.valid_for);
        // The promises don't include versions that this daemon committed after it sent the queries.
        const base::config_version newest = std::max(confirmed.version, evidence_.highest());
        add_claim(newest, confirmed.query_sent_at + confirmed.valid_for);
    }

    // Returns true if the outcome of a commit of this daemon is unknown, so that the store may
    // still apply it.
    bool has_unresolved_commit() const {
        return unresolved_head_row_ || (patch_ && patch_->unresolved());
    }

    void block_commits_for(base::milliseconds time) {
        const base::duration margin = base::duration(time) * promise_margin_percent / 100;
        commits_blocked_until_ = std::max(commits_blocked_until_, now_ + time + margin);
    }

    // ---- chain_access, used by patch_commit

    store_operation read(const platform::row_key& key) override {
        last_operation_ = last_operation_.next();
        read_sent_at_[last_operation_] = now_;
        effects_.emplace_back(read_row{last_operation_, key});
        return last_operation_;
    }

    store_operation commit(platform::transaction changes) override {
        last_operation_ = last_operation_.next();
        effects_.emplace_back(commit_rows{last_operation_, std::move(changes)});
        return last_operation_;
    }

    configuration_ptr current() const override { return in_force_; }
    const std::string& current_document() const override { return document_; }

    std::optional<detail::head_state> process_head_read(const row_read& read) override {
        store_reachable_ = read.result.has_value();
        if (!store_reachable_) {
            return std::nullopt;
        }
        detail::head_state head;
        if (*read.result) {
            const auto version = decode_head((*read.result)->value);
            if (!version) {
                effects_.emplace_back(version_unreadable{
                    {},
                    single_finding({head_key().str(), "a version number", "something else",
                                    "daemons never write this; restore the row"})});
                return std::nullopt;
            }
            head = {*version, (*read.result)->version};
        }
        // Only a newer row proves that the unresolved commit can't be applied any more: the answer
        // to an older read may arrive late and show an older version of the row.
        if (unresolved_head_row_ && *unresolved_head_row_ < head.row) {
            unresolved_head_row_.reset();
        }
        if (head.version == base::config_version(0) && received_ == nullptr) {
            receive_document(head.version, "{}");
        }
        add_claim(head.version, current_read_sent_at_);
        fetch_if_newer(head.version);
        return head;
    }

    void on_committed(configuration_ptr new_version, const std::string& document,
                      base::time_point sent_at) override {
        effects_.emplace_back(announce_version{new_version->version, document, {}});
        const base::config_version version = new_version->version;
        set_received(std::move(new_version), document);
        add_claim(version, sent_at);
    }

    // ---- received versions and evidence

    void fetch_if_newer(base::config_version version) {
        const bool already_received = received_ != nullptr && version <= received_->version;
        if (already_received || fetch_operation_ != store_operation()) {
            return;
        }
        fetched_version_ = version;
        fetch_operation_ = read(version_key(version));
    }

    void process_version_read(const row_read& read) {
        if (!read.result) {
            return;  // the next poll of the head starts a new fetch
        }
        const auto record =
            *read.result ? decode_version((*read.result)->value) : std::optional<version_record>();
        if (!record) {
            effects_.emplace_back(version_unreadable{
                fetched_version_,
                single_finding({version_key(fetched_version_).str(), "the record of a version",
                                *read.result ? "something else" : "no row",
                                "daemons never write this; restore the row"})});
            return;
        }
        receive_document(fetched_version_, record->document);
    }

    void receive_document(base::config_version version, const std::string& document) {
        auto parsed = parse_configuration(document, version);
        if (!parsed) {
            effects_.emplace_back(version_unreadable{version, parsed.error()});
            return;
        }
        set_received(std::move(*parsed), document);
    }

    void set_received(configuration_ptr version, const std::string& document) {
        if (received_ != nullptr && version->version <= received_->version) {
            return;
        }
        received_ = std::move(version);
        received_document_ = document;
        update_in_force();
    }

    void add_claim(base::config_version version, base::time_point at) {
        evidence_.add_claim(version, at);
        update_in_force();
    }

    // Puts the received version in force once there is evidence for it. Without evidence it stays
    // out of force: an announcement may have been in transit for a long time, and an earlier daemon
    // on this VM may already have worked under a later version.
    void update_in_force() {
        if (received_ == nullptr || !evidence_.supports(received_->version)) {
            return;
        }
        if (in_force_ == nullptr || in_force_->version < received_->version) {
            in_force_ = received_;
            document_ = received_document_;
            effects_.emplace_back(version_in_force{in_force_, document_});
        }
        evidence_.mark_in_force(in_force_->version);
    }

    // ---- announcements and polls

    // Sends the version in force to a peer, at most once in each poll interval.
    void push_newest_to(const base::daemon_id& peer) {
        const auto it = last_push_at_.find(peer);
        if (it != last_push_at_.end() && now_ < it->second + settings_.poll_interval) {
            return;
        }
        for (auto old = last_push_at_.begin(); old != last_push_at_.end();) {
            old = now_ < old->second + settings_.poll_interval ? std::next(old)
                                                               : last_push_at_.erase(old);
        }
        last_push_at_[peer] = now_;
        effects_.emplace_back(announce_version{in_force_->version, document_, peer});
    }

    void poll_head() {
        if (now_ < next_poll_ || poll_operation_ != store_operation()) {
            return;
        }
        next_poll_ = now_ + settings_.poll_interval;
        poll_operation_ = read(head_key());
    }

    // ---- patches

    void process_patches() {
        while (patch_ || !queued_patches_.empty()) {
            if (!patch_) {
                start_next_patch();
            }
            patch_->advance(*this, now_, now_ < commits_blocked_until_);
            if (!patch_->outcome()) {
                return;
            }
            if (const auto head_row = patch_->unresolved()) {
                unresolved_head_row_ = head_row;
            }
            finish(patch_->call(), *patch_->outcome());
            patch_.reset();
        }
    }

    void start_next_patch() {
        queued_patch next = std::move(queued_patches_.front());
        queued_patches_.pop_front();
        patch_count_ = patch_count_.next();
        const std::string writer =
            settings_.self.str() + "#" + std::to_string(patch_count_.value());
        patch_.emplace(std::move(next.request), writer, next.deadline, settings_.retry_interval);
    }

    void finish(patch_call call, patch_outcome outcome) {
        effects_.emplace_back(patch_finished{call, std::move(outcome)});
    }

    version_chain_settings settings_;
    base::time_point now_{};
    std::vector<chain_effect> effects_;  // of the current event

    // Invariant: in_force_ is received_, or an earlier version, or null.
    configuration_ptr in_force_;
    std::string document_;
    configuration_ptr received_;  // highest committed version received, which may be out of date
    std::string received_document_;
    detail::version_evidence evidence_;

    store_operation last_operation_;
    std::map<store_operation, base::time_point> read_sent_at_;  // of pending reads
    base::time_point current_read_sent_at_{};  // of the read that is being processed
    store_operation poll_operation_;           // 0: none
    store_operation fetch_operation_;          // 0: none
    base::config_version fetched_version_;
    base::time_point next_poll_{};
    bool store_reachable_ = true;  // as of the last head read

    std::deque<queued_patch> queued_patches_;
    std::optional<detail::patch_commit> patch_;  // the patch in progress
    patch_call patch_count_;                     // patches started; makes writer ids unique
    // The version of the head row that an abandoned commit with an unknown outcome is conditional
    // on. While the row has this version, the commit may still be applied, so this daemon gives no
    // outage promise.
    std::optional<platform::row_version> unresolved_head_row_;
    base::time_point commits_blocked_until_{};  // by outage promises

    // When each peer was last sent the version in force; entries older than `poll_interval` are
    // removed.
    std::map<base::daemon_id, base::time_point> last_push_at_;
};

version_chain::version_chain(version_chain_settings settings)
    : machine_(std::make_unique<machine>(std::move(settings))) {}
version_chain::~version_chain() = default;
version_chain::version_chain(version_chain&&) noexcept = default;
version_chain& version_chain::operator=(version_chain&&) noexcept = default;

std::vector<chain_effect> version_chain::handle(const chain_event& event, base::time_point now) {
    return machine_->handle(event, now);
}

configuration_ptr version_chain::in_force() const {
    return machine_->in_force();
}

const std::string& version_chain::document() const {
    return machine_->document();
}

std::optional<base::time_point> version_chain::newest_at() const {
    return machine_->newest_at();
}

std::optional<base::time_point> version_chain::fresh_until() const {
    const auto at = newest_at();
    return at ? std::optional(*at + machine_->settings().freshness) : std::nullopt;
}

}  // namespace cranberrydock::config
