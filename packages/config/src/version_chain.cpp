// The chain: polls the head, takes versions from store and peers, keeps the evidence, and works on
// one patch at a time.
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

// A promiser counts its promise this much longer than the asker may, against clocks that run at
// different speeds.
constexpr int promise_margin_percent = 5;

base::findings one_finding(base::finding it) {
    base::findings out;
    out.add(std::move(it));
    return out;
}

}  // namespace

class version_chain::machine final : private detail::chain_access {
public:
    explicit machine(version_chain_settings settings) : settings_(std::move(settings)) {}

    std::vector<chain_effect> handle(const chain_event& event, base::time_point now) {
        now_ = now;
        std::visit([this](const auto& it) { on(it); }, event);
        poll();
        work_on_patches();
        return std::exchange(effects_, {});
    }

    configuration_ptr in_force() const { return in_force_; }
    const std::string& document() const { return document_; }
    std::optional<base::time_point> newest_at() const { return evidence_.newest_at(); }
    const version_chain_settings& settings() const { return settings_; }

private:
    struct patch_waiting {
        patch_requested request;
        base::time_point deadline;
    };

    // ---- events

    void on(const chain_tick& /*unused*/) {}

    void on(const patch_requested& request) {
        if (waiting_.size() >= settings_.max_waiting_patches) {
            finish(request.call,
                   base::refusal{base::refusal_reason::overloaded, true, settings_.patch_deadline,
                                 "expected fewer patches at once; try again later"});
            return;
        }
        waiting_.push_back({request, now_ + settings_.patch_deadline});
    }

    void on(const row_read& read) {
        const auto sent = sent_at_.find(read.operation);
        if (sent == sent_at_.end()) {
            return;
        }
        answered_read_sent_at_ = sent->second;
        sent_at_.erase(sent);
        if (patch_ && patch_->on_read(read, *this, now_)) {
            return;
        }
        if (read.operation == poll_operation_) {
            poll_operation_ = store_operation();
            learn_head(read);
        } else if (read.operation == fetch_operation_) {
            fetch_operation_ = store_operation();
            learn_version(read);
        }
    }

    void on(const rows_committed& done) {
        const bool ours = patch_ && patch_->on_commit(done, *this, now_);
        if (!ours) {
            next_poll_ = now_;  // of a patch that was given up: see what became of it
        }
    }

    void on(const version_announced& announced) {
        if (held_ != nullptr && announced.version <= held_->version) {
            return;
        }
        take(announced.version, announced.document);
    }

    void on(const peer_version& peer) {
        if (peer.evidence) {
            claim(peer.version, peer.evidence->asked_at - peer.evidence->age);
        }
        if (in_force_ != nullptr && peer.version < in_force_->version) {
            push_to(peer.peer);
        }
    }

    void on(const outage_asked& asked) {
        const bool given = !store_reachable_ && in_force_ != nullptr && !commit_is_open();
        outage_promised answer{asked.by, asked.call, given, {}, {}};
        if (given) {
            commit_nothing_for(settings_.promise);
            answer.version = evidence_.highest();
            answer.lasting = settings_.promise;
        }
        effects_.emplace_back(answer);
    }

    void on(const outage_confirmed& confirmed) {
        if (commit_is_open()) {
            return;
        }
        commit_nothing_for(confirmed.lasting);
        // What this daemon committed itself after it had asked is not in the promises.
        const base::config_version newest = std::max(confirmed.version, evidence_.highest());
        claim(newest, confirmed.asked_at + confirmed.lasting);
    }

    // Whether a commit of this daemon may still be applied without its knowing.
    bool commit_is_open() const { return unresolved_ || (patch_ && patch_->unresolved()); }

    void commit_nothing_for(base::milliseconds time) {
        const base::duration margin = base::duration(time) * promise_margin_percent / 100;
        hold_until_ = std::max(hold_until_, now_ + time + margin);
    }

    // ---- what patches ask of the chain

    store_operation read(const platform::row_key& key) override {
        last_operation_ = last_operation_.next();
        sent_at_[last_operation_] = now_;
        effects_.emplace_back(read_row{last_operation_, key});
        return last_operation_;
    }

    store_operation commit(platform::transaction what) override {
        last_operation_ = last_operation_.next();
        effects_.emplace_back(commit_rows{last_operation_, std::move(what)});
        return last_operation_;
    }

    configuration_ptr current() const override { return in_force_; }
    const std::string& current_document() const override { return document_; }

