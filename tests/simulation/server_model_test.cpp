// Tests that the server model agrees with queueing theory, and that its faults combine as expected.
#include "simulation/models/server_model.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {
namespace {

FleetSpec spec_without_overheads() {
    FleetSpec spec;
    spec.cores = 4;
    spec.worker_slots = 4;
    spec.queue_capacity = 1000000;
    spec.contention_penalty = 0;
    spec.handshake_work = 0;
    spec.connection_overhead = 0;
    spec.slow_start_duration = 10000;
    spec.slow_start_min_share = 0.2;
    return spec;
}

// Advances the model to a time, through all its events.
void advance_to(ServerModel& server, Millis until, ServerModel::Departures& departures) {
    while (server.next_event_at() <= until) server.advance(server.next_event_at(), departures);
    server.advance(until, departures);
}

// Returns the probability that a request has to wait in an M/M/c queue (Erlang C). `offered_load` is the
// arrival rate times the mean service time.
double erlang_c(int servers, double offered_load) {
    double term = 1, sum = 1;
    for (int i = 1; i < servers; ++i) term *= offered_load / i, sum += term;
    const double last = term * offered_load / servers * servers / (servers - offered_load);
    return last / (sum + last);
}

// Simulates an M/M/c queue and returns the mean waiting time. There are as many slots as cores, so each
// request has a core of its own. The theoretical mean is C(c, a) * E[S] / (c - a).
double mean_wait(int cores, double load, std::uint64_t seed) {
    FleetSpec spec = spec_without_overheads();
    spec.cores = spec.worker_slots = static_cast<std::uint64_t>(cores);
    ServerModel server(spec, 1, true);
    Random random = random_stream(seed, StreamPurpose::arrivals);
    const double mean_work = 10, mean_gap = mean_work / (load * cores);
    const int request_count = 200000;
    std::vector<Millis> arrived_at(request_count + 1), work(request_count + 1);
    ServerModel::Departures departures;
    double total_wait = 0;
    std::size_t counted = 0;
    Millis now = 0;
    const auto count_waits = [&](Millis at) {
        for (; counted < departures.size(); ++counted)
            total_wait += at - arrived_at[departures[counted].id] - work[departures[counted].id];
    };
    for (int i = 1; i <= request_count; ++i) {
        now += exponential(random, mean_gap);
        while (server.next_event_at() <= now) {
            const Millis at = server.next_event_at();
            server.advance(at, departures);
            count_waits(at);
        }
        arrived_at[i] = now;
        work[i] = exponential(random, mean_work);
        server.add_request(now, i, work[i], false, departures);
    }
    while (server.next_event_at() < 1e300) {
        const Millis at = server.next_event_at();
        server.advance(at, departures);
        count_waits(at);
    }
    EXPECT_EQ(departures.size(), static_cast<std::size_t>(request_count));
    return total_wait / request_count;
}

TEST(ServerModel, MeanWaitMatchesErlangC) {
    for (const auto& [cores, load] : {std::pair{1, 0.5}, {4, 0.7}, {4, 0.9}, {8, 0.8}}) {
        const double offered_load = load * cores;
        const double theory = erlang_c(cores, offered_load) * 10 / (cores - offered_load);
        EXPECT_NEAR(mean_wait(cores, load, 7), theory, 0.08 * theory) << cores << " cores at " << load;
    }
}

TEST(ServerModel, RequestsInSlotsShareTheCores) {
    FleetSpec spec = spec_without_overheads();
    spec.worker_slots = 16;
    ServerModel server(spec, 1, true);
    ServerModel::Departures departures;
    for (ServerRequestId id = 1; id <= 8; ++id) server.add_request(0, id, 100, false, departures);
    advance_to(server, 199.9, departures);
    EXPECT_TRUE(departures.empty());  // 8 requests on 4 cores progress at half a core each
    advance_to(server, 200.1, departures);
    EXPECT_EQ(departures.size(), 8U);
}

TEST(ServerModel, ColdCapacityRisesLinearly) {
    ServerModel server(spec_without_overheads(), 1, false);
    ServerModel::Departures departures;
    server.start(1000, departures);
    EXPECT_DOUBLE_EQ(server.capacity(1000), 4 * 0.2);
    EXPECT_DOUBLE_EQ(server.capacity(6000), 4 * 0.6);
    EXPECT_DOUBLE_EQ(server.capacity(11000), 4);
    // A busy server completes the integral of its capacity: 4 cores * 5 s * 0.4 over the first half of the
    // warm-up.
    for (ServerRequestId id = 1; id <= 2000; ++id) server.add_request(1000, id, 50, false, departures);
    advance_to(server, 6000, departures);
    EXPECT_NEAR(server.work_done(), 4 * 5000 * 0.4, 8);  // within 0.1%
    advance_to(server, 11000, departures);
    EXPECT_NEAR(server.work_done(), 4 * 10000 * 0.6, 24);
}

TEST(ServerModel, WarmsUpByWorkSoonerThanByTime) {
    FleetSpec spec = spec_without_overheads();
    spec.warmup_mode = "work";
    spec.warmup_work = 2000;
    ServerModel server(spec, 1, false);
    ServerModel::Departures departures;
    server.start(0, departures);
    for (ServerRequestId id = 1; id <= 1000; ++id) server.add_request(0, id, 50, false, departures);
    advance_to(server, 2500, departures);
    EXPECT_FALSE(server.is_cold(2500));  // by time alone it would have 40% of its capacity
}

TEST(ServerModel, CompletesBacklogAtFullSpeedAfterFreeze) {
    FleetSpec spec = spec_without_overheads();
    spec.worker_slots = 1000;
    ServerModel server(spec, 1, true);
    ServerModel::Departures departures;
    server.freeze(0, 1000, departures);
    for (ServerRequestId id = 1; id <= 40; ++id)
        server.add_request(static_cast<Millis>(id) * 10, id, 50, false, departures);
    advance_to(server, 1000, departures);
    EXPECT_TRUE(departures.empty());
    // The backlog of 40 requests of 50 ms takes 4 cores another 500 ms.
    advance_to(server, 1499, departures);
    EXPECT_TRUE(departures.empty());
    advance_to(server, 1501, departures);
    EXPECT_EQ(departures.size(), 40U);
}

TEST(ServerModel, RejectsRequestsOnlyWhenFreezeEnds) {
    FleetSpec spec = spec_without_overheads();
    spec.queue_capacity = 0;
    ServerModel server(spec, 1, true);
    ServerModel::Departures departures;
    server.freeze(0, 500, departures);
    for (ServerRequestId id = 1; id <= 6; ++id) server.add_request(1, id, 10, id == 6, departures);
    EXPECT_TRUE(departures.empty());
    advance_to(server, 500, departures);
    ASSERT_GE(departures.size(), 2U);
    EXPECT_EQ(departures[0].kind, DepartureKind::rejected);
    EXPECT_EQ(departures[1].kind, DepartureKind::failed);
}

TEST(ServerModel, RestartsColdAndUnfrozenAfterStopDuringFreeze) {
    ServerModel server(spec_without_overheads(), 1, true);
    ServerModel::Departures departures;
    server.add_request(0, 1, 100, false, departures);
    server.freeze(10, 5000, departures);
    server.stop(100, departures);
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_EQ(departures[0].kind, DepartureKind::reset);
    EXPECT_FALSE(server.connect(150, departures));
    server.start(200, departures);
    EXPECT_FALSE(server.is_frozen(200));
    EXPECT_DOUBLE_EQ(server.capacity(200), 0.8);
    departures.clear();
    server.add_request(200, 2, 10, false, departures);
    advance_to(server, 400, departures);
    EXPECT_EQ(departures.size(), 1U);
    EXPECT_EQ(server.executing_count(), 0U);
}

TEST(ServerModel, ContinuesExecutingAbandonedRequestsAndDropsQueuedOnes) {
    FleetSpec spec = spec_without_overheads();
    spec.cores = spec.worker_slots = 1;
    for (const bool drops_abandoned : {true, false}) {
        spec.drops_abandoned_requests = drops_abandoned;
        ServerModel server(spec, 1, true);
        ServerModel::Departures departures;
        for (ServerRequestId id = 1; id <= 3; ++id) server.add_request(0, id, 100, false, departures);
        server.abandon(10, 1, departures);  // executing: continues
        server.abandon(10, 2, departures);  // queued
        EXPECT_TRUE(server.holds_request(1));
        EXPECT_EQ(server.holds_request(2), !drops_abandoned);
        EXPECT_EQ(server.queued_count(), drops_abandoned ? 1U : 2U);
        advance_to(server, 150, departures);
        EXPECT_TRUE(departures.empty());
        advance_to(server, drops_abandoned ? 200.1 : 300.1, departures);
        ASSERT_EQ(departures.size(), 1U);
        EXPECT_EQ(departures[0].id, 3U);
        EXPECT_NEAR(server.work_done(), drops_abandoned ? 200 : 300, 0.1);
    }
}

TEST(ServerModel, UnresponsiveServerAcceptsRequestsAndCompletesNone) {
    ServerModel server(spec_without_overheads(), 1, true);
    ServerModel::Departures departures;
    server.set_unresponsive(0, true, departures);
    EXPECT_TRUE(server.connect(0, departures));
    for (ServerRequestId id = 1; id <= 10; ++id) server.add_request(0, id, 10, id == 5, departures);
    advance_to(server, 10000, departures);
    EXPECT_TRUE(departures.empty());
    server.stop(10001, departures);
    EXPECT_EQ(departures.size(), 10U);
}

TEST(ServerModel, RejectsRequestsBeyondQueueAndConnectionsBeyondTable) {
    FleetSpec spec = spec_without_overheads();
    spec.queue_capacity = 2;
    spec.max_connections = 3;
    ServerModel server(spec, 1, true);
    ServerModel::Departures departures;
    for (ServerRequestId id = 1; id <= 7; ++id) server.add_request(0, id, 10, false, departures);
    ASSERT_EQ(departures.size(), 1U);
    EXPECT_EQ(departures[0].id, 7U);
    EXPECT_EQ(departures[0].kind, DepartureKind::rejected);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(server.connect(0, departures));
    EXPECT_FALSE(server.connect(0, departures));
    server.disconnect(0, departures);
    EXPECT_TRUE(server.connect(0, departures));
}

TEST(ServerModel, GivesNoDeparturesWhenCutOff) {
    ServerModel server(spec_without_overheads(), 1, true);
    ServerModel::Departures departures;
    server.add_request(0, 1, 10, false, departures);
    server.cut_off(5, departures);
    server.add_request(6, 2, 10, false, departures);
    advance_to(server, 1000, departures);
    EXPECT_TRUE(departures.empty());
    EXPECT_FALSE(server.is_reachable());
    server.start(2000, departures);
    EXPECT_TRUE(server.is_reachable());
    EXPECT_EQ(server.executing_count(), 0U);
}

TEST(ServerModel, SlowsDownWithNeighbourAndFullConnectionTable) {
    FleetSpec spec = spec_without_overheads();
    spec.connection_overhead = 0.5;
    spec.max_connections = 10;
    ServerModel server(spec, 1, true);
    ServerModel::Departures departures;
    for (int i = 0; i < 10; ++i) server.connect(0, departures);
    server.set_neighbour_share(0, 0.5, departures);
    server.add_request(0, 1, 100, false, departures);
    advance_to(server, 399, departures);
    EXPECT_TRUE(departures.empty());
    advance_to(server, 401, departures);
    EXPECT_EQ(departures.size(), 1U);
}

}  // namespace
}  // namespace elmbay::simulation
