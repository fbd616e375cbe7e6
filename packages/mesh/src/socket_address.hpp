// Converts an endpoint to a socket address.
#pragma once

#include <cranberrydock/net/http.hpp>

#include <event2/util.h>
#include <netinet/in.h>

namespace cranberrydock::mesh::detail {

// Returns an address of the family AF_UNSPEC, which no socket call accepts, when the text is not a
// numeric IPv4 address.
inline sockaddr_in to_socket_address(const net::endpoint& source) {
    sockaddr_in out{};
    if (evutil_inet_pton(AF_INET, source.address.c_str(), &out.sin_addr) == 1) {
        out.sin_family = AF_INET;
        out.sin_port = htons(source.port);
    }
    return out;
}

}  // namespace cranberrydock::mesh::detail
