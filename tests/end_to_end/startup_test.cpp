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

// A sidecar that starts while discovery is down: the agent accepts the call and does not respond.
struct SilentAgentFixture : SidecarFixture {
    FakeServer& server = servers.front();

    SilentAgentFixture() {
        config["settings"]["rules"]["stop-sending-within-ms"] = 100.0;
        config["settings"]["classes"][1]["on-time-ms"] = 160.0;  // a request waits a tenth of it for a server
        start();
    }

    // Sends a request, serves it if it reaches the server, and returns the status of its response.
    std::string send_request() {
        const auto client = connect_client();
        client->send(request("unsafe"));
        EXPECT_TRUE(until([&] {
            server.respond_to_all();
            return client->received.size() > 12;
        }));
        return status_of(*client);
    }

    void send_requests_until_rejected() {
        ASSERT_TRUE(until([&] { return send_request() == "HTTP/1.1 503"; }));
    }

    std::string readiness() {
        const auto client = connect_client();
        client->send(kReadinessRequest);
        EXPECT_TRUE(until([&] { return client->received.size() > 12; }));
        return status_of(*client);
    }
};

// Guards against requests to a draining server after a restart while discovery is down: the agent's list
// may have a drain that the list of the configuration does not have, and it already applies (review/8).
TEST(Startup, StopsSendingByConfiguredListWithinDrainGraceWhileAgentIsSilent) {
    SilentAgentFixture fixture;
    EXPECT_EQ(fixture.readiness(), "HTTP/1.1 503");
    fixture.send_requests_until_rejected();
    const std::size_t requests_before = fixture.server.request_count();
    for (int i = 0; i < 5; ++i) EXPECT_EQ(fixture.send_request(), "HTTP/1.1 503");
    EXPECT_EQ(fixture.server.request_count(), requests_before);
}

// The first words of the agent may be that nothing has changed, what has changed, or the whole list.
TEST(Startup, ResumesSendingWhenAgentConfirmsConfiguredList) {
    SilentAgentFixture fixture;
    fixture.send_requests_until_rejected();
    fixture.begin_watch();
    ASSERT_TRUE(fixture.until([&] { return fixture.readiness() == "HTTP/1.1 200"; }));
    EXPECT_EQ(fixture.send_request(), "HTTP/1.1 200");
}

TEST(Startup, ResumesSendingOnlyToServersThatAgentDoesNotReportAsDraining) {
    for (const bool is_whole_list : {false, true}) {
        SCOPED_TRACE(is_whole_list);
        SilentAgentFixture fixture;
        fixture.send_requests_until_rejected();
        const std::size_t requests_before = fixture.server.request_count();
        FakeServer active(fixture.io);
        Json entries = fixture.targets("leaving");
        entries.push_back(SidecarFixture::target(1, active.address()));
        fixture.begin_watch();
        fixture.send_chunk(fixture.watch_line(entries, is_whole_list));
        ASSERT_TRUE(fixture.until([&] { return fixture.readiness() == "HTTP/1.1 200"; }));
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] {
            active.respond_to_all();
            return client->received.size() > 12;
        }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
        EXPECT_EQ(fixture.server.request_count(), requests_before);
    }
}

}  // namespace
}  // namespace elmbay::test
