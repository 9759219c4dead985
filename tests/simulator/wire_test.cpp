// The codec and the host, on text as the simulator would write it.
#include "simulator/wire.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace elmbay::balancer::wire {
namespace {

const std::string start_line =
    "START who=sidecar-3 entropy=5192284302740068 azs=hall-a,hall-b classes.count=2 "
    "classes.0.credit=3.0 classes.0.dedup-scope=all classes.0.dedup-window-ms=5000.0 "
    "classes.0.effect=repeatable classes.0.give-up-ms=1500.0 classes.0.late-value=0.0 classes.0.name=listen "
    "classes.0.on-time-ms=400.0 classes.1.effect=once classes.1.name=deposit classes.1.on-time-ms=300.0 "
    "fees.cross-zone=0.02 granularity-ms=5.0 limits.max-attempts=4 limits.may-cancel=true "
    "limits.parallel-tries=false membership-mode=pushed my-zone=hall-b rules.cold-from=0.16 "
    "rules.grace-to-answer-ms=20.0 rules.warm-within-ms=20000.0 some.future-setting=7\n";
const std::string catalog =
    "CATALOG ref=0 items=2\n"
    "M server=server_a rack-zone=hall-a kind=standard-4 pod=0 phase=on units=1\n"
    "M server=server_b rack-zone=hall-b kind=standard-4 pod=0 phase=on units=1.5\n";
const std::string saved = "PEERS_KNOWN who=sidecar-3 ref=0 index=41 mode=SAVED\n";
const std::string accept = "ACCEPT who=sidecar-3 rid=r-1 effort-ms=12.0 grade=listen time-left-ms=240.0\n";
const std::string over = "OVER_TO_YOU\n";

std::string mark(int frame, double now = 1000) {
    return "MARK now-ms=" + std::to_string(now) + " frame=" + std::to_string(frame) + "\n";
}

struct Played {
    int status;
    std::string out, err;
};
Played run(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int status = Host(in, out, err).run();
    return {status, out.str(), err.str()};
}
const std::string opening = mark(1) + start_line + catalog + saved + over;

TEST(Host, EmptyBatchAndEndOfInput) {
    const Played r = run(mark(1) + over);
    EXPECT_EQ(r.status, 0);
    EXPECT_EQ(r.out, "END frame=1\n");
    EXPECT_EQ(run("").status, 0);
}

TEST(Host, ARequestGoesOutAndComesBack) {
    const Played r = run(opening + mark(2, 1010) + accept + over);
    EXPECT_EQ(r.status, 0) << r.err;
    EXPECT_NE(r.out.find("DISPATCH who=sidecar-3 rid=r-1 server=server_"), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("AFTER who=sidecar-3 at-ms=1250.000 nonce="), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("END frame=2\n"), std::string::npos);
}

TEST(Host, VerdictLeadsToAnotherAttemptElsewhere) {
    const Played first = run(opening + mark(2, 1010) + accept + over);
    const bool a = first.out.find("server=server_a") != std::string::npos;
    const std::string sent = a ? "server_a" : "server_b", other = a ? "server_b" : "server_a";
    const Played r = run(opening + mark(2, 1010) + accept + over + mark(3, 1020) +
                         "VERDICT who=sidecar-3 rid=r-1 server=" + sent +
                         " duration-ms=10 rc=refused_conn hop=0 metrics=active:3,cpu:0.5\n" + over);
    EXPECT_NE(r.out.find("DISPATCH who=sidecar-3 rid=r-1 server=" + other), std::string::npos) << r.out;
}

TEST(Host, ACatalogNumberMayBeReusedWithinABatch) {
    const std::string second = "CATALOG ref=0 items=1\nM server=server_c rack-zone=hall-a pod=0 phase=on\n";
    const Played r = run(mark(1) + start_line + catalog + saved + second +
                         "PEERS_KNOWN who=sidecar-3 ref=0 index=42 mode=FULL\n" + accept + over);
    EXPECT_EQ(r.status, 0) << r.err;
    EXPECT_NE(r.out.find("server=server_c"), std::string::npos) << r.out;
}

TEST(Host, RestartWithinABatchForgetsEverything) {
    const Played r =
        run(opening + mark(2) + accept + "POWER_OFF who=sidecar-3\n" + start_line + saved + accept + over);
    EXPECT_EQ(r.status, 0) << r.err;
}

TEST(Host, InstancesAreKeptApart) {
    std::string other = start_line;
    other.replace(other.find("sidecar-3"), 9, "sidecar-9");
    const Played r = run(mark(1) + start_line + other + catalog + saved + over + mark(2) +
                         "ACCEPT who=sidecar-9 rid=r-9 grade=listen time-left-ms=240\n" + over);
    EXPECT_EQ(r.status, 0);
    EXPECT_EQ(r.out.find("DISPATCH"), std::string::npos) << "sidecar-9 was told no list";
}

TEST(Host, StaleEventsAndUnknownKindsAreSkipped) {
    const Played r =
        run(opening + mark(2) + "EXPIRED who=sidecar-3 rid=never\n" +
            "VERDICT who=sidecar-3 rid=never server=server_a rc=completed hop=0 terminal=1\n" +
            "TICK_DUE who=sidecar-3 nonce=77\nHEALTH who=sidecar-3 server=server_a rc=completed\n" +
            "MEMO who=sidecar-3 src-peer=2 msg=-\nNOVELTY who=sidecar-3 x=1\nNOVELTY x=2\n" + over);
    EXPECT_EQ(r.status, 0) << r.err;
    EXPECT_EQ(r.err.find("NOVELTY"), r.err.rfind("NOVELTY")) << "reported once";
    EXPECT_NE(r.err.find("NOVELTY"), std::string::npos);
}

TEST(Host, MalformedInputEndsWithOneLineThatNamesThePlace) {
    const auto complaint = [](const std::string& text) {
        const Played r = run(text);
        EXPECT_NE(r.status, 0) << text;
        EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1) << r.err;
        return r.err;
    };
    const auto has = [](const std::string& text, const std::string& part) {
        EXPECT_NE(text.find(part), std::string::npos) << text;
    };
    has(complaint(opening + mark(2) + "ACCEPT who=sidecar-3 rid=r-1 grade=listen\n" + over),
        "line 9: ACCEPT: field 'time-left-ms'");
    has(complaint(opening + mark(2) + "ACCEPT who=sidecar-3 rid=r grade=listen time-left-ms=abc\n" + over),
        "'time-left-ms'");
    has(complaint(opening + mark(2) + "ACCEPT who=sidecar-8 rid=r grade=listen time-left-ms=1\n" + over),
        "'who'");
    has(complaint(mark(1) + "CATALOG ref=0 items=2\nM server=a phase=on\n" + over), "'items'");
    has(complaint(mark(1) + "CATALOG ref=16 items=0\n" + over), "'ref'");
    has(complaint(opening + mark(2) + accept), "OVER_TO_YOU");
    has(complaint(opening + mark(2) + "TICK_DUE who=sidecar-3 nonce=-4\n" + over), "'nonce'");
    has(complaint(opening + mark(2) + "VERDICT who=sidecar-3 rid=r-1 server=server_a hop=0 rc=odd\n" + over),
        "'rc'");
    has(complaint("OVER_TO_YOU\n"), "MARK");
}

