// HTTP messages of the server and the client, and the endpoints they are sent to.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cranberrydock::net {

enum class http_method { get, post, put, patch, del };

std::string to_string(http_method method);

struct http_header {
    std::string name;
    std::string value;
};

// An IP address and a port. Host names are not supported: endpoints are always IP addresses.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return address + ":" + std::to_string(port); }
    friend bool operator==(const endpoint& a, const endpoint& b) {
        return a.address == b.address && a.port == b.port;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b) { return !(a == b); }
    friend bool operator<(const endpoint& a, const endpoint& b) {
        return a.port != b.port ? a.port < b.port : a.address < b.address;
    }
};

// Parses "ADDRESS:PORT". Returns port 0 when the text does not have this form.
endpoint parse_endpoint(const std::string& text);

// Whether the text is an IPv4 address in dotted notation.
bool is_ip_address(const std::string& text);

struct http_request {
    http_method method = http_method::get;
    std::string path;   // without the query, still percent-encoded
    std::string query;  // without the question mark
    std::vector<http_header> headers;
    std::string body;

    // The value of the first header called `name`, compared case-insensitively; empty if there is
    // none.
    std::string header(const std::string& name) const;
    // The decoded value of the query parameter called `name`; empty if there is none.
    std::string parameter(const std::string& name) const;
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;

    // As http_request::header().
    std::string header(const std::string& name) const;
};

// A response with the content type application/json.
http_response json_response(int status, std::string body);

}  // namespace cranberrydock::net
