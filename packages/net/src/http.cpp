// Endpoint parsing, and access to the headers and query parameters of HTTP messages.
#include <cranberrydock/net/http.hpp>

#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <charconv>
#include <limits>
#include <utility>

namespace cranberrydock::net {
namespace {

std::string find_header(const std::vector<http_header>& headers, const std::string& name) {
    for (const auto& it : headers) {
        if (evutil_ascii_strcasecmp(it.name.c_str(), name.c_str()) == 0) {
            return it.value;
        }
    }
    return {};
}

}  // namespace

std::string to_string(http_method method) {
    switch (method) {
        case http_method::get:
            return "GET";
        case http_method::post:
            return "POST";
        case http_method::put:
            return "PUT";
        case http_method::patch:
            return "PATCH";
        case http_method::del:
            return "DELETE";
    }
    return "GET";
}

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return {};
    }
    unsigned port = 0;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc() || read.ptr != end ||
        port > std::numeric_limits<std::uint16_t>::max()) {
        return {};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

bool is_ip_address(const std::string& text) {
    in_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

std::string http_request::header(const std::string& name) const {
    return find_header(headers, name);
}

std::string http_request::parameter(const std::string& name) const {
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query.c_str(), &pairs) != 0) {
        return {};
    }
    const char* const found = evhttp_find_header(&pairs, name.c_str());
    std::string out = found == nullptr ? "" : found;
    evhttp_clear_headers(&pairs);
    return out;
}

std::string http_response::header(const std::string& name) const {
    return find_header(headers, name);
}

http_response json_response(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace cranberrydock::net
