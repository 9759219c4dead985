// Tests steps of the wall clock of the sidecar or of a server, by seconds and by an hour: before the sidecar
// starts, while servers are in slow start, and during drains. The sidecar's decisions must stay the same or
// become safer. The tests measure shares of requests, so the results do not depend on the machine's speed.
#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "state/timestamp.hpp"
#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr Millis kSecond = 1000;
constexpr Millis kHour = 3600 * kSecond;
constexpr std::size_t kServers = 4;
constexpr std::size_t kStartingServer = kServers - 1;  // index of the server in slow start
constexpr std::size_t kConcurrentRequests = 8;

Millis true_wall_time() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::milli>(since_epoch).count();
}

// A sidecar with four servers, of which the last is in slow start. The test can step the sidecar's wall
// clock.
struct WallClockFixture : SidecarFixture {
    Millis clock_offset = 0;  // the sidecar's wall clock minus the true time

    // The default duration of slow start is so long that no server becomes warm during a test.
    explicit WallClockFixture(Millis slow_start_duration = 600 * kSecond) : SidecarFixture(kServers) {
        config["settings"]["rules"].update(
            {{"cold-from", 0.05}, {"warm-within-ms", slow_start_duration}, {"fall-multiple", 2.5}});
    }

    void start() {
        const Clock clock([this] { return true_wall_time() + clock_offset; });
        sidecar = std::make_unique<Sidecar>(io, parse_config(config.dump()), std::nullopt,
                                            websocket::Settings{}, clock);
        ASSERT_TRUE(until([&] { return discovery.request_count() > 0; }));
        begin_watch();
    }

    // Returns the endpoint list's entry for the server in slow start. The server started `age` ago and
    // reports its start time by its own wall clock, which is off by `server_clock_offset`.
    Json starting_server(Millis age, Millis server_clock_offset = 0) const {
        Json entry = target(kStartingServer, servers.back().address());
        entry["boot_ms"] = std::floor(true_wall_time() - age + server_clock_offset);
        return entry;
    }

    Json& configured_entry(std::size_t index) { return config["known"]["targets"][index]; }
    void omit_starting_server_from_configured_list() { config["known"]["targets"].erase(kStartingServer); }

    // Sends a change of the endpoint list and waits until the sidecar has handled it.
    void send_change(const Json& entry) {
        send_chunk(watch_line(Json::array({entry}), false));
        handle_pending_events();
    }

    void respond_to_all() {
        for (FakeServer& server : servers) server.respond_to_all();
    }

    std::size_t requests_at_servers() const {
        std::size_t count = 0;
        for (const FakeServer& server : servers) count += server.request_count();
        return count;
    }

    // Serves several requests that are in flight at the same time, so that each server gets its intended
    // share. Sequential requests would all go to the server that responds fastest.
    void serve_concurrent_requests() {
        while (clients_.size() < kConcurrentRequests) clients_.push_back(connect_client());
        const std::size_t requests_before = requests_at_servers();
        for (const auto& client : clients_) {
            client->received.clear();
            client->send(request("safe"));
        }
        ASSERT_TRUE(until([&] { return requests_at_servers() == requests_before + kConcurrentRequests; }));
        respond_to_all();
        for (const auto& client : clients_) {
            ASSERT_TRUE(until([&] { return client->received.find("answer") != std::string::npos; }));
        }
    }

    // Returns the share of requests that the server in slow start receives during `rounds` calls of
    // serve_concurrent_requests().
    double share_of_starting_server(std::size_t rounds = 30) {
        const std::size_t requests_before = servers.back().request_count();
        for (std::size_t i = 0; i < rounds && !testing::Test::HasFatalFailure(); ++i) {
            serve_concurrent_requests();
        }
        return static_cast<double>(servers.back().request_count() - requests_before) /
               static_cast<double>(rounds * kConcurrentRequests);
    }

private:
    std::vector<std::shared_ptr<Peer>> clients_;
};

// With four warm servers each server's share is 0.25. A cold server may receive 0.05 times the share of a
// warm server, multiplied by the fall-multiple of 2.5, which is about 0.03 of all requests.
constexpr double kMaxColdShare = 0.06;
constexpr double kMinWarmShare = 0.15;

// The parameter is the step of the wall clock in milliseconds.
class WallClockStep : public testing::TestWithParam<Millis> {};

