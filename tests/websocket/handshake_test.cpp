// Tests the validation of opening handshakes. One table for each side contains variants of a valid head, with
// the expected result.
#include "websocket/handshake.hpp"

#include <gtest/gtest.h>

#include "heads.hpp"

namespace elmbay::websocket {
namespace {

using balancer::Outcome;
using test::deployment;
using test::parsed_request;
using test::parsed_response;
using test::request_head;
using test::response_head;

struct RequestCase {
    const char* name;
    const char* replaced;     // the part of the valid head to replace
    const char* replacement;  // the text in its place
    unsigned status;          // 0 if the changed head is valid
};

class UpgradeRequest : public testing::TestWithParam<RequestCase> {};

TEST_P(UpgradeRequest, IsAcceptedOrRejectedWithStatus) {
    const RequestCase& test_case = GetParam();
    const auto head = parsed_request(request_head(test_case.replaced, test_case.replacement));
    ASSERT_TRUE(head) << "Beast must parse the head as a request";
    const auto problem =
        validate_upgrade(*head, deployment(), {"https://archive.example", "https://other.example:8443"});
    EXPECT_EQ(problem ? static_cast<unsigned>(problem->status) : 0U, test_case.status)
        << (problem ? problem->text : "");
}

const RequestCase kRequestCases[] = {
    {"valid", "", "", 0},
    {"method_post", "GET", "POST", 400},
    {"http_1_0", "HTTP/1.1", "HTTP/1.0", 400},
    {"missing_host", "Host: app.svc\r\n", "", 400},
    {"repeated_host", "Host: app.svc\r\n", "Host: app.svc\r\nHost: b\r\n", 400},
    {"empty_host", "Host: app.svc", "Host:", 400},
    {"content_length", "Host: app.svc\r\n", "Host: app.svc\r\nContent-Length: 0\r\n", 400},
    {"transfer_encoding", "Host: app.svc\r\n", "Host: app.svc\r\nTransfer-Encoding: chunked\r\n", 400},
    {"upgrade_in_mixed_case", "Upgrade: websocket", "Upgrade: WebSocket", 0},
    {"upgrade_with_further_protocol", "Upgrade: websocket", "Upgrade: h2c, websocket", 0},
    {"upgrade_to_other_protocol", "Upgrade: websocket", "Upgrade: websocket2", 400},
    {"upgrade_with_invalid_token", "Upgrade: websocket", "Upgrade: websocket, @", 400},
    {"connection_with_keep_alive", "Connection: Upgrade", "Connection: keep-alive, Upgrade", 0},
    {"connection_close", "Connection: Upgrade", "Connection: close", 400},
    {"missing_connection", "Connection: Upgrade\r\n", "", 400},
    {"version_8", "Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 8", 426},
    {"repeated_version", "Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Version: 8",
     400},
    {"version_list", "Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 13, 8", 426},
    {"missing_version", "Sec-WebSocket-Version: 13\r\n", "", 426},
    {"missing_key", "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n", "", 400},
    {"short_key", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZQ==", 400},
    {"long_key", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZSBub25jZSBtb3Jl", 400},
    {"key_with_invalid_digit", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZSBub25j*Q==", 400},
    {"key_without_padding", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZSBub25jZQaa", 400},
    {"repeated_key", "Sec-WebSocket-Version",
     "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version", 400},
    {"subprotocols", "Host: app.svc\r\n", "Host: app.svc\r\nSec-WebSocket-Protocol: a, b\r\n", 0},
    {"subprotocols_in_two_lines", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Protocol: a\r\nSec-WebSocket-Protocol: b\r\n", 0},
    {"repeated_subprotocol", "Host: app.svc\r\n", "Host: app.svc\r\nSec-WebSocket-Protocol: a, b, a\r\n",
     400},
    {"subprotocol_with_invalid_token", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Protocol: a(b)\r\n", 400},
    {"empty_subprotocol_list", "Host: app.svc\r\n", "Host: app.svc\r\nSec-WebSocket-Protocol:\r\n", 400},
    {"too_many_subprotocols", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Protocol: a,b,c,d,e,f,g,h,i,j,k,l,m,n,o,p,q\r\n", 400},
    {"extension_offer", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Extensions: permessage-deflate\r\n", 0},
    {"allowed_origin", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: HTTPS://archive.example\r\n", 0},
    {"other_origin", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: https://archive.example.evil\r\n", 403},
    {"allowed_origin_with_other_port", "Host: app.svc\r\n",
     "Host: app.svc\r\nOrigin: https://archive.example:444\r\n", 403},
    {"null_origin", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: null\r\n", 403},
    {"repeated_origin", "Host: app.svc\r\n",
     "Host: app.svc\r\nOrigin: https://archive.example\r\nOrigin: https://archive.example\r\n", 400},
    {"missing_class", "X-Service-Class: safe\r\n", "", 400},
    {"unknown_class", "X-Service-Class: safe", "X-Service-Class: other", 400},
    {"non_idempotent_class", "X-Service-Class: safe", "X-Service-Class: unsafe", 0},
    {"keyed_class_without_key", "X-Service-Class: safe", "X-Service-Class: keyed", 400},
    {"keyed_class_with_key", "X-Service-Class: safe", "X-Service-Class: keyed\r\nIdempotency-Key: k", 0},
    {"missing_correlation_id", "X-Correlation-Id: id-1\r\n", "", 400},
    {"missing_time_left", "X-Time-Left: 900m\r\n", "", 400},
    {"invalid_time_left", "X-Time-Left: 900m", "X-Time-Left: soon", 400},
};

INSTANTIATE_TEST_SUITE_P(Heads, UpgradeRequest, testing::ValuesIn(kRequestCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(UpgradeRequest, AcceptsAnyOriginWithoutList) {
    const auto head =
        parsed_request(request_head("Host: app.svc\r\n", "Host: app.svc\r\nOrigin: https://anywhere\r\n"));
    ASSERT_TRUE(head);
    EXPECT_FALSE(validate_upgrade(*head, deployment(), {}));
}

TEST(UpgradeRequest, IsRecognizedByUpgradeHeaderAlone) {
    EXPECT_TRUE(is_upgrade_request(*parsed_request(request_head("", ""))));
    EXPECT_TRUE(
        is_upgrade_request(*parsed_request(request_head("Upgrade: websocket", "Upgrade: WEBSOCKET"))));
    EXPECT_FALSE(is_upgrade_request(*parsed_request(request_head("Upgrade: websocket\r\n", ""))));
    EXPECT_FALSE(is_upgrade_request(*parsed_request(request_head("Upgrade: websocket", "Upgrade: h2c"))));
}

TEST(UpgradeRequest, ForwardsOnlyKnownHeadersToServer) {
    auto head = parsed_request(
        request_head("Host: app.svc\r\n",
                     "Host: app.svc\r\nSec-WebSocket-Protocol: a\r\nSec-WebSocket-Protocol: b\r\n"
                     "Sec-WebSocket-Extensions: permessage-deflate\r\nX-Account: acme\r\nX-Secret: s\r\n"));
    ASSERT_TRUE(head);
    http::fields forwarded;
    add_forwarded_headers(forwarded, *head, 250);
    EXPECT_EQ(forwarded["X-Correlation-Id"], "id-1");
    EXPECT_EQ(forwarded["X-Service-Class"], "safe");
    EXPECT_EQ(forwarded["X-Account"], "acme");
    EXPECT_EQ(forwarded["X-Time-Left"], "250000u")
        << "the sidecar writes its own value instead of the client's";
    EXPECT_EQ(forwarded["Sec-WebSocket-Protocol"], "a, b");
    for (const char* name : {"Sec-WebSocket-Extensions", "Sec-WebSocket-Key", "X-Secret", "Upgrade", "Host"})
        EXPECT_EQ(forwarded.count(name), 0U) << name;
}

struct ResponseCase {
    const char* name;
    const char* replaced;     // the part of the valid head to replace
    const char* replacement;  // the text in its place
    Outcome outcome;
    const char* subprotocol;
};

class UpgradeResponse : public testing::TestWithParam<ResponseCase> {};

TEST_P(UpgradeResponse, IsMappedToOutcome) {
    const ResponseCase& test_case = GetParam();
    const auto head = parsed_response(response_head(test_case.replaced, test_case.replacement));
    ASSERT_TRUE(head);
    const ServerResponse response = evaluate_server_response(*head, {"a", "b"});
    EXPECT_EQ(static_cast<int>(response.outcome), static_cast<int>(test_case.outcome));
    EXPECT_EQ(response.subprotocol, test_case.subprotocol);
}

const ResponseCase kResponseCases[] = {
    {"valid", "", "", Outcome::success, ""},
    {"offered_subprotocol", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: b\r\n\r\n", Outcome::success, "b"},
    {"subprotocol_not_offered", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: c\r\n\r\n", Outcome::error_response,
     ""},
    {"empty_subprotocol", "\r\n\r\n", "\r\nSec-WebSocket-Protocol:\r\n\r\n", Outcome::error_response, ""},
    {"offered_subprotocol_in_other_case", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: B\r\n\r\n",
     Outcome::error_response, ""},
    {"two_offered_subprotocols", "\r\n\r\n",
     "\r\nSec-WebSocket-Protocol: a\r\nSec-WebSocket-Protocol: b\r\n\r\n", Outcome::error_response, ""},
    {"extension", "\r\n\r\n", "\r\nSec-WebSocket-Extensions: permessage-deflate\r\n\r\n",
     Outcome::error_response, ""},
    {"upgrade_to_other_protocol", "Upgrade: websocket", "Upgrade: h2c", Outcome::error_response, ""},
    {"connection_close", "Connection: Upgrade", "Connection: close", Outcome::error_response, ""},
    {"status_200", "101 Switching Protocols", "200 OK", Outcome::error_response, ""},
    {"status_403", "101 Switching Protocols", "403 Forbidden", Outcome::error_response, ""},
    {"status_503_unprocessed", "101 Switching Protocols", "503 Full\r\nX-Unprocessed: 1", Outcome::rejected,
     ""},
    {"status_504_unprocessed", "101 Switching Protocols", "504 Late\r\nX-Unprocessed: 1", Outcome::rejected,
     ""},
    {"status_503_without_unprocessed_header", "101 Switching Protocols", "503 Full", Outcome::error_response,
     ""},
    {"status_500_unprocessed", "101 Switching Protocols", "500 Oops\r\nX-Unprocessed: 1",
     Outcome::error_response, ""},
};

INSTANTIATE_TEST_SUITE_P(Heads, UpgradeResponse, testing::ValuesIn(kResponseCases),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace elmbay::websocket
