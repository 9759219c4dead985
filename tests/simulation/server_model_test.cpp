// The server model against what queueing theory says of it, and its faults laid over each other.
#include "simulation/models/server_model.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {
namespace {

FleetSpec bare() {
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

// Steps the model by its own next() up to a time.
void run_to(ServerModel& server, Millis until, ServerModel::Out& out) {
    while (server.next() <= until) server.advance(server.next(), out);
    server.advance(until, out);
}

double erlang_c(int servers, double offered) {
    double term = 1, sum = 1;
    for (int k = 1; k < servers; ++k) term *= offered / k, sum += term;
    const double last = term * offered / servers * servers / (servers - offered);
    return last / (sum + last);
}

// M/M/c: slots are the cores, so each request has a core of its own; the mean time waited is
// C(c, a) * E[S] / (c - a).
double mean_wait(int cores, double load, std::uint64_t seed) {
    FleetSpec spec = bare();
    spec.cores = spec.worker_slots = static_cast<std::uint64_t>(cores);
    ServerModel server(spec, 1, true);
    Random random = random_stream(seed, StreamPurpose::arrivals);
    const double metrics = 10, gap = metrics / (load * cores);
    const int requests = 200000;
    std::vector<Millis> arrived(requests + 1), work(requests + 1);
    ServerModel::Out out;
    double waited = 0;
    std::size_t read = 0;
    Millis now = 0;
    const auto book = [&](Millis at) {
        for (; read < out.size(); ++read) waited += at - arrived[out[read].ticket] - work[out[read].ticket];
    };
    for (int i = 1; i <= requests; ++i) {
        now += exponential(random, gap);
        while (server.next() <= now) {
            const Millis at = server.next();
            server.advance(at, out);
            book(at);
        }
        arrived[i] = now;
        work[i] = exponential(random, metrics);
        server.arrive(now, i, work[i], false, out);
    }
    while (server.next() < 1e300) {
        const Millis at = server.next();
        server.advance(at, out);
        book(at);
    }
    EXPECT_EQ(out.size(), static_cast<std::size_t>(requests));
    return waited / requests;
}

TEST(ServerModel, WaitsAsLongAsErlangSays) {
    for (const auto& [cores, load] : {std::pair{1, 0.5}, {4, 0.7}, {4, 0.9}, {8, 0.8}}) {
        const double offered = load * cores;
        const double theory = erlang_c(cores, offered) * 10 / (cores - offered);
        EXPECT_NEAR(mean_wait(cores, load, 7), theory, 0.08 * theory) << cores << " cores at " << load;
    }
}

TEST(ServerModel, RequestsInSlotsShareTheCores) {
    FleetSpec spec = bare();
    spec.worker_slots = 16;
    ServerModel server(spec, 1, true);
    ServerModel::Out out;
    for (Ticket t = 1; t <= 8; ++t) server.arrive(0, t, 100, false, out);
    run_to(server, 199.9, out);
    EXPECT_TRUE(out.empty());  // 8 on 4 cores: half a core each
    run_to(server, 200.1, out);
    EXPECT_EQ(out.size(), 8U);
}

TEST(ServerModel, ColdCapacityRisesEvenly) {
    ServerModel server(bare(), 1, false);
    ServerModel::Out out;
    server.start(1000, out);
    EXPECT_DOUBLE_EQ(server.capacity(1000), 4 * 0.2);
    EXPECT_DOUBLE_EQ(server.capacity(6000), 4 * 0.6);
    EXPECT_DOUBLE_EQ(server.capacity(11000), 4);
    // Kept busy it does the integral of its capacity: over the first half of the warm-up 4 cores * 5 s * 0.4.
    for (Ticket t = 1; t <= 2000; ++t) server.arrive(1000, t, 50, false, out);
    run_to(server, 6000, out);
    EXPECT_NEAR(server.work_done(), 4 * 5000 * 0.4, 8);  // 0.1%
    run_to(server, 11000, out);
    EXPECT_NEAR(server.work_done(), 4 * 10000 * 0.6, 24);
}

TEST(ServerModel, WorkWarmsAServerSoonerThanTime) {
    FleetSpec spec = bare();
    spec.warmup_mode = "work";
    spec.warmup_work = 2000;
    ServerModel server(spec, 1, false);
    ServerModel::Out out;
    server.start(0, out);
    for (Ticket t = 1; t <= 1000; ++t) server.arrive(0, t, 50, false, out);
    run_to(server, 2500, out);
    EXPECT_FALSE(server.is_cold(2500));  // by time alone it would have 40%
}

TEST(ServerModel, AFreezeLeavesABacklogThatDrainsAtFullSpeed) {
    FleetSpec spec = bare();
    spec.worker_slots = 1000;
    ServerModel server(spec, 1, true);
    ServerModel::Out out;
    server.freeze(0, 1000, out);
    for (Ticket t = 1; t <= 40; ++t) server.arrive(static_cast<Millis>(t) * 10, t, 50, false, out);
    run_to(server, 1000, out);
    EXPECT_TRUE(out.empty());
    // 40 * 50 ms of work on 4 cores takes 500 ms more.
    run_to(server, 1499, out);
    EXPECT_TRUE(out.empty());
    run_to(server, 1501, out);
    EXPECT_EQ(out.size(), 40U);
}

TEST(ServerModel, AFrozenProcessTurnsNobodyAwayBeforeItThaws) {
    FleetSpec spec = bare();
    spec.queue_capacity = 0;
    ServerModel server(spec, 1, true);
    ServerModel::Out out;
    server.freeze(0, 500, out);
    for (Ticket t = 1; t <= 6; ++t) server.arrive(1, t, 10, t == 6, out);
    EXPECT_TRUE(out.empty());
    run_to(server, 500, out);
    ASSERT_GE(out.size(), 2U);
    EXPECT_EQ(out[0].fate, Fate::turned_away);
    EXPECT_EQ(out[1].fate, Fate::failed);
}

TEST(ServerModel, KilledInAFreezeItComesBackColdAndThawed) {
    ServerModel server(bare(), 1, true);
    ServerModel::Out out;
    server.arrive(0, 1, 100, false, out);
    server.freeze(10, 5000, out);
    server.stop(100, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].fate, Fate::reset);
    EXPECT_FALSE(server.connect(150, out));
    server.start(200, out);
    EXPECT_FALSE(server.is_frozen(200));
    EXPECT_DOUBLE_EQ(server.capacity(200), 0.8);
    out.clear();
    server.arrive(200, 2, 10, false, out);
    run_to(server, 400, out);
    EXPECT_EQ(out.size(), 1U);
    EXPECT_EQ(server.executing_count(), 0U);
}

TEST(ServerModel, WorkThatRunsGoesOnAfterACancelAndWhatWaitsIsDropped) {
    FleetSpec spec = bare();
    spec.cores = spec.worker_slots = 1;
    for (const bool drops : {true, false}) {
        spec.drops_abandoned_requests = drops;
        ServerModel server(spec, 1, true);
        ServerModel::Out out;
        for (Ticket t = 1; t <= 3; ++t) server.arrive(0, t, 100, false, out);
        server.abandon(10, 1, out);  // in work: goes on
        server.abandon(10, 2, out);  // waiting
        EXPECT_TRUE(server.holds(1));
        EXPECT_EQ(server.holds(2), !drops);
        EXPECT_EQ(server.queued_count(), drops ? 1U : 2U);
        run_to(server, 150, out);
        EXPECT_TRUE(out.empty());
        run_to(server, drops ? 200.1 : 300.1, out);
        ASSERT_EQ(out.size(), 1U);
        EXPECT_EQ(out[0].ticket, 3U);
        EXPECT_NEAR(server.work_done(), drops ? 200 : 300, 0.1);
    }
}

TEST(ServerModel, AHollowServerTakesEverythingAndAnswersNothing) {
    ServerModel server(bare(), 1, true);
    ServerModel::Out out;
    server.set_hollow(0, true, out);
    EXPECT_TRUE(server.connect(0, out));
    for (Ticket t = 1; t <= 10; ++t) server.arrive(0, t, 10, t == 5, out);
    run_to(server, 10000, out);
    EXPECT_TRUE(out.empty());
    server.stop(10001, out);
    EXPECT_EQ(out.size(), 10U);
}

TEST(ServerModel, TurnsAwayBeyondTheWaitingRoomAndCountsConnections) {
    FleetSpec spec = bare();
    spec.queue_capacity = 2;
    spec.max_connections = 3;
    ServerModel server(spec, 1, true);
    ServerModel::Out out;
    for (Ticket t = 1; t <= 7; ++t) server.arrive(0, t, 10, false, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].ticket, 7U);
    EXPECT_EQ(out[0].fate, Fate::turned_away);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(server.connect(0, out));
    EXPECT_FALSE(server.connect(0, out));
    server.disconnect(0, out);
    EXPECT_TRUE(server.connect(0, out));
}

TEST(ServerModel, AMachineThatVanishesSaysNothing) {
    ServerModel server(bare(), 1, true);
    ServerModel::Out out;
    server.arrive(0, 1, 10, false, out);
    server.vanish(5, out);
    server.arrive(6, 2, 10, false, out);
    run_to(server, 1000, out);
    EXPECT_TRUE(out.empty());
    EXPECT_FALSE(server.is_reachable());
    server.start(2000, out);
    EXPECT_TRUE(server.is_reachable());
    EXPECT_EQ(server.executing_count(), 0U);
}

TEST(ServerModel, ANeighbourAndAFullTableTakeTheirShare) {
    FleetSpec spec = bare();
    spec.connection_overhead = 0.5;
    spec.max_connections = 10;
    ServerModel server(spec, 1, true);
    ServerModel::Out out;
    for (int i = 0; i < 10; ++i) server.connect(0, out);
    server.set_neighbour(0, 0.5, out);
    server.arrive(0, 1, 100, false, out);
    run_to(server, 399, out);
    EXPECT_TRUE(out.empty());
    run_to(server, 401, out);
    EXPECT_EQ(out.size(), 1U);
}

}  // namespace
}  // namespace elmbay::simulation
