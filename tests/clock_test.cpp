// The machine's wall clock, and servers' wall clocks, are stepped by seconds and by an hour: before the
// sidecar starts, while servers warm up and while it drains. What is decided is the same, or safer. Shares
// are counted in requests, so that the verdict does not hang on the machine's speed.
#include <map>
#include <utility>

#include "net_rig.hpp"
#include "state/timestamp.hpp"

namespace elmbay::test {
namespace {

constexpr Millis kSecond = 1000, kHour = 3600 * kSecond;
constexpr std::size_t kTogether = 8;
constexpr std::size_t kServers = 4, kYoung = kServers - 1;  // the last one is the one that starts

Millis true_wall_time() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// A sidecar with four servers, one of them cold, under a wall clock of the test's.
struct ClockRig : NetRig {
    Millis wall_off = 0;
    bool watching = false;

    // A warm-up so long that nothing warms up within a test, or so short that it does.
    explicit ClockRig(Millis slow_start_duration = 600 * kSecond) : NetRig(kServers) {
        config["settings"]["rules"] = {
            {"cold-from", 0.05}, {"warm-within-ms", slow_start_duration}, {"fall-multiple", 2.5}};
    }
    void start_under_clock() {
        const Clock clock([this] { return true_wall_time() + wall_off; });
        sidecar = std::make_unique<Sidecar>(io, parse_config(config.dump()), std::nullopt,
                                            websocket::Settings{}, clock);
        ASSERT_TRUE(until([&] { return discovery.requests() > 0; }));
        watch_begins();
    }
    // The server that starts, as the list has it. off: of its own wall clock.
    Json young(Millis started_ago, Millis off = 0, const std::string& state = "active") {
        Json entry = target(kYoung, servers.back().address(), state);
        entry["boot_ms"] = std::floor(true_wall_time() - started_ago + off);
        return entry;
    }
    void list_without_young() { config["known"]["targets"].erase(kYoung); }
    void tell(const Json& entry) {
        chunk(line(Json::array({entry}), false));
        settle();
    }
    // Answers what has come to the servers.
    void serve() {
        for (FakeServer& server : servers)
            for (const auto& peer : server.peers)
                while (peer->answered < peer->requests()) ++peer->answered, peer->respond("200 OK", "answer");
    }
    std::size_t arrived() const {
        std::size_t count = 0;
        for (const FakeServer& server : servers) count += server.requests();
        return count;
    }
    // So many requests that are out together, so that a server that may have its share gets it: one after
    // another they would go to whichever answers fastest.
    void ask_together() {
        while (clients.size() < kTogether) clients.push_back(client());
        const std::size_t before = arrived();
        for (const auto& client : clients) {
            client->got.clear();
            client->send(request("safe"));
        }
        ASSERT_TRUE(until([&] { return arrived() == before + kTogether; }));
        serve();
        for (const auto& client : clients)
            ASSERT_TRUE(until([&] { return client->got.find("answer") != std::string::npos; }));
    }
    // The share that the young one gets of so many times that.
    double share_of_young(std::size_t times = 30) {
        const std::size_t before = servers.back().requests();
        for (std::size_t i = 0; i < times && !testing::Test::HasFatalFailure(); ++i) ask_together();
        return static_cast<double>(servers.back().requests() - before) /
               static_cast<double>(times * kTogether);
    }

