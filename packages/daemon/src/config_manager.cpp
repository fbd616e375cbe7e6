// Maintains the configuration in force at this daemon.
#include "config_manager.hpp"

#include <cranberrydock/config/version_record.hpp>

#include <spdlog/fmt/chrono.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>
#include <variant>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds client_retry_delay{1'000};

config::version_chain_settings make_chain_settings(const config::daemon_settings& settings,
                                                   const base::daemon_id& self) {
    config::version_chain_settings out;
    out.self = self;
    out.poll_interval = settings.configuration.poll;
    out.freshness = settings.configuration.freshness;
    return out;
}

// The wall-clock time for the people who read the history; no decision depends on it.
std::string wall_clock_now() {
    const auto now =
        std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(now));
}

// Converts the chain's outcome of a patch to the result type of entry::configuration_editor.
class outcome_converter {
public:
    using result = tl::expected<base::config_version, entry::patch_refusal>;

    result operator()(const config::patch_accepted& outcome) const { return outcome.version; }

    result operator()(const config::patch_conflict& outcome) const {
        const base::refusal conflict{base::refusal_reason::configuration_conflict, true,
                                     base::milliseconds{0},
                                     "expected a patch against the newest version, " +
                                         std::to_string(outcome.current.value()) +
                                         "; read it and send the patch against it"};
        return tl::unexpected(entry::patch_refusal{conflict, outcome.current, {}});
    }

    result operator()(const config::patch_invalid& outcome) const {
        const base::refusal invalid{base::refusal_reason::configuration_invalid, true,
                                    base::milliseconds{0},
                                    "the patched configuration has " +
                                        std::to_string(outcome.findings.size()) + " fault(s)"};
        return tl::unexpected(entry::patch_refusal{invalid, {}, outcome.findings});
    }

    result operator()(const base::refusal& outcome) const {
        return tl::unexpected(entry::patch_refusal{outcome, {}, {}});
    }
};

}  // namespace

config_manager::config_manager(const config::daemon_settings& settings, const base::daemon_id& self,
                               platform::table_service& table, const base::clock& clock,
                               base::metrics& metrics, config_listener& listener)
    : chain_(make_chain_settings(settings, self)),
      table_(table),
      clock_(clock),
      metrics_(metrics),
      listener_(listener) {}

bool config_manager::fresh() const {
    const auto until = chain_.fresh_until();
    return until && clock_.now() < *until;
}

void config_manager::patch(const entry::patch_request& request, entry::patch_callback done) {
    const std::int64_t call = next_call_++;
    patches_[call] = std::move(done);
    handle(config::patch_requested{config::patch_call(call), request.base, request.patch,
                                   request.author, wall_clock_now()});
}

entry::version_document config_manager::newest() const {
    const auto current = chain_.in_force();
    return {current ? current->version : base::config_version(0), chain_.document(), ""};
}

void config_manager::list(base::config_version after, std::size_t limit,
                          entry::versions_callback done) {
    table_.scan(config::version_prefix(), config::version_key(after), limit,
                [done = std::move(done)](
                    const tl::expected<std::vector<platform::row>, platform::store_error>& rows) {
                    if (!rows) {
                        done(tl::unexpected(base::refusal{base::refusal_reason::store_unavailable,
                                                          true, client_retry_delay,
                                                          "the versions are in the platform's "
                                                          "store, which is unavailable"}));
                        return;
                    }
                    std::vector<entry::version_document> out;
                    for (const auto& it : *rows) {
                        const auto version = config::version_of(it.key);
                        const auto record = config::decode_version(it.value);
                        if (version && record) {
                            out.push_back({*version, record->document, record->author});
                        }
                    }
                    done(std::move(out));
                });
}

void config_manager::tick() {
    handle(config::chain_tick{});
}

void config_manager::on_announcement(const mesh::config_announcement& announcement) {
    handle(config::version_announced{announcement.version, announcement.document});
}

void config_manager::on_peer_version(const base::daemon_id& peer, base::config_version version) {
    // Reported for peers with an older version too: the chain sends them the newest one.
    handle(config::peer_version{peer, version, std::nullopt});
}

void config_manager::handle(const config::chain_event& event) {
    for (const auto& it : chain_.handle(event, clock_.now())) {
        std::visit([this](const auto& effect) { carry_out(effect); }, it);
    }
}

void config_manager::carry_out(const config::read_row& effect) {
    std::weak_ptr<config_manager*> self = self_;
    table_.read(effect.key, [self, operation = effect.operation](const auto& result) {
        if (const auto manager = self.lock()) {
            (*manager)->handle(config::row_read{operation, result});
        }
    });
}

void config_manager::carry_out(const config::commit_rows& effect) {
    std::weak_ptr<config_manager*> self = self_;
    table_.commit(effect.transaction, [self, operation = effect.operation](const auto& result) {
        if (const auto manager = self.lock()) {
            (*manager)->handle(config::rows_committed{operation, result});
        }
    });
}

void config_manager::carry_out(const config::version_in_force& effect) {
    spdlog::info("event=configuration_in_force version={}", effect.current->version.value());
    metrics_.set("cranberrydock_configuration_version", "",
                 static_cast<double>(effect.current->version.value()));
    listener_.on_configuration(effect.current);
}

void config_manager::carry_out(const config::version_unreadable& effect) {
    spdlog::error("event=configuration_unreadable version={} findings=\"{}\"",
                  effect.version.value(), effect.findings.text());
    metrics_.count("cranberrydock_configuration_unreadable_total", "");
}

void config_manager::carry_out(const config::patch_finished& effect) {
    const auto it = patches_.find(effect.call.value());
    if (it == patches_.end()) {
        return;
    }
    const entry::patch_callback done = std::move(it->second);
    patches_.erase(it);
    done(std::visit(outcome_converter{}, effect.outcome));
}

void config_manager::carry_out(const config::announce_version& effect) {
    listener_.announce(effect.recipient, {effect.version, effect.document});
}

// Daemons do not exchange outage evidence for the configuration yet, so that its freshness expires
// while the store is unavailable.
void config_manager::carry_out(const config::outage_answer& /*effect*/) {}

}  // namespace cranberrydock::daemon
