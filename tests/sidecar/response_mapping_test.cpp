// Tests the final HTTP response for each outcome of a request.
#include "sidecar/response_mapping.hpp"

#include <gtest/gtest.h>

namespace elmbay {
namespace {

using Kind = engine::FinalOutcome::Kind;

TEST(ResponseMapping, ForwardsOnlyBodyAndContentTypeOfServer) {
    HttpResponse server_response(http::status::accepted, 11);
    server_response.set(http::field::content_type, "application/json");
    server_response.set("X-Internal", "1");
    server_response.body() = "{}";
    const HttpResponse response = success_response(std::move(server_response));
    EXPECT_EQ(response.result_int(), 200U);
    EXPECT_EQ(response[http::field::content_type], "application/json");
    EXPECT_EQ(response.count("X-Internal"), 0U);
    EXPECT_EQ(response.body(), "{}");
}

TEST(ResponseMapping, RejectsWith503AndRetryAfterInSeconds) {
    const HttpResponse response = error_response({Kind::rejected, 1250});
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_EQ(response[http::field::retry_after], "1.250");
    EXPECT_EQ(response.body(), "refused: trying again is harmless\n");
}

TEST(ResponseMapping, OmitsRetryAfterIfDelayIsUnknown) {
    EXPECT_EQ(error_response({Kind::rejected, 0}).count(http::field::retry_after), 0U);
}

TEST(ResponseMapping, FailsWith504OnTimeoutAndOtherwise502) {
    EXPECT_EQ(error_response({Kind::failed, 0, true}).result_int(), 504U);
    EXPECT_EQ(error_response({Kind::failed, 0, false}).result_int(), 502U);
    EXPECT_EQ(error_response({Kind::failed, 0, false}).body(), "failed\n");
}

}  // namespace
}  // namespace elmbay
