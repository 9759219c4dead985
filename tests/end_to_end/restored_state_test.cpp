// Tests that a restarted sidecar restores the learned state of the process before it.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr std::size_t kServers = 5;

// Responds to all requests that have arrived at the servers: with errors at `failing`, and with success at
// the others. Returns the number of error responses.
int respond_with_one_failing(SidecarFixture& fixture, const FakeServer& failing) {
    int failed = 0;
    for (FakeServer& server : fixture.servers) {
        for (const auto& peer : server.connections) {
            while (!peer->closed && peer->answered_request_count < peer->request_count()) {
                ++peer->answered_request_count;
                if (&server == &failing) {
                    ++failed;
                    peer->respond("500 Broken");
                } else {
                    peer->respond("200 OK", "answer");
                }
            }
        }
    }
    return failed;
}

// Sends up to `requests` requests one after another, until `is_done` returns true. Returns the number of
// attempts that reached `failing`, or -1 if a request was not served.
int attempts_at_failing_server(
    SidecarFixture& fixture, int requests, const FakeServer& failing,
    const std::function<bool()>& is_done = [] { return false; }) {
    int failed = 0;
    for (int i = 0; i < requests && !is_done(); ++i) {
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("safe"));
        const bool served = fixture.until([&] {
            failed += respond_with_one_failing(fixture, failing);
            return client->received.find("answer") != std::string::npos;
        });
        if (!served) return -1;
    }
    return failed;
}

bool is_ejected(const SidecarFixture& fixture, const std::string& uid) {
    const state::Snapshot snapshot = fixture.sidecar->snapshot();
    for (std::size_t i = 0; i < snapshot.server_uids.size(); ++i) {
        if (snapshot.server_uids[i] == uid && snapshot.learned_state.servers[i].ejection_remaining_ms)
            return true;
    }
    return false;
}

// A sidecar that starts with four of the servers and then receives a list of all five in reverse order. The
// ids that it assigns to the servers differ from the ids before the restart.
struct RestartedSidecar : SidecarFixture {
    explicit RestartedSidecar(std::optional<Sidecar::RestoredState> restored) : SidecarFixture(kServers) {
        Json all = targets();
        Json configured_targets = all;
        configured_targets.erase(kServers - 1);
        config["known"]["targets"] = configured_targets;
        start(std::move(restored));
        begin_watch();
        std::reverse(all.begin(), all.end());
        send_chunk(watch_line(all, true));
        EXPECT_TRUE(until([&] { return sidecar->snapshot().server_uids.size() == kServers; }));
    }
};

// Restored state is assigned to servers by their uids, not by the ids that a sidecar assigns.
TEST(RestoredState, KeepsServerEjectedAfterRestart) {
    const std::string failing_uid = "s-4";
    SidecarFixture before_restart(kServers);
    before_restart.start();
    const int attempts_before =
        attempts_at_failing_server(before_restart, 400, before_restart.servers.back(),
                                   [&] { return is_ejected(before_restart, failing_uid); });
    ASSERT_GT(attempts_before, 0);
    ASSERT_TRUE(is_ejected(before_restart, failing_uid));
    const state::Snapshot snapshot = before_restart.sidecar->snapshot();
    EXPECT_EQ(snapshot.instance, "n");
    EXPECT_EQ(snapshot.server_uids.size(), kServers);

    RestartedSidecar restored(Sidecar::RestoredState{snapshot, 100});
    EXPECT_TRUE(is_ejected(restored, failing_uid));
    EXPECT_EQ(attempts_at_failing_server(restored, 60, restored.servers.back()), 0);
    RestartedSidecar without_state({});
    EXPECT_GT(attempts_at_failing_server(without_state, 60, without_state.servers.back()), 0);
}

}  // namespace
}  // namespace elmbay::test
