// An invalid request is answered with a status, a reason and a message, and the daemon keeps
// serving.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock::standins;
using cranberrydock::net::http_header;
using cranberrydock::net::http_method;
using cranberrydock::net::http_request;
using nlohmann::json;

struct bad_request {
    http_request request;
    int status = 0;
    std::string reason;
    std::string body_part;  // a part of the body's text
};

http_request post(const std::string& path, const std::string& body,
                  const std::vector<http_header>& headers = {}) {
    return {http_method::post, path, "", headers, body};
}

std::vector<bad_request> bad_requests() {
    const std::vector<http_header> key = {{"Idempotency-Key", "k"}};
    return {
        {post("/v1/requests", "{\"queue\":"), 400, "malformed_request", "line 1"},
        {post("/v1/requests", "[]"), 400, "malformed_request", "expected"},
        {post("/v1/requests", R"({"queue":"mosaics","kynd":"x"})"), 400, "malformed_request",
         "kind"},
        {post("/v1/requests", R"({"queue":"mosaics","tasks":-1,"resources":{"slots":99999}})"), 400,
         "malformed_request", "/resources/slots"},
        {post("/v1/requests", R"({"queue":"mosaics","payload_base64":"?"})"), 400,
         "malformed_request", "base64"},
        {post("/v1/requests", R"({"queue":"mosaicz"})"), 404, "unknown_queue", "mosaicz"},
        {post("/v1/requests", R"({"queue":"mosaics"})", {{"Authorization", "Bearer no.key"}}), 401,
         "key_unknown", "no key matches"},
        {post("/v1/requests", R"({"queue":"mosaics","repeatable":false})"), 400,
         "idempotency_key_missing", "Idempotency-Key"},
        {post("/v1/requests", R"({"queue":"mosaics","resources":{"slots":49}})"), 422,
         "can_never_fit", "upper limit of 48"},
        {post("/v1/requests", R"({"queue":"mosaics","resources":{"millicores":900000}})"), 422,
         "can_never_fit", ""},
        {post("/v1/jobs", R"({"queue":"gangs","gang":true,"tasks":49})", key), 422, "can_never_fit",
         "all tasks of the gang"},
        {post("/v1/nothing", "{}"), 404, "unknown_route", "POST /v1/nothing"},
        {{http_method::get, "/v1/jobs/j-1", "", {}, ""}, 401, "key_missing", "Bearer ID.SECRET"},
        {{http_method::patch, "/v1/config", "base=0", {}, "{}"},
         409,
         "configuration_conflict",
         "\"current\":1"},
        {{http_method::patch, "/v1/config", "base=x", {}, "{}"},
         400,
         "malformed_request",
         "number of a configuration version"},
        {{http_method::patch,
          "/v1/config",
          "base=1",
          {},
          R"({"teams":{"new":{"home_region":"nowhere","share":-1}}})"},
         422,
         "configuration_invalid",
         "/teams/new/share"},
    };
}

TEST(invalid_requests, are_refused_with_reasons) {
    cell_cluster daemons;
    for (const auto& it : bad_requests()) {
        const auto answer = call(daemons.entry(0), it.request);
        ASSERT_TRUE(answer.has_value()) << it.request.path << " " << it.request.body;
        EXPECT_EQ(answer->status, it.status) << it.request.body << "\n" << answer->body;
        EXPECT_EQ(answer->header("Content-Type"), "application/problem+json");
        const json body = json::parse(answer->body);
        EXPECT_EQ(body.at("reason"), it.reason) << answer->body;
        EXPECT_EQ(body.at("not_run"), true) << answer->body;
        EXPECT_NE(answer->body.find(it.body_part), std::string::npos) << it.body_part << "\n"
                                                                      << answer->body;
    }
    EXPECT_EQ(daemons.submit(0, {}).status, 200);
    EXPECT_EQ(daemons.violations(), "");
}

}  // namespace
