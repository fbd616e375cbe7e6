// HTTP messages, as the server and the client of this package exchange them.
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

// An IP number and a port. Names are never resolved: the system talks by IP numbers.
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

// Reads "ADDRESS:PORT"; port 0 in the answer means that the text is not of that form.
endpoint parse_endpoint(const std::string& text);

struct http_request {
    http_method method = http_method::get;
    std::string path;   // without the query, still percent-encoded
    std::string query;  // without the question mark
    std::vector<http_header> headers;
    std::string body;

    // The first header of that name, whatever its case; empty when there is none.
    std::string header(const std::string& name) const;
    // The query parameter of that name, decoded; empty when there is none.
    std::string parameter(const std::string& name) const;
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;

    std::string header(const std::string& name) const;
};

http_response json_response(int status, std::string body);

}  // namespace cranberrydock::net
