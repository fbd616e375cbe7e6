// Challenge and response with OpenSSL's HMAC.
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

// Raised by every change of the frames that an older release would misread.
constexpr std::int64_t protocol = 1;
constexpr std::size_t nonce_bytes = 32;

const char* const dialer_role = "dialer";
const char* const acceptor_role = "acceptor";

std::string hmac_sha256(const std::string& key, const std::string& text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned n = 0;
    const unsigned char* const made =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(text.data()), text.size(), out.data(), &n);
    CRANBERRYDOCK_CHECK(made != nullptr, "OpenSSL gave no HMAC");
    return {reinterpret_cast<const char*>(out.data()), n};
}

bool equal_in_constant_time(const std::string& a, const std::string& b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

tl::unexpected<base::finding> refuse(const char* place, const char* expected, const char* found,
                                     const char* advice) {
    return tl::unexpected(base::finding{place, expected, found, advice});
}

tl::unexpected<base::finding> first_of(const base::findings& faults) {
    return tl::unexpected(faults.list().front());
}

}  // namespace

const char* to_string(channel which) {
    return which == channel::control ? "control" : "bulk";
}

std::string fresh_nonce() {
    std::array<unsigned char, nonce_bytes> out{};
    const int made = RAND_bytes(out.data(), static_cast<int>(out.size()));
    CRANBERRYDOCK_CHECK(made == 1, "OpenSSL gave no random bytes");
    return {reinterpret_cast<const char*>(out.data()), out.size()};
}

authenticator::authenticator(std::string secret, base::daemon_id self, base::daemon_id peer,
                             channel which)
    : dials_(true),
      secret_(std::move(secret)),
      self_(std::move(self)),
      peer_(std::move(peer)),
      channel_(which),
      own_nonce_(fresh_nonce()),
      expected_(step::challenge) {}

authenticator::authenticator(std::string secret, base::daemon_id self)
    : dials_(false),
      secret_(std::move(secret)),
      self_(std::move(self)),
      own_nonce_(fresh_nonce()),
      expected_(step::hello) {}

std::string authenticator::hello() {
    return write_cbor({{"protocol", protocol},
                       {"channel", to_string(channel_)},
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
    return refuse("/", "no further frame of the proof", "one", "");
}

auth_result authenticator::receive_hello(const std::string& frame) {
    auto document = read_cbor(frame);
    if (!document) {
        return first_of(document.error());
    }
    base::findings faults;
    object_reader in(*document, "/hello", faults);
    const std::int64_t spoken = in.count("protocol");
    const std::string name = in.text("channel");
    peer_ = in.id<base::daemon_id>("from");
    const auto wanted = in.id<base::daemon_id>("to");
    peer_nonce_ = in.bytes("nonce");
    if (!faults.empty()) {
        return first_of(faults);
    }
    if (spoken != protocol) {
        return refuse("/hello/protocol", "this release's protocol", "another",
                      "run the same release on all daemons");
    }
    if (wanted != self_) {
        return refuse("/hello/to", "this daemon's id", "another",
                      "the peer dials an earlier daemon of this address");
    }
    if (peer_.empty() || peer_ == self_ || peer_nonce_.size() != nonce_bytes) {
        return refuse("/hello", "a peer's id and a nonce of 32 bytes", "something else", "");
    }
    if (name != to_string(channel::control) && name != to_string(channel::bulk)) {
        return refuse("/hello/channel", "control or bulk", "another name", "");
    }
    channel_ = name == to_string(channel::control) ? channel::control : channel::bulk;
    expected_ = step::proof;
    return auth_progress{write_cbor({{"nonce", binary(own_nonce_)}, {"protocol", protocol}}),
                         false};
}

auth_result authenticator::receive_challenge(const std::string& frame) {
    auto document = read_cbor(frame);
    if (!document) {
        return first_of(document.error());
    }
    base::findings faults;
    object_reader in(*document, "/challenge", faults);
    peer_nonce_ = in.bytes("nonce");
    if (!faults.empty()) {
        return first_of(faults);
    }
    if (peer_nonce_.size() != nonce_bytes) {
        return refuse("/challenge/nonce", "32 bytes", "another length", "");
    }
    expected_ = step::proof;
    return auth_progress{proof_of(dialer_role), false};
}

auth_result authenticator::receive_proof(const std::string& frame) {
    expected_ = step::done;
    if (!equal_in_constant_time(frame, proof_of(dials_ ? acceptor_role : dialer_role))) {
        return refuse("/proof", "the proof of the shared secret", "another",
                      "give all daemons the same secret");
    }
    return auth_progress{dials_ ? "" : proof_of(acceptor_role), true};
}

std::string authenticator::proof_of(const char* role) const {
    const std::string& dialer = dials_ ? self_.str() : peer_.str();
    const std::string& acceptor = dials_ ? peer_.str() : self_.str();
    const std::string& dialer_nonce = dials_ ? own_nonce_ : peer_nonce_;
    const std::string& acceptor_nonce = dials_ ? peer_nonce_ : own_nonce_;
    // As CBOR, so that no two different sets of fields make the same text.
    return hmac_sha256(
        secret_,
        write_cbor(json::array({"cranberrydock mesh", protocol, role, to_string(channel_), dialer,
                                acceptor, binary(dialer_nonce), binary(acceptor_nonce)})));
}

}  // namespace cranberrydock::mesh::detail