    std::optional<detail::head_state> learn_head(const row_read& read) override {
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
                    one_finding({head_key().str(), "a version number", "something else",
                                 "no daemon writes that; restore the row"})});
                return std::nullopt;
            }
            head = {*version, (*read.result)->version};
        }
        // An older version of the row may come from a read that was long on its way.
        if (unresolved_ && *unresolved_ < head.row) {
            unresolved_.reset();
        }
        if (head.version == base::config_version(0) && held_ == nullptr) {
            take(head.version, "{}");
        }
        claim(head.version, answered_read_sent_at_);
        fetch_if_newer(head.version);
        return head;
    }

    void committed(configuration_ptr made, const std::string& document,
                   base::time_point sent_at) override {
        effects_.emplace_back(announce_version{made->version, document, {}});
        const base::config_version version = made->version;
        hold(std::move(made), document);
        claim(version, sent_at);
    }

    // ---- learning

    void fetch_if_newer(base::config_version version) {
        const bool known = held_ != nullptr && version <= held_->version;
        if (known || fetch_operation_ != store_operation()) {
            return;
        }
        fetched_version_ = version;
        fetch_operation_ = read(version_key(version));
    }

    void learn_version(const row_read& read) {
        if (!read.result) {
            return;  // the next poll sees the head again
        }
        const auto record =
            *read.result ? decode_version((*read.result)->value) : std::optional<version_record>();
        if (!record) {
            effects_.emplace_back(version_unreadable{
                fetched_version_,
                one_finding({version_key(fetched_version_).str(), "the record of a version",
                             *read.result ? "something else" : "no row",
                             "no daemon writes that; restore the row"})});
            return;
        }
        take(fetched_version_, record->document);
    }

    void take(base::config_version version, const std::string& document) {
        auto parsed = parse_configuration(document, version);
        if (!parsed) {
            effects_.emplace_back(version_unreadable{version, parsed.error()});
            return;
        }
        hold(std::move(*parsed), document);
    }

    void hold(configuration_ptr version, const std::string& document) {
        if (held_ != nullptr && version->version <= held_->version) {
            return;
        }
        held_ = std::move(version);
        held_document_ = document;
        put_in_force();
    }

    void claim(base::config_version version, base::time_point at) {
        evidence_.claim(version, at);
        put_in_force();
    }

    // Before the first evidence nothing is put in force: an announcement may have been on its way
    // for long, and this daemon's VM may have worked under a later version before.
    void put_in_force() {
        if (held_ == nullptr || !evidence_.supports(held_->version)) {
            return;
        }
        if (in_force_ == nullptr || in_force_->version < held_->version) {
            in_force_ = held_;
            document_ = held_document_;
            effects_.emplace_back(version_in_force{in_force_, document_});
        }
        evidence_.reached(in_force_->version);
    }

    // ---- telling

    void push_to(const base::daemon_id& peer) {
        const auto it = pushed_at_.find(peer);
        if (it != pushed_at_.end() && now_ < it->second + settings_.poll) {
            return;
        }
        for (auto old = pushed_at_.begin(); old != pushed_at_.end();) {
            old = now_ < old->second + settings_.poll ? std::next(old) : pushed_at_.erase(old);
        }
        pushed_at_[peer] = now_;
        effects_.emplace_back(announce_version{in_force_->version, document_, peer});
    }

    void poll() {
        if (now_ < next_poll_ || poll_operation_ != store_operation()) {
            return;
        }
        next_poll_ = now_ + settings_.poll;
        poll_operation_ = read(head_key());
    }

    // ---- patches

    void work_on_patches() {
        while (patch_ || !waiting_.empty()) {
            if (!patch_) {
                begin_patch();
            }
            patch_->advance(*this, now_, now_ < hold_until_);
            if (!patch_->outcome()) {
                return;
            }
            if (const auto open = patch_->unresolved()) {
                unresolved_ = open;
            }
            finish(patch_->call(), *patch_->outcome());
            patch_.reset();
        }
    }

    void begin_patch() {
        patch_waiting next = std::move(waiting_.front());
        waiting_.pop_front();
        patches_begun_ = patches_begun_.next();
        const std::string writer =
            settings_.self.str() + "#" + std::to_string(patches_begun_.value());
        patch_.emplace(std::move(next.request), writer, next.deadline, settings_.retry);
    }

    void finish(patch_call call, patch_outcome outcome) {
        effects_.emplace_back(patch_finished{call, std::move(outcome)});
    }

    version_chain_settings settings_;
    base::time_point now_{};
    std::vector<chain_effect> effects_;  // of the event in hand

    // Invariant: in_force_ is held_, or an earlier version, or null.
    configuration_ptr in_force_;
    std::string document_;
    configuration_ptr held_;  // the newest that was received; committed, but maybe long ago
    std::string held_document_;
    detail::version_evidence evidence_;

    store_operation last_operation_;
    std::map<store_operation, base::time_point> sent_at_;  // of reads under way
    base::time_point answered_read_sent_at_{};             // of the read in hand
    store_operation poll_operation_;                       // 0: none
    store_operation fetch_operation_;                      // 0: none
    base::config_version fetched_version_;
    base::time_point next_poll_{};
    bool store_reachable_ = true;  // by the last head read

    std::deque<patch_waiting> waiting_;
    std::optional<detail::patch_commit> patch_;  // the one in hand
    patch_call patches_begun_;
    // The head row's version that a commit which was given up is conditional on. While the row has
    // it, that commit may still be applied, so no outage promise is given.
    std::optional<platform::row_version> unresolved_;
    base::time_point hold_until_{};  // an outage promise: commit nothing before

    std::map<base::daemon_id, base::time_point> pushed_at_;  // of the last poll period
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