TEST(Host, SettingsThatMakeNoSenseBecomeAFault) {
    std::string bad = start_line;
    bad.replace(bad.find("rules.cold-from=0.16"), 20, "rules.cold-from=1.60");
    const Played r = run(mark(1) + bad + over);
    EXPECT_NE(r.out.find("FAULT who=sidecar-3 words="), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("cold_from"), std::string::npos) << r.out;
}

TEST(Codec, SettingsArriveWhole) {
    const DeploymentSettings deployment =
        read_deployment_settings(Message(std::string_view(start_line).substr(0, start_line.size() - 1), 1));
    EXPECT_EQ(deployment.settings.classes.size(), 2U);
    EXPECT_EQ(deployment.settings.classes[1].idempotency, Idempotency::non_idempotent);
    EXPECT_EQ(deployment.settings.classes[0].latency_objective, 400);
    EXPECT_EQ(deployment.settings.my_zone, ZoneId{1});
    EXPECT_EQ(deployment.settings.slow_start_min_share, 0.16);
    EXPECT_EQ(deployment.settings.costs.cross_zone, 0.02);
    EXPECT_FALSE(deployment.settings.list_on_request);
    EXPECT_EQ(deployment.classes[1], "deposit");
}

TEST(Host, AMegabyteLongBatchIsAnsweredWhole) {
    std::string batch = opening + mark(2);
    for (int i = 0; i < 20000; ++i)
        batch += "ACCEPT who=sidecar-3 rid=long-" + std::to_string(i) + " grade=deposit time-left-ms=500\n";
    const Played r = run(batch + over + mark(3, 9000) + over);
    EXPECT_EQ(r.status, 0);
    EXPECT_NE(r.out.find("END frame=3\n"), std::string::npos);
}

}  // namespace
}  // namespace elmbay::balancer::wire
