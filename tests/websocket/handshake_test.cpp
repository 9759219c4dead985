// Opening handshakes, one table for each side: a valid head, and each way to make it invalid.
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
    const char* from;  // of the sound head
    const char* to;
    unsigned status;  // 0: still sound
};

class UpgradeRequest : public testing::TestWithParam<RequestCase> {};

TEST_P(UpgradeRequest, IsAcceptedOrRejectedWithStatus) {
    const RequestCase& c = GetParam();
    const auto head = parsed_request(request_head(c.from, c.to));
    ASSERT_TRUE(head) << "Beast takes it for a request";
    const auto problem =
        validate_upgrade(*head, deployment(), {"https://archive.example", "https://other.example:8443"});
    EXPECT_EQ(problem ? static_cast<unsigned>(problem->status) : 0U, c.status)
        << (problem ? problem->text : "");
}

const RequestCase kRequestCases[] = {
    {"sound", "", "", 0},
    {"post", "GET", "POST", 400},
    {"http_1_0", "HTTP/1.1", "HTTP/1.0", 400},
    {"no_host", "Host: app.svc\r\n", "", 400},
    {"two_hosts", "Host: app.svc\r\n", "Host: app.svc\r\nHost: b\r\n", 400},
    {"empty_host", "Host: app.svc", "Host:", 400},
    {"a_body", "Host: app.svc\r\n", "Host: app.svc\r\nContent-Length: 0\r\n", 400},
    {"chunks", "Host: app.svc\r\n", "Host: app.svc\r\nTransfer-Encoding: chunked\r\n", 400},
    {"upgrade_in_capitals", "Upgrade: websocket", "Upgrade: WebSocket", 0},
    {"upgrade_to_more", "Upgrade: websocket", "Upgrade: h2c, websocket", 0},
    {"upgrade_to_something_else", "Upgrade: websocket", "Upgrade: websocket2", 400},
    {"upgrade_is_no_list", "Upgrade: websocket", "Upgrade: websocket, @", 400},
    {"connection_says_more", "Connection: Upgrade", "Connection: keep-alive, Upgrade", 0},
    {"connection_says_close", "Connection: Upgrade", "Connection: close", 400},
    {"no_connection", "Connection: Upgrade\r\n", "", 400},
    {"version_8", "Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 8", 426},
    {"two_versions", "Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Version: 8",
     400},
    {"version_with_more", "Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 13, 8", 426},
    {"no_version", "Sec-WebSocket-Version: 13\r\n", "", 426},
    {"no_key", "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n", "", 400},
    {"a_short_key", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZQ==", 400},
    {"a_long_key", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZSBub25jZSBtb3Jl", 400},
    {"a_key_of_other_digits", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZSBub25j*Q==", 400},
    {"a_key_without_padding", "dGhlIHNhbXBsZSBub25jZQ==", "dGhlIHNhbXBsZSBub25jZQaa", 400},
    {"two_keys", "Sec-WebSocket-Version",
     "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version", 400},
    {"subprotocols", "Host: app.svc\r\n", "Host: app.svc\r\nSec-WebSocket-Protocol: a, b\r\n", 0},
    {"subprotocols_in_two_lines", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Protocol: a\r\nSec-WebSocket-Protocol: b\r\n", 0},
    {"a_subprotocol_twice", "Host: app.svc\r\n", "Host: app.svc\r\nSec-WebSocket-Protocol: a, b, a\r\n", 400},
    {"a_subprotocol_that_is_no_token", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Protocol: a(b)\r\n", 400},
    {"an_empty_list_of_subprotocols", "Host: app.svc\r\n", "Host: app.svc\r\nSec-WebSocket-Protocol:\r\n",
     400},
    {"seventeen_subprotocols", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Protocol: a,b,c,d,e,f,g,h,i,j,k,l,m,n,o,p,q\r\n", 400},
    {"extensions_that_we_leave_out", "Host: app.svc\r\n",
     "Host: app.svc\r\nSec-WebSocket-Extensions: permessage-deflate\r\n", 0},
    {"a_listed_origin", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: HTTPS://archive.example\r\n", 0},
    {"another_origin", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: https://archive.example.evil\r\n", 403},
    {"an_origin_with_a_port", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: https://archive.example:444\r\n",
     403},
    {"no_origin_at_all", "Host: app.svc\r\n", "Host: app.svc\r\nOrigin: null\r\n", 403},
    {"two_origins", "Host: app.svc\r\n",
     "Host: app.svc\r\nOrigin: https://archive.example\r\nOrigin: https://archive.example\r\n", 400},
    {"no_class", "X-Service-Class: safe\r\n", "", 400},
    {"an_unknown_class", "X-Service-Class: safe", "X-Service-Class: other", 400},
    {"an_unsafe_class", "X-Service-Class: safe", "X-Service-Class: unsafe", 0},
    {"a_keyed_class_without_key", "X-Service-Class: safe", "X-Service-Class: keyed", 400},
    {"a_keyed_class", "X-Service-Class: safe", "X-Service-Class: keyed\r\nIdempotency-Key: k", 0},
    {"no_id", "X-Correlation-Id: id-1\r\n", "", 400},
    {"no_time", "X-Time-Left: 900m\r\n", "", 400},
    {"a_time_that_is_none", "X-Time-Left: 900m", "X-Time-Left: soon", 400},
};

INSTANTIATE_TEST_SUITE_P(Heads, UpgradeRequest, testing::ValuesIn(kRequestCases),
                         [](const auto& c) { return std::string(c.param.name); });

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
    http::fields into;
    add_forwarded_headers(into, *head, 250);
    EXPECT_EQ(into["X-Correlation-Id"], "id-1");
    EXPECT_EQ(into["X-Service-Class"], "safe");
    EXPECT_EQ(into["X-Account"], "acme");
    EXPECT_EQ(into["X-Time-Left"], "250000u") << "the sidecar's, not the client's";
    EXPECT_EQ(into["Sec-WebSocket-Protocol"], "a, b");
    for (const char* name : {"Sec-WebSocket-Extensions", "Sec-WebSocket-Key", "X-Secret", "Upgrade", "Host"})
        EXPECT_EQ(into.count(name), 0U) << name;
}

struct ResponseCase {
    const char* name;
    const char* from;
    const char* to;
    Outcome outcome;
    const char* subprotocol;
};

class UpgradeResponse : public testing::TestWithParam<ResponseCase> {};

TEST_P(UpgradeResponse, IsMappedToOutcome) {
    const ResponseCase& r = GetParam();
    const auto head = parsed_response(response_head(r.from, r.to));
    ASSERT_TRUE(head);
    const ServerResponse got = evaluate_server_response(*head, {"a", "b"});
    EXPECT_EQ(static_cast<int>(got.outcome), static_cast<int>(r.outcome));
    EXPECT_EQ(got.subprotocol, r.subprotocol);
}

const ResponseCase kResponseCases[] = {
    {"sound", "", "", Outcome::success, ""},
    {"one_of_ours", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: b\r\n\r\n", Outcome::success, "b"},
    {"one_that_nobody_offered", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: c\r\n\r\n", Outcome::error_response,
     ""},
    {"an_empty_one", "\r\n\r\n", "\r\nSec-WebSocket-Protocol:\r\n\r\n", Outcome::error_response, ""},
    {"ours_in_capitals", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: B\r\n\r\n", Outcome::error_response, ""},
    {"two_of_ours", "\r\n\r\n", "\r\nSec-WebSocket-Protocol: a\r\nSec-WebSocket-Protocol: b\r\n\r\n",
     Outcome::error_response, ""},
    {"an_extension", "\r\n\r\n", "\r\nSec-WebSocket-Extensions: permessage-deflate\r\n\r\n",
     Outcome::error_response, ""},
    {"upgraded_to_something_else", "Upgrade: websocket", "Upgrade: h2c", Outcome::error_response, ""},
    {"connection_not_upgraded", "Connection: Upgrade", "Connection: close", Outcome::error_response, ""},
    {"a_plain_answer", "101 Switching Protocols", "200 OK", Outcome::error_response, ""},
    {"forbidden", "101 Switching Protocols", "403 Forbidden", Outcome::error_response, ""},
    {"full", "101 Switching Protocols", "503 Full\r\nX-Unprocessed: 1", Outcome::rejected, ""},
    {"draining", "101 Switching Protocols", "504 Late\r\nX-Unprocessed: 1", Outcome::rejected, ""},
    {"full_without_a_word_of_having_run", "101 Switching Protocols", "503 Full", Outcome::error_response, ""},
    {"unprocessed_with_another_status", "101 Switching Protocols", "500 Oops\r\nX-Unprocessed: 1",
     Outcome::error_response, ""},
};

INSTANTIATE_TEST_SUITE_P(Heads, UpgradeResponse, testing::ValuesIn(kResponseCases),
                         [](const auto& r) { return std::string(r.param.name); });

}  // namespace
}  // namespace elmbay::websocket
