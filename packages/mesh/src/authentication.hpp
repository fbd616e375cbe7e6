// The proof of the shared secret, before anything else is read from a peer. Four frames:
//
//   dialer:   hello      protocol, channel, both daemon ids, the dialer's nonce
//   acceptor: challenge  the acceptor's nonce
//   dialer:   proof      HMAC-SHA-256 over roles, protocol, channel, ids and nonces
//   acceptor: proof      the same for its role
//
// The dialer proves first, so that a stranger gets nothing to try secrets on. Nonces make a
// recorded proof worthless, roles keep one side's proof from being sent back to it.
//
// It proves who opened the connection, not each later byte: the network between daemons is taken to
// be private.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::mesh::detail {

// What a connection is for.
enum class channel { control, bulk };

const char* to_string(channel which);

// Random bytes for one proof.
std::string fresh_nonce();

struct auth_progress {
    std::string reply;    // the next frame to send; empty when none
    bool proved = false;  // the other end has proved the secret
};

using auth_result = tl::expected<auth_progress, base::finding>;

// One side of one connection. Pure: frames in, frames out.
class authenticator {
public:
    // The side that dials: knows whom it wants.
    authenticator(std::string secret, base::daemon_id self, base::daemon_id peer, channel which);
    // The side that accepts: learns who dials, and on which channel, from the hello.
    authenticator(std::string secret, base::daemon_id self);

    // The dialer's first frame.
    std::string hello();

    // Takes the next frame. After an error the connection is to be closed.
    auth_result receive(const std::string& frame);

    // Trustworthy only once proved.
    const base::daemon_id& peer() const { return peer_; }
    channel which() const { return channel_; }

private:
    enum class step { hello, challenge, proof, done };

    auth_result receive_hello(const std::string& frame);
    auth_result receive_challenge(const std::string& frame);
    auth_result receive_proof(const std::string& frame);
    std::string proof_of(const char* role) const;

    bool dials_;
    std::string secret_;
    base::daemon_id self_;
    base::daemon_id peer_;
    channel channel_ = channel::control;
    std::string own_nonce_;
    std::string peer_nonce_;
    step expected_;  // the frame that comes next
};

}  // namespace cranberrydock::mesh::detail
