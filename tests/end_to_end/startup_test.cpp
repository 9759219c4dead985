// Tests when a newly started sidecar reports that it is ready.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr const char* kReadinessRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

TEST(Startup, IsReadyWhenEndpointListHasAServer) {
    SidecarFixture fixture;
    fixture.config["known"]["targets"] = Json::array();
    fixture.start();
    const auto client = fixture.connect_client();
    client->send(kReadinessRequest);
    ASSERT_TRUE(fixture.until([&] { return !client->received.empty(); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 503");

    fixture.begin_watch();
    const std::string list = fixture.watch_line(fixture.targets(), true);
    fixture.send_chunk("\n" + list.substr(0, 20));  // a heartbeat and the first part of the list
    fixture.handle_pending_events();
    fixture.send_chunk(list.substr(20));
    ASSERT_TRUE(fixture.until([&] {
        client->received.clear();
        client->send(kReadinessRequest);
        return fixture.until([&] { return client->received.size() > 12; }) &&
               status_of(*client) == "HTTP/1.1 200";
    }));
}

// Sidecars that start while discovery is unreachable are ready with the endpoint list of their configuration.
TEST(Startup, ServesConfiguredListWhenDiscoveryIsUnreachable) {
    for (const char* mode : {"pushed", "on_request"}) {
        SCOPED_TRACE(mode);
        SidecarFixture fixture;
        fixture.config["settings"]["membership-mode"] = mode;
        fixture.discovery.acceptor.close();  // discovery refuses connections from now on
        fixture.sidecar = std::make_unique<Sidecar>(fixture.io, parse_config(fixture.config.dump()));
        const auto readiness_probe = fixture.connect_client();
        readiness_probe->send(kReadinessRequest);
        ASSERT_TRUE(fixture.until([&] { return readiness_probe->received.size() > 12; }));
        EXPECT_EQ(status_of(*readiness_probe), "HTTP/1.1 200");

        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        FakeServer& server = fixture.servers.front();
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
    }
}

}  // namespace
}  // namespace elmbay::test
