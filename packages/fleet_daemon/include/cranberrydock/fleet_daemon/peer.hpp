// Calls between daemons, as CBOR over HTTP: each call is one request with one response and a
// timeout.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet_daemon/relayed_commands.hpp>
#include <cranberrydock/fleet_daemon/submission_writer.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cranberrydock::fleet_daemon {

// A job's state as recorded by the owner.
struct owner_job_status {
    fleet::customer_name customer;
    fleet::queue_name queue;
    fleet::job_state state = fleet::job_state::queued;
};
// Receives no value if the owner has no record of the job, is not the owner any more, or could not
// be reached.
using status_callback = std::function<void(std::optional<owner_job_status>)>;

struct written_job {
    fleet::job_id job;
    std::string row;
    fleet::store_version version;  // of the row
};

enum class peer_liveness {
    answers,
    refused,       // no connection was established, so it has received nothing; it may run on
    unresponsive,  // no answer within the timeout
};
using probe_callback = std::function<void(peer_liveness)>;
// The error is `refused` if the peer certainly did not receive the commands, else `unresponsive`.
using exchange_result = tl::expected<outcome_batch, peer_liveness>;

// Client of another daemon. A peer forwards placement queries to the placement advisor from its own
// VM, and store calls for a daemon whose own calls the store refuses. Asynchronous; each callback
// is called once, on the caller's loop.
class peer : public fleet::placement_advisor, public fleet::row_store {
public:
    // Queries a job's state from the peer. Only the owner has it on record.
    virtual void job_status(const fleet::job_id& job, base::milliseconds timeout,
                            status_callback done) = 0;
    // Checks whether the peer's process responds.
    virtual void probe(base::milliseconds timeout, probe_callback done) = 0;
    // Notifies the peer of a job's row that has just been made durable; the peer ignores it if it
    // is not the owner. The owner also learns of the row from the store, a little later.
    virtual void job_written(const written_job& job, base::milliseconds timeout,
                             std::function<void()> done) = 0;
    // Asks the peer to make the job durable, in one batch with jobs of other daemons.
    virtual void write_job(const delegated_job& delegated, base::milliseconds timeout,
                           write_callback done) = 0;
    // Passes commands for VMs to the peer, and receives outcomes of these and earlier commands.
    virtual void exchange_commands(const command_batch& batch, base::milliseconds timeout,
                                   std::function<void(exchange_result)> done) = 0;
    // Queries the changes of the configuration after that version, as the peer has read them from
    // the store. The result is empty if there are none within `wait`. Fails with `refused` if the
    // peer does not read for other daemons, and with `stale_peer` if its own copy is out of date.
    virtual void follow_configuration(fleet::store_version after, base::milliseconds wait,
                                      fleet::read_callback done) = 0;
};

std::shared_ptr<peer> make_peer(net::http_client& http, const net::endpoint& address);

// The operations that a daemon offers to its peers.
class peer_services {
public:
    virtual ~peer_services() = default;
    virtual fleet::placement_advisor& advisor() = 0;
    // The store over this daemon's own connection, never through a peer.
    virtual fleet::row_store& direct_store() = 0;
    virtual void job_status(const fleet::job_id& job, status_callback done) = 0;
    virtual void job_written(const written_job& job) = 0;
    virtual void write_job(const delegated_job& delegated, base::milliseconds timeout,
                           const write_callback& done) = 0;
    virtual void exchange_commands(const command_batch& batch, exchange_callback done) = 0;
    virtual void follow_configuration(fleet::store_version after, base::milliseconds wait,
                                      const fleet::read_callback& done) = 0;
};

// HTTP handler for calls of peers and for requests that collect this daemon's metrics.
class peer_request_handler final : public net::http_handler {
public:
    peer_request_handler(peer_services& services, base::metrics& metrics);
    void handle(net::http_request request, net::http_responder respond) override;

private:
    peer_services& services_;
    base::metrics& metrics_;
};

}  // namespace cranberrydock::fleet_daemon
