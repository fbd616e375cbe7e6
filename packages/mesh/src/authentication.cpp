// Challenge-response authentication with OpenSSL's HMAC.
#include "authentication.hpp"

#include <cranberrydock/base/check.hpp>

#include "cbor.hpp"
#include "object_reader.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// Incremented whenever a change of the frames would make an older release misread them.
constexpr std::int64_t protocol = 1;
constexpr std::size_t nonce_bytes = 32;

const char* const dialer_role = "dialer";
const char* const acceptor_role = "acceptor";

std::string hmac_sha256(const std::string& key, const std::string& text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned n = 0;
    const unsigned char* const mac =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(text.data()), text.size(), out.data(), &n);
    CRANBERRYDOCK_CHECK(mac != nullptr, "OpenSSL computed no HMAC");
    return {reinterpret_cast<const char*>(out.data()), n};
}

bool equal_in_constant_time(const std::string& a, const std::string& b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

tl::unexpected<base::finding> refuse(const char* place, const char* expected, const char* found,
                                     const char* advice) {
    return tl::unexpected(base::finding{place, expected, found, advice});
}

tl::unexpected<base::finding> first_fault(const base::findings& faults) {
    return tl::unexpected(faults.list().front());
}

}  // namespace

const char* to_string(channel_kind kind) {
    return kind == channel_kind::control ? "control" : "bulk";
}

std::string make_nonce() {
    std::array<unsigned char, nonce_bytes> out{};
    const int status = RAND_bytes(out.data(), static_cast<int>(out.size()));
    CRANBERRYDOCK_CHECK(status == 1, "OpenSSL generated no random bytes");
    return {reinterpret_cast<const char*>(out.data()), out.size()};
}

authenticator::authenticator(std::string secret, base::daemon_id self, base::daemon_id peer,
                             channel_kind kind)
    : is_dialer_(true),
      secret_(std::move(secret)),
      self_(std::move(self)),
      peer_(std::move(peer)),
      kind_(kind),
      own_nonce_(make_nonce()),
      expected_(step::challenge) {}

authenticator::authenticator(std::string secret, base::daemon_id self)
    : is_dialer_(false),
      secret_(std::move(secret)),
      self_(std::move(self)),
      own_nonce_(make_nonce()),
      expected_(step::hello) {}

std::string authenticator::hello() {
    return write_cbor({{"protocol", protocol},
                       {"channel", to_string(kind_)},
                       {"from", self_.str()},
                       {"to", peer_.str()},
                       {"nonce", binary(own_nonce_)}});
}

auth_result authenticator::receive(const std::string& frame) {
    switch (expected_) {
        case step::hello:
            return receive_hello(frame);
        case step::challenge:
            return receive_challenge(frame);
        case step::proof:
            return receive_proof(frame);
        case step::done:
            break;
    }
    return refuse("/", "no further authentication frame", "one", "");
}

auth_result authenticator::receive_hello(const std::string& frame) {
    auto document = read_cbor(frame);
    if (!document) {
        return first_fault(document.error());
    }
    base::findings faults;
    object_reader in(*document, "/hello", faults);
    const std::int64_t peer_protocol = in.count("protocol");
    const std::string channel_name = in.text("channel");
    peer_ = in.id<base::daemon_id>("from");
    const auto intended_id = in.id<base::daemon_id>("to");
    peer_nonce_ = in.bytes("nonce");
    if (!faults.empty()) {
        return first_fault(faults);
    }
    if (peer_protocol != protocol) {
        return refuse("/hello/protocol", "the protocol version of this release", "another",
                      "run the same release on all daemons");
    }
    if (intended_id != self_) {
        return refuse("/hello/to", "this daemon's id", "another",
                      "the peer dials a daemon that used this address before");
    }
    if (peer_.empty() || peer_ == self_ || peer_nonce_.size() != nonce_bytes) {
        return refuse("/hello", "the id of another daemon and a nonce of 32 bytes", "other values",
                      "");
    }
    if (channel_name != to_string(channel_kind::control) &&
        channel_name != to_string(channel_kind::bulk)) {
        return refuse("/hello/channel", "control or bulk", "another name", "");
    }
    kind_ = channel_name == to_string(channel_kind::control) ? channel_kind::control
                                                             : channel_kind::bulk;
    expected_ = step::proof;
    return auth_progress{write_cbor({{"nonce", binary(own_nonce_)}, {"protocol", protocol}}),
                         false};
}

auth_result authenticator::receive_challenge(const std::string& frame) {
    auto document = read_cbor(frame);
    if (!document) {
        return first_fault(document.error());
    }
    base::findings faults;
    object_reader in(*document, "/challenge", faults);
    peer_nonce_ = in.bytes("nonce");
    if (!faults.empty()) {
        return first_fault(faults);
    }
    if (peer_nonce_.size() != nonce_bytes) {
        return refuse("/challenge/nonce", "32 bytes", "another length", "");
    }
    expected_ = step::proof;
    return auth_progress{make_proof(dialer_role), false};
}

auth_result authenticator::receive_proof(const std::string& frame) {
    expected_ = step::done;
    if (!equal_in_constant_time(frame, make_proof(is_dialer_ ? acceptor_role : dialer_role))) {
        return refuse("/proof", "the proof of the shared secret", "another",
                      "configure the same secret on all daemons");
    }
    return auth_progress{is_dialer_ ? "" : make_proof(acceptor_role), true};
}

std::string authenticator::make_proof(const char* role) const {
    const std::string& dialer = is_dialer_ ? self_.str() : peer_.str();
    const std::string& acceptor = is_dialer_ ? peer_.str() : self_.str();
    const std::string& dialer_nonce = is_dialer_ ? own_nonce_ : peer_nonce_;
    const std::string& acceptor_nonce = is_dialer_ ? peer_nonce_ : own_nonce_;
    // CBOR delimits the fields, so that no two different sets of fields have the same encoding.
    return hmac_sha256(
        secret_,
        write_cbor(json::array({"cranberrydock mesh", protocol, role, to_string(kind_), dialer,
                                acceptor, binary(dialer_nonce), binary(acceptor_nonce)})));
}

}  // namespace cranberrydock::mesh::detail
