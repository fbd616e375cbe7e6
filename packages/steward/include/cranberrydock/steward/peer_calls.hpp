// The daemons' calls to each other, CBOR over HTTP: each call is one question with one answer and a
// timeout.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/steward/relayed_orders.hpp>
#include <cranberrydock/steward/submission_writer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cranberrydock::steward {

// How far a job has come, as the owner knows it. Nothing: the owner does not know the job, or is
// not the owner any more.
struct known_status {
    fleet::customer_name customer;
    fleet::queue_name queue;
    fleet::job_state state = fleet::job_state::queued;
};
using status_done = std::function<void(std::optional<known_status>)>;

struct written_job {
    fleet::job_id job;
    std::string row;
    fleet::store_version version;  // of the row
};

enum class peer_life {
    answers,
    process_gone,  // its VM says that nothing listens there
    silent,
};
using life_done = std::function<void(peer_life)>;
// Failure: `process_gone` when the peer has surely not seen the orders, else `silent`.
using exchange_result = tl::expected<outcome_batch, peer_life>;

// Another daemon. A peer is an adviser that asks from its own VM, and a way to the store for a
// daemon that the store turns away.
class peer : public fleet::placement_adviser, public fleet::row_store {
public:
    virtual void job_status(const fleet::job_id& job, base::milliseconds timeout,
                            status_done done) = 0;
    virtual void probe(base::milliseconds timeout, life_done done) = 0;
    // Tells the owner, whichever it is by now, of a row that has just been made durable. The owner
    // hears of it from the store as well, a little later.
    virtual void job_written(const written_job& job, base::milliseconds timeout,
                             std::function<void()> done) = 0;
    // Has the peer make the job durable, together with what others hand it.
    virtual void write_job(const handed_job& what, base::milliseconds timeout, write_done done) = 0;
    // Hands orders to VMs over to the peer, and hears of outcomes.
    virtual void exchange_orders(const order_batch& batch, base::milliseconds timeout,
                                 std::function<void(exchange_result)> done) = 0;
    // Changes of the configuration after that version, as the peer has heard of them from the
    // store; none after `wait`. Refused when it does not read them for others, or its news is old.
    virtual void follow_configuration(fleet::store_version after, base::milliseconds wait,
                                      fleet::read_done done) = 0;
};

std::shared_ptr<peer> make_peer(net::http_client& http, const net::endpoint& address);

// What a daemon does for its peers.
class peer_services {
public:
    virtual ~peer_services() = default;
    virtual fleet::placement_adviser& adviser() = 0;
    // The store as this daemon itself reaches it, never through a peer.
    virtual fleet::row_store& direct_store() = 0;
    virtual void job_status(const fleet::job_id& job, status_done done) = 0;
    virtual void job_written(const written_job& job) = 0;
    virtual void write_job(const handed_job& what, base::milliseconds timeout,
                           const write_done& done) = 0;
    virtual void exchange_orders(const order_batch& batch, exchange_done done) = 0;
    virtual void follow_configuration(fleet::store_version after, base::milliseconds wait,
                                      const fleet::read_done& done) = 0;
};

// Answers peers' calls, and whoever collects this daemon's metrics.
class peer_port final : public net::http_handler {
public:
    peer_port(peer_services& services, base::metrics& metrics);
    void handle(net::http_request request, net::http_responder respond) override;

private:
    peer_services& services_;
    base::metrics& metrics_;
};

}  // namespace cranberrydock::steward
