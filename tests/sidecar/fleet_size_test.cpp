// Tests a sidecar on loopback whose endpoint list has thousands of servers. Only a few of them run; the
// others are listed as draining, at addresses where nothing listens.
#include <algorithm>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr std::size_t kFleetSize = 3200;  // the operators' largest fleet

// Returns draining servers. The sidecar sends requests only to other servers.
Json draining_targets(std::size_t count, std::size_t from = 0) {
    Json targets = Json::array();
    for (std::size_t i = from; i < from + count; ++i) {
        const std::string host = "127.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        targets.push_back(SidecarFixture::target(100000 + i, host + ":9", "leaving"));
    }
    return targets;
}

void expect_served_by(SidecarFixture& fixture, FakeServer& server) {
    const std::size_t before = server.request_count();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() > before || !client->received.empty(); }));
    ASSERT_GT(server.request_count(), before) << status_of(*client);
    server.last_connection().respond("200 OK", "body");
    ASSERT_TRUE(fixture.until([&] { return !client->received.empty(); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
}

std::size_t count_occurrences(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t position = 0; (position = text.find(part, position)) != std::string::npos;
         position += part.size())
        ++count;
    return count;
}

TEST(FleetSize, ServesFromOnlyActiveServerOf3200) {
    SidecarFixture fixture(2);
    Json targets = draining_targets(kFleetSize - 1);
    targets.push_back(SidecarFixture::target(1, fixture.servers.back().address()));
    fixture.start();
    fixture.begin_watch();
    fixture.send_chunk(fixture.watch_line(targets, true));
    // The complete list does not contain the first server, which is therefore not listed any more afterwards.
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->status()["servers"].size() == kFleetSize; }));
    expect_served_by(fixture, fixture.servers.back());
    EXPECT_EQ(fixture.servers.front().request_count(), 0U);
}

TEST(FleetSize, ServesFromConfiguredListOf3200AtStart) {
    SidecarFixture fixture(1);
    Json targets = draining_targets(kFleetSize - 1);
    targets.push_back(SidecarFixture::target(0, fixture.servers.back().address()));
    fixture.config["known"]["targets"] = targets;
    fixture.start();
    expect_served_by(fixture, fixture.servers.back());
}

TEST(FleetSize, ReadsIndentedListOf3200InPieces) {
    SidecarFixture fixture(1);
    fixture.config.erase("known");  // makes the sidecar request the whole list
    fixture.start();
    Json targets = draining_targets(kFleetSize - 1);
    targets.push_back(SidecarFixture::target(0, fixture.servers.back().address()));
    for (Json& target : targets) {
        target["capacity_hint"] = 1.0;
        target["uid"] = "s-0f9c2b7a-d4e8-4c1f-" + target["uid"].get<std::string>();
    }
    const std::string text = Json{{"rev", 2}, {"all", true}, {"targets", targets}}.dump(8);
    ASSERT_GT(text.size(), 1024U * 1024U);
    ASSERT_LT(text.size(), 1024U * 4096U);
    // The text is larger than the socket buffers, so it is written as fast as the sidecar reads it.
    fixture.discovery.last_connection().send(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n");
    bool written = false;
    asio::async_write(fixture.discovery.last_connection().socket, asio::buffer(text),
                      [&](boost::system::error_code, std::size_t) { written = true; });
    ASSERT_TRUE(fixture.until([&] { return written; }));
    ASSERT_TRUE(fixture.until([&] { return fixture.discovery.request_count() == 2; }))
        << "the watch starts after the list";
    ASSERT_NE(fixture.discovery.last_connection().received.find("stream=1"), std::string::npos)
        << "the list was not accepted";
    expect_served_by(fixture, fixture.servers.back());
}

TEST(FleetSize, ServesFromNewServersAfterCompleteListReplacesAll) {
    SidecarFixture fixture(2);
    Json targets = draining_targets(kFleetSize - 1);
    targets.push_back(SidecarFixture::target(0, fixture.servers.front().address()));
    fixture.config["known"]["targets"] = targets;
    fixture.start();
    expect_served_by(fixture, fixture.servers.front());
    Json new_targets = draining_targets(kFleetSize - 1, kFleetSize);
    new_targets.push_back(SidecarFixture::target(1, fixture.servers.back().address()));
    fixture.begin_watch();
    fixture.send_chunk(fixture.watch_line(new_targets, true));
    // When the status contains this server, the previous list has been applied as well.
    fixture.send_chunk(
        fixture.watch_line(Json::array({SidecarFixture::target(2, "127.2.0.1:9", "leaving")}), false));
    ASSERT_TRUE(fixture.until([&] {
        const Json servers = fixture.sidecar->status()["servers"];
        return std::any_of(servers.begin(), servers.end(),
                           [](const Json& server) { return server["uid"] == "s-2"; });
    }));
    expect_served_by(fixture, fixture.servers.back());
}

TEST(FleetSize, LogsSkippedServersOnceForRepeatedOversizedLists) {
    SidecarFixture fixture(2);
    fixture.start();
    Json targets = Json::array({SidecarFixture::target(1, fixture.servers.back().address())});
    for (const Json& target : draining_targets(EndpointRegistry::kMaxListed + 9)) targets.push_back(target);
    testing::internal::CaptureStderr();
    fixture.begin_watch();
    fixture.send_chunk(fixture.watch_line(targets, true));
    fixture.send_chunk(fixture.watch_line(targets, true));
    fixture.send_chunk(
        fixture.watch_line(Json::array({SidecarFixture::target(1, fixture.servers.back().address())}), true));
    const bool applied = fixture.until([&] { return fixture.sidecar->status()["servers"].size() == 1; });
    const std::string log = testing::internal::GetCapturedStderr();
    ASSERT_TRUE(applied);
    EXPECT_EQ(count_occurrences(
                  log, "elmbay: component=discovery event=servers_skipped skipped=10 max_listed=4096"),
              1U)
        << log;
    EXPECT_EQ(count_occurrences(log, "event=servers_skipped"), 1U) << log;
    expect_served_by(fixture, fixture.servers.back());
}

}  // namespace
}  // namespace elmbay::test
