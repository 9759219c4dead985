// Tests reloads of the configuration (SIGHUP) while requests and calls to discovery are in progress.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <list>
#include <string>

#include "net/discovery.hpp"
#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// A reload changes the address of discovery while a request is in flight. The sidecar immediately requests
// the whole list from the new address. Until that list arrives, the sidecar uses the old list, the watch at
// the old address stays open, and the request in flight continues.
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
    ASSERT_TRUE(fixture.until([&] { return new_discovery.request_count() == 1; }));
    fixture.handle_pending_events();
    EXPECT_FALSE(fixture.discovery.last_connection().closed) << "the old watch must stay open";
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
    ASSERT_TRUE(fixture.until(
        [&] { return new_discovery.request_count() == 2 && fixture.discovery.last_connection().closed; }));
    EXPECT_NE(new_discovery.last_connection().received.find("stream=1&index=1 "), std::string::npos);
    client->received.clear();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return new_server.request_count() == 1; }))
        << "the new list must be in use";
}

// Sends a request and returns the index of the server that receives it.
std::size_t server_of_next_request(SidecarFixture& fixture) {
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    const auto has_request = [](const FakeServer& server) {
        return std::any_of(server.connections.begin(), server.connections.end(), [](const auto& peer) {
            return peer->answered_request_count < peer->request_count();
        });
    };
    auto receiver = fixture.servers.end();
    EXPECT_TRUE(fixture.until([&] {
        receiver = std::find_if(fixture.servers.begin(), fixture.servers.end(), has_request);
        return receiver != fixture.servers.end();
    }));
    const auto index = static_cast<std::size_t>(std::distance(fixture.servers.begin(), receiver));
    for (FakeServer& server : fixture.servers) server.respond_to_all();
    EXPECT_TRUE(fixture.until([&] { return !client->received.empty(); }));
    return index;
}

// Two servers, of which the sidecar is configured with the first.
struct TwoServersFixture : SidecarFixture {
    TwoServersFixture() : SidecarFixture(2) { config["known"]["targets"] = list_of_server(0); }

    Json list_of_server(std::size_t index) const { return Json::array({targets()[index]}); }

    // Reloads the configuration with a new address of discovery, and waits for the call to it.
    void reload_with_new_discovery() {
        FakeServer& new_discovery = new_discoveries.emplace_back(io);
        config["discovery"] = new_discovery.address();
        reload();
        ASSERT_TRUE(until([&] { return new_discovery.request_count() == 1; }));
    }

    std::list<FakeServer> new_discoveries;
};

// A reload closed the watch at the old address at once. A drain that the old service reported while the new
// one had not responded yet went unnoticed (review/3).
TEST(Reload, AppliesDrainFromOldWatchUntilNewAddressResponds) {
    TwoServersFixture fixture;
    fixture.start();
    fixture.begin_watch();
    fixture.handle_pending_events();
    fixture.reload_with_new_discovery();
    Json changes = fixture.targets();
    changes[0]["state"] = "leaving";
    fixture.send_chunk(fixture.watch_line(changes, false));
    fixture.handle_pending_events();
    EXPECT_EQ(server_of_next_request(fixture), 1U);
}

// Guards against requests to a draining server after a reload: a change from the old address that was read
// together with the list of the new one took effect over it, and undid the drain (review/9).
TEST(Reload, AppliesListOfNewAddressAfterChangesOfOldWatch) {
    TwoServersFixture fixture;
    fixture.start();
    fixture.begin_watch();
    fixture.handle_pending_events();
    ASSERT_NO_FATAL_FAILURE(fixture.reload_with_new_discovery());
    Json entries = fixture.targets();
    entries[0]["state"] = "leaving";
    FakeServer& new_discovery = fixture.new_discoveries.back();
    // The event loop does not run in between, as if the process was held up, and finds both at once.
    new_discovery.last_connection().respond("200 OK", fixture.watch_line(entries, true));
    fixture.send_chunk(fixture.watch_line(fixture.list_of_server(0), false));
    ASSERT_TRUE(fixture.until([&] { return fixture.discovery.last_connection().closed; }));
    fixture.handle_pending_events();
    for (int i = 0; i < 4; ++i) EXPECT_EQ(server_of_next_request(fixture), 1U);
}

