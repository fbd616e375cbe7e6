// Calls between daemons: client and request handler.
#include <cranberrydock/base/log.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>

#include "peer_codec.hpp"

#include <spdlog/spdlog.h>

namespace cranberrydock::fleet_daemon {
namespace {

const char* const placement_path = "/peer/advice";
const char* const commit_path = "/peer/commit";
const char* const read_path = "/peer/read";
const char* const status_path = "/peer/status";
const char* const alive_path = "/peer/alive";
const char* const written_path = "/peer/written";
const char* const write_path = "/peer/write";
const char* const commands_path = "/peer/orders";
const char* const configuration_path = "/peer/configuration";
const char* const metrics_path = "/metrics";
// Subtracted from the timeout of a call that the peer makes on the caller's behalf, so that its
// answer arrives before the caller times out.
constexpr base::milliseconds answer_margin{100};
constexpr int status_ok = 200;

fleet::store_error unreachable_error(const net::http_result& result) {
    const bool not_sent = !result && result.error().failure == net::http_failure::not_sent;
    return {not_sent ? fleet::store_failure::refused : fleet::store_failure::answer_lost, {}};
}

class http_peer final : public peer {
public:
    http_peer(net::http_client& http, net::endpoint address)
        : http_(http), address_(std::move(address)) {}

    void query(const fleet::placement_query& placement, base::milliseconds timeout,
               fleet::placement_callback done) override {
        call(placement_path, encode(detail::placement_call{placement, timeout - answer_margin}),
             timeout, [done = std::move(done)](const net::http_result& result) {
                 done(decoded<tl::expected<fleet::placement_response, fleet::command_failure>>(
                     result, tl::unexpected(fleet::command_failure::answer_lost),
                     [](const std::string& body) {
                         return detail::decode_placement_response(body);
                     }));
             });
    }

    void commit(const fleet::row_transaction& transaction, base::milliseconds timeout,
                fleet::commit_callback done) override {
        call(commit_path, encode(detail::commit_call{transaction, timeout - answer_margin}),
             timeout, [done = std::move(done)](const net::http_result& result) {
                 done(decoded<tl::expected<fleet::store_version, fleet::store_error>>(
                     result, tl::unexpected(unreachable_error(result)), detail::decode_commit));
             });
    }

