// A sidecar on loopback whose endpoint list has thousands of servers. A handful of them run; the others are
// listed as draining, at addresses where nothing listens.
#include <algorithm>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr std::size_t kFleet = 3200;  // the operators' largest

// Draining servers: a request can only be sent to a server that is not among them.
Json draining_targets(std::size_t count, std::size_t from = 0) {
    Json targets = Json::array();
    for (std::size_t i = from; i < from + count; ++i) {
        const std::string host = "127.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        targets.push_back(SidecarFixture::target(100000 + i, host + ":9", "leaving"));
    }
    return targets;
}

void expect_served_by(SidecarFixture& rig, FakeServer& server) {
    const std::size_t before = server.request_count();
    const auto client = rig.connect_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(rig.until([&] { return server.request_count() > before || !client->received.empty(); }));
    ASSERT_GT(server.request_count(), before) << status_of(*client);
    server.last_connection().respond("200 OK", "it");
    ASSERT_TRUE(rig.until([&] { return !client->received.empty(); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
}

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += part.size()) ++count;
    return count;
}

TEST(FleetSize, ServesFromOnlyActiveServerOf3200) {
    SidecarFixture rig(2);
    Json targets = draining_targets(kFleet - 1);
    targets.push_back(SidecarFixture::target(1, rig.servers.back().address()));
    rig.start();
    rig.begin_watch();
    rig.send_chunk(rig.watch_line(targets, true));
    // The snapshot does not name the first server, which is no longer listed once the snapshot is applied.
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->status()["servers"].size() == kFleet; }));
    expect_served_by(rig, rig.servers.back());
    EXPECT_EQ(rig.servers.front().request_count(), 0U);
}

TEST(FleetSize, ServesFromConfiguredListOf3200AtStart) {
    SidecarFixture rig(1);
    Json targets = draining_targets(kFleet - 1);
    targets.push_back(SidecarFixture::target(0, rig.servers.back().address()));
    rig.config["known"]["targets"] = targets;
    rig.start();
    expect_served_by(rig, rig.servers.back());
}

TEST(FleetSize, ReadsIndentedListOf3200InPieces) {
    SidecarFixture rig(1);
    rig.config.erase("known");  // so that the whole list is asked for
    rig.start();
    Json targets = draining_targets(kFleet - 1);
    targets.push_back(SidecarFixture::target(0, rig.servers.back().address()));
    for (Json& target : targets) {
        target["capacity_hint"] = 1.0;
        target["uid"] = "s-0f9c2b7a-d4e8-4c1f-" + target["uid"].get<std::string>();
    }
    const std::string text = Json{{"rev", 2}, {"all", true}, {"targets", targets}}.dump(8);
    ASSERT_GT(text.size(), 1024U * 1024U);
    ASSERT_LT(text.size(), 1024U * 4096U);
    // Written as fast as the sidecar reads: the socket buffers hold only a part of it.
    rig.discovery.last_connection().send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                                         "\r\n\r\n");
    bool written = false;
    asio::async_write(rig.discovery.last_connection().socket, asio::buffer(text),
                      [&](boost::system::error_code, std::size_t) { written = true; });
    ASSERT_TRUE(rig.until([&] { return written; }));
    ASSERT_TRUE(rig.until([&] { return rig.discovery.request_count() == 2; }))
        << "the watch follows the list";
    ASSERT_NE(rig.discovery.last_connection().received.find("stream=1"), std::string::npos)
        << "the list was not accepted";
    expect_served_by(rig, rig.servers.back());
}

TEST(FleetSize, ServesFromNewServersAfterSnapshotReplacesAll) {
    SidecarFixture rig(2);
    Json targets = draining_targets(kFleet - 1);
    targets.push_back(SidecarFixture::target(0, rig.servers.front().address()));
    rig.config["known"]["targets"] = targets;
    rig.start();
    expect_served_by(rig, rig.servers.front());
    Json others = draining_targets(kFleet - 1, kFleet);
    others.push_back(SidecarFixture::target(1, rig.servers.back().address()));
    rig.begin_watch();
    rig.send_chunk(rig.watch_line(others, true));
    // Once the status has this server, the list before it has been applied as well.
    rig.send_chunk(rig.watch_line(Json::array({SidecarFixture::target(2, "127.2.0.1:9", "leaving")}), false));
    ASSERT_TRUE(rig.until([&] {
        const Json servers = rig.sidecar->status()["servers"];
        return std::any_of(servers.begin(), servers.end(), [](const Json& s) { return s["uid"] == "s-2"; });
    }));
    expect_served_by(rig, rig.servers.back());
}

TEST(FleetSize, LogsSkippedServersOnceForRepeatedOversizedLists) {
    SidecarFixture rig(2);
    rig.start();
    Json targets = Json::array({SidecarFixture::target(1, rig.servers.back().address())});
    for (const Json& target : draining_targets(EndpointRegistry::kMaxListed + 9)) targets.push_back(target);
    testing::internal::CaptureStderr();
    rig.begin_watch();
    rig.send_chunk(rig.watch_line(targets, true));
    rig.send_chunk(rig.watch_line(targets, true));
    rig.send_chunk(
        rig.watch_line(Json::array({SidecarFixture::target(1, rig.servers.back().address())}), true));
    const bool applied = rig.until([&] { return rig.sidecar->status()["servers"].size() == 1; });
    const std::string log = testing::internal::GetCapturedStderr();
    ASSERT_TRUE(applied);
    EXPECT_EQ(count_of(log, "elmbay: component=discovery event=servers_skipped skipped=10 max_listed=4096"),
              1U)
        << log;
    EXPECT_EQ(count_of(log, "event=servers_skipped"), 1U) << log;
    expect_served_by(rig, rig.servers.back());
}

}  // namespace
}  // namespace elmbay::test