// A reload names an address where nobody listens. The old watch must stay in use while calls to it fail.
TEST(Reload, KeepsOldWatchWhileNewAddressRefusesConnections) {
    TwoServersFixture fixture;
    fixture.start();
    fixture.begin_watch();
    fixture.handle_pending_events();
    {
        FakeServer closed_discovery(fixture.io);
        fixture.config["discovery"] = closed_discovery.address();
    }
    fixture.reload();
    fixture.handle_pending_events();  // the first call is refused
    EXPECT_FALSE(fixture.discovery.last_connection().closed);
    Json changes = fixture.targets();
    changes[0]["state"] = "leaving";
    fixture.send_chunk(fixture.watch_line(changes, false));
    fixture.handle_pending_events();
    EXPECT_EQ(server_of_next_request(fixture), 1U);
}

// Each reload gave up the call that was waiting for its response. With reloads at shorter intervals than the
// response takes, no list arrived any more (review/3).
TEST(Reload, AppliesListOfEarlierCallDespiteFurtherReloads) {
    TwoServersFixture fixture;
    fixture.config["settings"]["membership-mode"] = "on_request";
    fixture.start();
    for (int i = 0; i < 3; ++i) ASSERT_NO_FATAL_FAILURE(fixture.reload_with_new_discovery());
    FakeServer& first = fixture.new_discoveries.front();
    first.last_connection().respond("200 OK", fixture.watch_line(fixture.list_of_server(1), true));
    ASSERT_TRUE(fixture.until([&] { return first.last_connection().closed; }));
    EXPECT_EQ(server_of_next_request(fixture), 1U);
    EXPECT_EQ(first.request_count(), 1U) << "the sidecar must open no watch at an earlier address";
    EXPECT_FALSE(fixture.new_discoveries.back().last_connection().closed);
}

// The list of an earlier address is older than one that a later address has sent. It must not replace it,
// even if both are unread when the event loop runs.
TEST(Reload, IgnoresListOfEarlierAddressAfterListOfLaterOne) {
    TwoServersFixture fixture;
    fixture.start();
    for (int i = 0; i < 2; ++i) ASSERT_NO_FATAL_FAILURE(fixture.reload_with_new_discovery());
    FakeServer& earlier = fixture.new_discoveries.front();
    FakeServer& later = fixture.new_discoveries.back();
    const std::string old_list = fixture.watch_line(fixture.list_of_server(0), true);
    later.last_connection().respond("200 OK", fixture.watch_line(fixture.list_of_server(1), true));
    earlier.last_connection().respond("200 OK", old_list);
    ASSERT_TRUE(fixture.until([&] { return later.request_count() == 2; }));
    ASSERT_TRUE(fixture.until([&] { return earlier.last_connection().closed; }));
    EXPECT_EQ(server_of_next_request(fixture), 1U);
}

// The calls that reloads leave behind must be bounded, and among them must be the one that waits longest.
TEST(Reload, KeepsFewCallsOpenAfterManyReloads) {
    TwoServersFixture fixture;
    fixture.start();
    fixture.begin_watch();
    fixture.handle_pending_events();
    constexpr int kReloads = 100;
    for (int i = 0; i < kReloads; ++i) ASSERT_NO_FATAL_FAILURE(fixture.reload_with_new_discovery());
    fixture.handle_pending_events();
    std::list<FakeServer>& new_discoveries = fixture.new_discoveries;
    const auto is_open = [](FakeServer& discovery) { return !discovery.last_connection().closed; };
    const auto open_count = std::count_if(new_discoveries.begin(), new_discoveries.end(), is_open);
    EXPECT_EQ(static_cast<std::size_t>(open_count), Discovery::kMaxPreviousCalls)
        << "the current call and the previous ones without the watch";
    EXPECT_TRUE(is_open(fixture.discovery)) << "the watch is the oldest call";
    EXPECT_TRUE(is_open(new_discoveries.back())) << "the current call";
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
