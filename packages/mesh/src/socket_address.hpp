// An endpoint as the sockets interface wants it.
#pragma once

#include <cranberrydock/net/http.hpp>

#include <event2/util.h>
#include <netinet/in.h>

namespace cranberrydock::mesh::detail {

// Its family is AF_UNSPEC, which no socket call accepts, when the text is not an IPv4 number.
inline sockaddr_in to_socket_address(const net::endpoint& of) {
    sockaddr_in out{};
    if (evutil_inet_pton(AF_INET, of.address.c_str(), &out.sin_addr) == 1) {
        out.sin_family = AF_INET;
        out.sin_port = htons(of.port);
    }
    return out;
}

}  // namespace cranberrydock::mesh::detail
