// Mutual authentication by a shared secret, before anything else is read from a peer. The exchange
// has four frames:
//
//   dialer:   hello      protocol, channel, both daemon ids, the dialer's nonce
//   acceptor: challenge  the acceptor's nonce
//   dialer:   proof      HMAC-SHA-256 over roles, protocol, channel, ids and nonces
//   acceptor: proof      the same HMAC with the acceptor's role
//
// The dialer proves the secret first, so that an unauthenticated client receives nothing on which
// it could test guesses of the secret. The nonces prevent replay of a recorded proof; the roles
// prevent reflection of a proof to its sender.
//
// Only the opening of the connection is authenticated, not the bytes that follow: the network
// between daemons is assumed to be private.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::mesh::detail {

// The purpose of a connection.
enum class channel_kind { control, bulk };

const char* to_string(channel_kind kind);

// Random bytes for one authentication exchange.
std::string make_nonce();

struct auth_progress {
    std::string reply;           // the next frame to send; empty if there is none
    bool authenticated = false;  // the peer has proved the secret
};

using auth_result = tl::expected<auth_progress, base::finding>;

// One side of the exchange on one connection. Does no I/O: it takes and returns frames.
class authenticator {
public:
    // The dialing side, which knows the peer and the channel.
    authenticator(std::string secret, base::daemon_id self, base::daemon_id peer,
                  channel_kind kind);
    // The accepting side, which learns the peer and the channel from the hello frame.
    authenticator(std::string secret, base::daemon_id self);

    // Returns the dialer's first frame.
    std::string hello();

    // Processes the next frame. After an error the caller must close the connection.
    auth_result receive(const std::string& frame);

    // On the accepting side these are unverified until the exchange has succeeded.
    const base::daemon_id& peer() const { return peer_; }
    channel_kind kind() const { return kind_; }

private:
    enum class step { hello, challenge, proof, done };

    auth_result receive_hello(const std::string& frame);
    auth_result receive_challenge(const std::string& frame);
    auth_result receive_proof(const std::string& frame);
    std::string make_proof(const char* role) const;

    bool is_dialer_;
    std::string secret_;
    base::daemon_id self_;
    base::daemon_id peer_;
    channel_kind kind_ = channel_kind::control;
    std::string own_nonce_;
    std::string peer_nonce_;
    step expected_;  // the type of the next frame
};

}  // namespace cranberrydock::mesh::detail
