// When a sidecar that has just started is ready to serve.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr const char* kReadinessRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

TEST(Startup, IsReadyOnceAServerIsKnown) {
    SidecarFixture fixture;
    fixture.config["known"]["targets"] = Json::array();
    fixture.start();
    const auto client = fixture.client();
    client->send(kReadinessRequest);
    ASSERT_TRUE(fixture.until([&] { return !client->got.empty(); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 503");

    fixture.watch_begins();
    const std::string list = fixture.line(fixture.targets(), true);
    fixture.chunk("\n" + list.substr(0, 20));  // a heartbeat, and the first piece of the list
    fixture.settle();
    fixture.chunk(list.substr(20));
    ASSERT_TRUE(fixture.until([&] {
        client->got.clear();
        client->send(kReadinessRequest);
        return fixture.until([&] { return client->got.size() > 12; }) && status_of(*client) == "HTTP/1.1 200";
    }));
}

// A fleet that starts while discovery is down is ready by the lists in its configurations.
TEST(Startup, ServesKnownListWhenDiscoveryIsUnreachable) {
    for (const char* mode : {"pushed", "on_request"}) {
        SCOPED_TRACE(mode);
        SidecarFixture fixture;
        fixture.config["settings"]["membership-mode"] = mode;
        fixture.discovery.acceptor.close();  // from now on it refuses connections
        fixture.sidecar = std::make_unique<Sidecar>(fixture.io, parse_config(fixture.config.dump()));
        const auto readiness_probe = fixture.client();
        readiness_probe->send(kReadinessRequest);
        ASSERT_TRUE(fixture.until([&] { return readiness_probe->got.size() > 12; }));
        EXPECT_EQ(status_of(*readiness_probe), "HTTP/1.1 200");

        const auto client = fixture.client();
        client->send(SidecarFixture::request("unsafe"));
        FakeServer& server = fixture.servers.front();
        ASSERT_TRUE(fixture.until([&] { return server.requests() == 1; }));
        server.last().respond("200 OK", "answer");
        ASSERT_TRUE(fixture.until([&] { return client->got.find("answer") != std::string::npos; }));
    }
}

}  // namespace
}  // namespace elmbay::test
