// Tests reloads of the configuration (SIGHUP) while requests and calls to discovery are in progress.
#include <gtest/gtest.h>

#include <list>
#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// A reload changes the address of discovery while a request is in flight. The sidecar immediately requests
// the whole list from the new address and closes the call to the old one. Until the new list arrives, the
// sidecar uses the old list, and the request in flight continues.
TEST(Reload, SwitchesDiscoveryAndKeepsOldListMeanwhile) {
    SidecarFixture fixture;
    fixture.start();
    fixture.begin_watch();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    FakeServer new_discovery(fixture.io);
    FakeServer new_server(fixture.io);
    fixture.config["discovery"] = new_discovery.address();
    fixture.reload();
    ASSERT_TRUE(fixture.until(
        [&] { return new_discovery.request_count() == 1 && fixture.discovery.last_connection().closed; }));
    EXPECT_NE(new_discovery.last_connection().received.find("GET /discovery/hosts "), std::string::npos)
        << "the sidecar must request the whole list";

    const auto second = fixture.connect_client();
    second->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }))
        << "the old list must stay in use";
    for (const auto& peer : server.connections) peer->respond("200 OK", "answer");
    for (const auto& served : {client, second}) {
        ASSERT_TRUE(fixture.until([&] { return served->received.find("answer") != std::string::npos; }));
    }

    fixture.list_version = 0;  // the versions of the new discovery start at 1
    const Json new_list = Json::array({SidecarFixture::target(7, new_server.address())});
    new_discovery.last_connection().respond("200 OK", fixture.watch_line(new_list, true));
    ASSERT_TRUE(fixture.until([&] { return new_discovery.request_count() == 2; }));
    EXPECT_NE(new_discovery.last_connection().received.find("stream=1&index=1 "), std::string::npos);
    client->received.clear();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return new_server.request_count() == 1; }))
        << "the new list must be in use";
}

// The progress of the call to discovery at the time of the next reload.
enum class CallProgress { none, one_loop_step, connected, request_sent, response_begun };

void run_call_until(SidecarFixture& fixture, FakeServer& discovery, CallProgress progress) {
    switch (progress) {
        case CallProgress::none:
            break;
        case CallProgress::one_loop_step:
            fixture.io.poll_one();
            break;
        case CallProgress::connected:
            ASSERT_TRUE(fixture.until([&] { return !discovery.connections.empty(); }));
            break;
        case CallProgress::request_sent:
            ASSERT_TRUE(fixture.until([&] { return discovery.request_count() == 1; }));
            break;
        case CallProgress::response_begun:
            ASSERT_TRUE(fixture.until([&] { return discovery.request_count() == 1; }));
            discovery.last_connection().send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"rev\":9,");
            fixture.handle_pending_events();
            break;
    }
}

// Reloads happen before a call to discovery starts, while it connects, while it waits for its response and
// while it reads the response. The sidecar must use the last address and close the calls to the earlier
// addresses.
TEST(Reload, UsesLastDiscoveryAddressWhateverCallIsInProgress) {
    SidecarFixture fixture;
    fixture.start();
    std::list<FakeServer> new_discoveries;
    FakeServer new_server(fixture.io);
    for (const CallProgress progress :
         {CallProgress::none, CallProgress::one_loop_step, CallProgress::connected,
          CallProgress::request_sent, CallProgress::response_begun, CallProgress::none}) {
        FakeServer& discovery = new_discoveries.emplace_back(fixture.io);
        fixture.config["discovery"] = discovery.address();
        fixture.reload();
        ASSERT_NO_FATAL_FAILURE(run_call_until(fixture, discovery, progress));
    }
    FakeServer& last = new_discoveries.back();
    ASSERT_TRUE(fixture.until([&] { return last.request_count() == 1; }));
    fixture.reload();  // reloads the same configuration while the response is pending
    fixture.list_version = 0;
    ASSERT_TRUE(fixture.until([&] { return last.request_count() == 2; }));
    EXPECT_NE(last.last_connection().received.find("GET /discovery/hosts "), std::string::npos)
        << "the sidecar must request the whole list";
    const Json new_list = Json::array({SidecarFixture::target(7, new_server.address())});
    last.last_connection().respond("200 OK", fixture.watch_line(new_list, true));
    ASSERT_TRUE(fixture.until([&] { return last.request_count() == 3; }))
        << "the sidecar must start the watch";
    fixture.handle_pending_events();
    for (FakeServer& discovery : new_discoveries) {
        if (&discovery == &last) continue;
        for (const auto& peer : discovery.connections) {
            EXPECT_TRUE(fixture.until([&] { return peer->closed; }));
        }
    }
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until(
        [&] { return new_server.request_count() + fixture.servers.front().request_count() == 1; }));
    EXPECT_EQ(new_server.request_count(), 1U) << "the sidecar must use the list from the last address";
}

// Reloads happen right before and during a shutdown. The sidecar must finish the requests in flight with the
// endpoint list that it already has.
TEST(Reload, LosesNoRequestBeforeShutdown) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    FakeServer new_discovery(fixture.io);
    fixture.config["discovery"] = new_discovery.address();
    bool drained = false;
    for (int i = 0; i < 3; ++i) fixture.reload();
    fixture.sidecar->drain([&drained] { drained = true; });
    fixture.reload();
    const auto late = fixture.connect_client();
    late->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }));
    for (const auto& peer : server.connections) peer->respond("200 OK", "answer");
    for (const auto& served : {client, late}) {
        ASSERT_TRUE(fixture.until([&] { return served->closed; }));
        EXPECT_EQ(status_of(*served), "HTTP/1.1 200");
        served->close();
    }
    EXPECT_TRUE(fixture.until([&] { return drained; }));
}

}  // namespace
}  // namespace elmbay::test