    void read(const fleet::table_name& table, const fleet::partition_name& partition,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_callback done) override {
        send_read(read_path, {{table, partition, from}, limit, timeout - answer_margin, false, {}},
                  timeout, std::move(done));
    }

    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_callback done) override {
        constexpr base::milliseconds follow_slack{1'500};
        send_read(read_path, {{table, {}, {}}, 0, wait, true, after}, wait + follow_slack,
                  std::move(done));
    }

    void job_status(const fleet::job_id& job, base::milliseconds timeout,
                    status_callback done) override {
        call(status_path, job.str(), timeout,
             [done = std::move(done)](const net::http_result& result) {
                 done(decoded<std::optional<owner_job_status>>(result, std::nullopt,
                                                               detail::decode_status));
             });
    }

    void probe(base::milliseconds timeout, probe_callback done) override {
        call(alive_path, "", timeout, [done = std::move(done)](const net::http_result& result) {
            if (result) {
                done(peer_liveness::answers);
            } else {
                done(result.error().failure == net::http_failure::not_sent
                         ? peer_liveness::refused
                         : peer_liveness::unresponsive);
            }
        });
    }

    void job_written(const written_job& job, base::milliseconds timeout,
                     std::function<void()> done) override {
        call(written_path, detail::encode(job), timeout,
             [done = std::move(done)](const net::http_result& result) {
                 if (!result) {
                     spdlog::debug("event=owner_not_told reason=\"{}\"", result.error().detail);
                 }
                 done();
             });
    }

    void write_job(const delegated_job& delegated, base::milliseconds timeout,
                   write_callback done) override {
        call(write_path, encode(detail::write_call{delegated, timeout - answer_margin}), timeout,
             [done = std::move(done)](const net::http_result& result) {
                 const bool not_sent =
                     !result && result.error().failure == net::http_failure::not_sent;
                 done(decoded<write_result>(
                     result, {not_sent ? write_outcome::refused : write_outcome::undetermined, {}},
                     detail::decode_write_result));
             });
    }

    void exchange_commands(const command_batch& batch, base::milliseconds timeout,
                           std::function<void(exchange_result)> done) override {
        call(
            commands_path, detail::encode(batch), timeout,
            [done = std::move(done)](const net::http_result& result) {
                const bool not_sent =
                    !result && result.error().failure == net::http_failure::not_sent;
                done(decoded<exchange_result>(
                    result,
                    tl::unexpected(not_sent ? peer_liveness::refused : peer_liveness::unresponsive),
                    detail::decode_outcome_batch));
            });
    }

    void follow_configuration(fleet::store_version after, base::milliseconds wait,
                              fleet::read_callback done) override {
        constexpr base::milliseconds slack{300};
        send_read(configuration_path, {{}, 0, wait, true, after}, wait + slack, std::move(done));
    }

private:
    void call(const char* path, std::string body, base::milliseconds timeout,
              net::http_callback done) {
        net::http_request request;
        request.method = net::http_method::post;
        request.path = path;
        request.body = std::move(body);
        http_.send(address_, std::move(request), timeout, std::move(done));
    }

    void send_read(const char* path, const detail::read_call& message, base::milliseconds timeout,
                   fleet::read_callback done) {
        call(path, encode(message), timeout,
             [done = std::move(done)](const net::http_result& result) {
                 done(decoded<tl::expected<fleet::rows_read, fleet::store_error>>(
                     result, tl::unexpected(unreachable_error(result)), detail::decode_read));
             });
    }

    template <typename Answer, typename Decode>
    static Answer decoded(const net::http_result& result, Answer fallback, Decode decode) {
        if (!result || result->status != status_ok) {
            return fallback;
        }
        try {
            return decode(result->body);
        } catch (const std::exception& error) {
            spdlog::warn("event=peer_answer_unreadable error=\"{}\"", error.what());
            return fallback;
        }
    }

    net::http_client& http_;
    net::endpoint address_;
};

net::http_response ok(std::string body) {
    return {status_ok, {}, std::move(body)};
}

}  // namespace

std::shared_ptr<peer> make_peer(net::http_client& http, const net::endpoint& address) {
    return std::make_shared<http_peer>(http, address);
}

peer_request_handler::peer_request_handler(peer_services& services, base::metrics& metrics)
    : services_(services), metrics_(metrics) {}

void peer_request_handler::handle(net::http_request request, net::http_responder respond) {
    try {
        if (request.path == placement_path) {
            const auto call = detail::decode_placement_call(request.body);
            services_.advisor().query(call.placement, call.timeout, [respond](const auto& answer) {
                constexpr int unavailable = 503;
                respond(answer ? ok(detail::encode(*answer))
                               : net::http_response{unavailable, {}, ""});
            });
        } else if (request.path == commit_path) {
            const auto call = detail::decode_commit_call(request.body);
            services_.direct_store().commit(
                call.transaction, call.timeout,
                [respond](const auto& answer) { respond(ok(detail::encode(answer))); });
        } else if (request.path == read_path) {
            const auto call = detail::decode_read_call(request.body);
            const auto reply = [respond](const auto& answer) {
                respond(ok(detail::encode(answer)));
            };
            if (call.follow) {
                services_.direct_store().follow(call.from.table, call.after, call.timeout, reply);
            } else {
                services_.direct_store().read(call.from.table, call.from.partition, call.from.name,
                                              call.limit, call.timeout, reply);
            }
        } else if (request.path == status_path) {
            services_.job_status(fleet::job_id(request.body), [respond](const auto& status) {
                respond(ok(detail::encode(status)));
            });
        } else if (request.path == written_path) {
            services_.job_written(detail::decode_written_job(request.body));
            respond(ok(""));
        } else if (request.path == write_path) {
            const auto call = detail::decode_write_call(request.body);
            services_.write_job(
                call.delegated, call.timeout,
                [respond](const write_result& result) { respond(ok(detail::encode(result))); });
        } else if (request.path == commands_path) {
            services_.exchange_commands(detail::decode_command_batch(request.body),
                                        [respond](const outcome_batch& outcomes) {
                                            respond(ok(detail::encode(outcomes)));
                                        });
        } else if (request.path == configuration_path) {
            const auto call = detail::decode_read_call(request.body);
            services_.follow_configuration(call.after, call.timeout, [respond](const auto& answer) {
                respond(ok(detail::encode(answer)));
            });
        } else if (request.path == alive_path) {
            respond(ok(""));
        } else if (request.path == metrics_path) {
            metrics_.set("cranberrydock_log_lines_dropped", "",
                         static_cast<double>(base::dropped_log_lines()));
            net::http_response out = ok(metrics_.text());
            out.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
            respond(std::move(out));
        } else {
            constexpr int not_found = 404;
            respond({not_found, {}, ""});
        }
    } catch (const std::exception& error) {
        constexpr int bad_request = 400;
        spdlog::warn("event=peer_call_unreadable path={} error=\"{}\"", request.path, error.what());
        respond({bad_request, {}, ""});
    }
}

}  // namespace cranberrydock::fleet_daemon