TEST_P(WallClockStep, OfSidecarBeforeStartKeepsServerInSlowStart) {
    WallClockFixture fixture;
    fixture.clock_offset = GetParam();
    fixture.configured_entry(kStartingServer) = fixture.starting_server(kSecond);
    fixture.start();
    EXPECT_LT(fixture.share_of_starting_server(), kMaxColdShare);
}

// The sidecar starts with a wrong clock, which is corrected before a server starts. During that server's slow
// start the sidecar's clock is stepped again, and an update of the list repeats the server's entry.
TEST_P(WallClockStep, OfSidecarWhileRunningKeepsServerInSlowStart) {
    WallClockFixture fixture;
    fixture.clock_offset = GetParam();
    fixture.omit_starting_server_from_configured_list();
    fixture.start();
    fixture.send_chunk("\n");
    fixture.clock_offset = 0;
    fixture.send_change(fixture.starting_server(200));
    EXPECT_LT(fixture.share_of_starting_server(15), kMaxColdShare);
    fixture.clock_offset = GetParam();
    fixture.send_change(fixture.starting_server(200 + kSecond));
    EXPECT_LT(fixture.share_of_starting_server(15), kMaxColdShare);
}

// The server's clock is stepped between two starts of the server, so the later start may have the earlier
// start time.
TEST_P(WallClockStep, OfServerBeforeRestartPutsItInSlowStart) {
    WallClockFixture fixture;
    fixture.configured_entry(kStartingServer) = fixture.starting_server(kHour / 2 * 3);
    fixture.start();
    fixture.send_chunk("\n");
    fixture.share_of_starting_server(2);
    fixture.send_change(fixture.starting_server(0, GetParam()));
    EXPECT_LT(fixture.share_of_starting_server(), kMaxColdShare);
}

// A server is warm when the duration of slow start has passed since the sidecar first received its entry,
// whatever the wall clocks show.
TEST_P(WallClockStep, OfSidecarOrServerDoesNotProlongSlowStart) {
    constexpr int kSlowStartDuration = 1500;
    for (const bool step_server : {false, true}) {
        WallClockFixture fixture(kSlowStartDuration);
        fixture.clock_offset = step_server ? 0 : GetParam();
        fixture.configured_entry(kStartingServer) =
            fixture.starting_server(kSecond, step_server ? GetParam() : 0);
        fixture.start();
        const auto warm_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(kSlowStartDuration);
        while (std::chrono::steady_clock::now() < warm_at) fixture.serve_concurrent_requests();
        EXPECT_GT(fixture.share_of_starting_server(20), kMinWarmShare)
            << "whether the server's clock was stepped: " << step_server;
    }
}

// A server leaves the endpoint list and returns with the same uid while its process keeps running. The server
// must not enter slow start again.
TEST_P(WallClockStep, WhileServerIsUnlistedDoesNotPutItInSlowStart) {
    WallClockFixture fixture;
    const Json old_server = fixture.starting_server(kHour);
    fixture.configured_entry(kStartingServer) = old_server;
    Json younger_server = SidecarFixture::target(0, fixture.servers.front().address());
    // The sidecar accepts the age of the old server if the list contains a server that is younger.
    younger_server["boot_ms"] = old_server["boot_ms"].get<double>() + kHour / 2;
    fixture.configured_entry(0) = younger_server;
    fixture.start();
    fixture.send_chunk("\n");
    Json unlisted = old_server;
    unlisted["state"] = "left";
    fixture.send_change(unlisted);
    fixture.clock_offset = GetParam();
    fixture.send_change(old_server);
    EXPECT_GT(fixture.share_of_starting_server(20), kMinWarmShare);
}

// When two servers have the same address, the address belongs to the server whose entry the sidecar received
// last, whatever start time that server's clock reports.
TEST_P(WallClockStep, OfServerDoesNotKeepAddressFromNewerServer) {
    WallClockFixture fixture;
    fixture.config["known"]["targets"] = Json::array({fixture.starting_server(60 * kSecond)});
    fixture.start();
    fixture.send_chunk("\n");
    Json newer = fixture.starting_server(0, GetParam());
    newer["uid"] = "fresh";
    fixture.send_change(newer);
    const Json status = fixture.sidecar->status();
    std::map<std::string, std::string> states;
    for (const Json& server : status["servers"]) states[server["uid"]] = server["state"];
    EXPECT_EQ(states["fresh"], "active") << status.dump();
    EXPECT_FALSE(states.contains("s-3") && states["s-3"] == "active") << status.dump();
}