    std::vector<std::shared_ptr<Peer>> clients;
};

// An even share is 0.25. A cold one may have 0.05 of a warm one's, times what it stands before it falls: that
// is 0.03 of all.
constexpr double kColdShare = 0.06;

class SteppedClock : public testing::TestWithParam<Millis> {};

TEST_P(SteppedClock, OfTheSidecarBeforeItsStartWarmsNoServer) {
    ClockRig rig;
    rig.wall_off = GetParam();
    rig.config["known"]["targets"][kYoung] = rig.young(kSecond);
    rig.start_under_clock();
    EXPECT_LT(rig.share_of_young(), kColdShare);
}

// The clock was wrong as the sidecar started, and is put right before a server starts.
TEST_P(SteppedClock, OfTheSidecarWhileItRunsWarmsNoServer) {
    ClockRig rig;
    rig.wall_off = GetParam();
    rig.list_without_young();
    rig.start_under_clock();
    rig.chunk("\n");
    rig.wall_off = 0;
    rig.tell(rig.young(200));
    EXPECT_LT(rig.share_of_young(15), kColdShare);
    rig.wall_off = GetParam();  // and again, while the server warms up and the list is told anew
    rig.tell(rig.young(200 + kSecond));
    EXPECT_LT(rig.share_of_young(15), kColdShare);
}

// The server's own clock is stepped between its two lives, so that the later start may look like the earlier.
TEST_P(SteppedClock, OfAServerBeforeItStartsAgainDoesNotWarmIt) {
    ClockRig rig;
    rig.config["known"]["targets"][kYoung] = rig.young(kHour / 2 * 3);
    rig.start_under_clock();
    rig.chunk("\n");
    rig.share_of_young(2);
    rig.tell(rig.young(0, GetParam()));
    EXPECT_LT(rig.share_of_young(), kColdShare);
}

// Whatever the clocks say, a server is warm once the warm-up has passed since it was heard of.
TEST_P(SteppedClock, OfTheSidecarOrTheServerKeepsNoServerCold) {
    for (const bool of_server : {false, true}) {
        ClockRig rig(1500);
        rig.wall_off = of_server ? 0 : GetParam();
        rig.config["known"]["targets"][kYoung] = rig.young(kSecond, of_server ? GetParam() : 0);
        rig.start_under_clock();
        const auto warm_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
        while (std::chrono::steady_clock::now() < warm_at) rig.ask_together();
        EXPECT_GT(rig.share_of_young(20), 0.15) << "of the server: " << of_server;
    }
}

// A process that went on under its name leaves the list and is named again: it has not become cold.
TEST_P(SteppedClock, WhileAServerIsOffTheListMakesItNoOtherProcess) {
    ClockRig rig;
    const Json known = rig.young(kHour);
    rig.config["known"]["targets"][kYoung] = known;
    Json younger = NetRig::target(0, rig.servers.front().address());
    younger["boot_ms"] =
        known["boot_ms"].get<double>() + kHour / 2;  // so that the other's age is not doubted
    rig.config["known"]["targets"][0] = younger;
    rig.start_under_clock();
    rig.chunk("\n");
    Json left = known;
    left["state"] = "left";
    rig.tell(left);
    rig.wall_off = GetParam();
    rig.tell(known);
    EXPECT_GT(rig.share_of_young(20), 0.15);
}

// One address, two processes: the one told last has it, whatever its clock says of its start.
TEST_P(SteppedClock, OfAServerDoesNotKeepItFromTheAddressOfAnOlderOne) {
    ClockRig rig;
    rig.config["known"]["targets"] = Json::array({rig.young(60 * kSecond)});
    rig.start_under_clock();
    rig.chunk("\n");
    Json fresh = rig.young(0, GetParam());
    fresh["uid"] = "fresh";
    rig.tell(fresh);
    const Json status = rig.sidecar->status();
    std::map<std::string, std::string> states;
    for (const Json& server : status["servers"]) states[server["uid"]] = server["state"];
    EXPECT_EQ(states["fresh"], "active") << status.dump();
    EXPECT_FALSE(states.contains("s-3") && states["s-3"] == "active") << status.dump();
}

// A drain of a server and the deadline of a request are spans of real time.
TEST_P(SteppedClock, WhileAServerDrainsChangesNeitherWhatItGetsNorADeadline) {
    ClockRig rig;
    rig.start_under_clock();
    const auto waiting = rig.client();
    const auto began = std::chrono::steady_clock::now();
    waiting->send(NetRig::request("unsafe", "1500m"));  // never answered by its server
    ASSERT_TRUE(rig.until([&] { return rig.arrived() == 1; }));
    for (FakeServer& server : rig.servers)  // so that serve() leaves it alone
        for (const auto& peer : server.peers) peer->answered = peer->requests();
    Json leaving = rig.target(0, rig.servers.front().address(), "leaving");
    rig.tell(leaving);
    rig.wall_off = GetParam();
    const std::size_t before = rig.servers.front().requests();
    rig.share_of_young(10);
    EXPECT_EQ(rig.servers.front().requests(), before) << "nothing new to one that drains";
    ASSERT_TRUE(rig.until([&] { return !waiting->got.empty(); }));
    EXPECT_EQ(status_of(*waiting), "HTTP/1.1 504");
    EXPECT_GE(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(1400));
}

// The sidecar's own drain ends when what it took has ended, and not before.
TEST_P(SteppedClock, WhileTheSidecarDrainsLosesNothing) {
    ClockRig rig;
    rig.start_under_clock();
    const auto client = rig.client();
    client->send(NetRig::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return rig.arrived() == 1; }));
    bool drained = false;
    rig.sidecar->drain([&] { drained = true; });
    rig.wall_off = GetParam();
    for (int i = 0; i < 20; ++i) rig.io.run_one_for(std::chrono::milliseconds(10));
    EXPECT_FALSE(drained);
    rig.serve();
    ASSERT_TRUE(rig.until([&] { return drained; }));
    EXPECT_NE(client->got.find("answer"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(By, SteppedClock, testing::Values(-kHour, -5 * kSecond, 5 * kSecond, kHour),
                         [](const testing::TestParamInfo<Millis>& info) {
                             const auto seconds = static_cast<long>(std::abs(info.param) / kSecond);
                             return std::to_string(seconds) + (info.param < 0 ? "sBack" : "sAhead");
                         });

// How old kept state is, after another boot: the machine has been up since, so the state is at least as old.
// A wall clock that tells less has been set back, and what it tells is not believed.
TEST(SteppedClockOfTheMachine, StateOfAnEarlierBootIsNotYoungerThanThisBoot) {
    using state::age_of;
    const state::Timestamp then{1'000'000'000, 5000, {1}};
    const std::int64_t up = 40000, away = 60000;
    for (const std::int64_t step : {-3'600'000, -25000, -20001})
        EXPECT_LT(age_of(then, {then.wall_ms + away + step, up, {2}}), 0) << step;
    EXPECT_EQ(age_of(then, {then.wall_ms + away, up, {2}}), away);
    EXPECT_EQ(age_of(then, {then.wall_ms + away - 5000, up, {2}}), away - 5000)
        << "wrong by the step at most";
    EXPECT_EQ(age_of(then, {then.wall_ms + away + 5000, up, {2}}), away + 5000) << "older: believed less";
    // Within one boot no step of the wall clock counts.
    for (const std::int64_t step : {-3'600'000, -5000, 5000, 3'600'000})
        EXPECT_EQ(age_of(then, {then.wall_ms + step, 9000, {1}}), 4000) << step;
}

}  // namespace
}  // namespace elmbay::test