// A server's drain and a request's deadline are durations of real time, which a step of the wall clock must
// not change.
TEST_P(WallClockStep, WhileServerDrainsChangesNeitherItsShareNorDeadlines) {
    WallClockFixture fixture;
    fixture.start();
    const auto waiting = fixture.connect_client();
    const auto sent_at = std::chrono::steady_clock::now();
    waiting->send(SidecarFixture::request("unsafe", "1500m"));
    ASSERT_TRUE(fixture.until([&] { return fixture.requests_at_servers() == 1; }));
    // Marks the waiting request as answered, so that respond_to_all() never responds to it.
    for (FakeServer& server : fixture.servers) {
        for (const auto& peer : server.connections) peer->answered_request_count = peer->request_count();
    }
    FakeServer& draining = fixture.servers.front();
    fixture.send_change(SidecarFixture::target(0, draining.address(), "leaving"));
    fixture.clock_offset = GetParam();
    const std::size_t requests_before = draining.request_count();
    fixture.share_of_starting_server(10);
    EXPECT_EQ(draining.request_count(), requests_before) << "a draining server must get no new request";
    ASSERT_TRUE(fixture.until([&] { return !waiting->received.empty(); }));
    EXPECT_EQ(status_of(*waiting), "HTTP/1.1 504");
    EXPECT_GE(std::chrono::steady_clock::now() - sent_at, std::chrono::milliseconds(1400));
}

// The sidecar's drain must not end before its last request has a response.
TEST_P(WallClockStep, WhileSidecarDrainsLosesNoRequest) {
    WallClockFixture fixture;
    fixture.start();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return fixture.requests_at_servers() == 1; }));
    bool drained = false;
    fixture.sidecar->drain([&] { drained = true; });
    fixture.clock_offset = GetParam();
    for (int i = 0; i < 20; ++i) fixture.io.run_one_for(std::chrono::milliseconds(10));
    EXPECT_FALSE(drained);
    fixture.respond_to_all();
    ASSERT_TRUE(fixture.until([&] { return drained; }));
    EXPECT_NE(client->received.find("answer"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(By, WallClockStep, testing::Values(-kHour, -5 * kSecond, 5 * kSecond, kHour),
                         [](const testing::TestParamInfo<Millis>& info) {
                             const auto seconds = static_cast<long>(std::abs(info.param) / kSecond);
                             return std::to_string(seconds) + (info.param < 0 ? "sBackward" : "sForward");
                         });

// Tests the age of a snapshot from an earlier boot of the machine. The snapshot is at least as old as the
// current uptime. If the wall clock yields a lower age, the clock has been set back and the age is rejected.
TEST(SnapshotAge, IsAtLeastUptimeAfterRebootAtAnyWallClockStep) {
    using state::age_of;
    constexpr std::int64_t kUptime = 40000;
    constexpr std::int64_t kTrueAge = 60000;
    const state::Timestamp taken{1'000'000'000, 5000, {1}};
    for (const std::int64_t step : {-3'600'000, -25000, -20001}) {
        EXPECT_LT(age_of(taken, {taken.wall_ms + kTrueAge + step, kUptime, {2}}), 0) << step;
    }
    EXPECT_EQ(age_of(taken, {taken.wall_ms + kTrueAge, kUptime, {2}}), kTrueAge);
    EXPECT_EQ(age_of(taken, {taken.wall_ms + kTrueAge - 5000, kUptime, {2}}), kTrueAge - 5000)
        << "the age may be wrong by at most the step";
    EXPECT_EQ(age_of(taken, {taken.wall_ms + kTrueAge + 5000, kUptime, {2}}), kTrueAge + 5000)
        << "a snapshot that appears older than it is has less influence";
    // Within one boot, steps of the wall clock do not affect the age.
    for (const std::int64_t step : {-3'600'000, -5000, 5000, 3'600'000}) {
        EXPECT_EQ(age_of(taken, {taken.wall_ms + step, 9000, {1}}), 4000) << step;
    }
}

}  // namespace
}  // namespace elmbay::test
