// Tests the message codec and the protocol loop with text in the form that the simulator writes.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <string>

#include "simulator/host.hpp"

namespace elmbay::balancer::wire {
namespace {

const std::string kStartLine =
    "START who=sidecar-3 entropy=5192284302740068 azs=hall-a,hall-b classes.count=2 "
    "classes.0.credit=3.0 classes.0.dedup-scope=all classes.0.dedup-window-ms=5000.0 "
    "classes.0.effect=repeatable classes.0.give-up-ms=1500.0 classes.0.late-value=0.0 classes.0.name=listen "
    "classes.0.on-time-ms=400.0 classes.1.effect=once classes.1.name=deposit classes.1.on-time-ms=300.0 "
    "fees.cross-zone=0.02 granularity-ms=5.0 limits.max-attempts=4 limits.may-cancel=true "
    "limits.parallel-tries=false membership-mode=pushed my-zone=hall-b rules.cold-from=0.16 "
    "rules.grace-to-answer-ms=20.0 rules.warm-within-ms=20000.0 some.future-setting=7\n";
const std::string kCatalog =
    "CATALOG ref=0 items=2\n"
    "M server=server_a rack-zone=hall-a kind=standard-4 pod=0 phase=on units=1\n"
    "M server=server_b rack-zone=hall-b kind=standard-4 pod=0 phase=on units=1.5\n";
const std::string kSavedList = "PEERS_KNOWN who=sidecar-3 ref=0 index=41 mode=SAVED\n";
const std::string kAccept = "ACCEPT who=sidecar-3 rid=r-1 effort-ms=12.0 grade=listen time-left-ms=240.0\n";
const std::string kEndOfBatch = "OVER_TO_YOU\n";

std::string mark(int frame, double now = 1000) {
    return "MARK now-ms=" + std::to_string(now) + " frame=" + std::to_string(frame) + "\n";
}

struct AdapterRun {
    int status;
    std::string out, err;
};
AdapterRun run(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int status = Host(in, out, err).run();
    return {status, out.str(), err.str()};
}
const std::string kFirstBatch = mark(1) + kStartLine + kCatalog + kSavedList + kEndOfBatch;

TEST(Host, RepliesToEmptyBatchAndStopsAtEndOfInput) {
    const AdapterRun result = run(mark(1) + kEndOfBatch);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.out, "END frame=1\n");
    EXPECT_EQ(run("").status, 0);
}

TEST(Host, DispatchesAcceptedRequest) {
    const AdapterRun result = run(kFirstBatch + mark(2, 1010) + kAccept + kEndOfBatch);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_NE(result.out.find("DISPATCH who=sidecar-3 rid=r-1 server=server_"), std::string::npos)
        << result.out;
    EXPECT_NE(result.out.find("AFTER who=sidecar-3 at-ms=1250.000 nonce="), std::string::npos) << result.out;
    EXPECT_NE(result.out.find("END frame=2\n"), std::string::npos);
}

TEST(Host, RetriesOnAnotherServerAfterConnectFailure) {
    const AdapterRun first = run(kFirstBatch + mark(2, 1010) + kAccept + kEndOfBatch);
    const bool sent_to_a = first.out.find("server=server_a") != std::string::npos;
    const std::string sent = sent_to_a ? "server_a" : "server_b", other = sent_to_a ? "server_b" : "server_a";
    const AdapterRun result =
        run(kFirstBatch + mark(2, 1010) + kAccept + kEndOfBatch + mark(3, 1020) +
            "VERDICT who=sidecar-3 rid=r-1 server=" + sent +
            " duration-ms=10 rc=refused_conn hop=0 metrics=active:3,cpu:0.5\n" + kEndOfBatch);
    EXPECT_NE(result.out.find("DISPATCH who=sidecar-3 rid=r-1 server=" + other), std::string::npos)
        << result.out;
}

TEST(Host, UsesLatestCatalogIfItsNumberIsReusedWithinBatch) {
    const std::string second_catalog =
        "CATALOG ref=0 items=1\nM server=server_c rack-zone=hall-a pod=0 phase=on\n";
    const AdapterRun result =
        run(mark(1) + kStartLine + kCatalog + kSavedList + second_catalog +
            "PEERS_KNOWN who=sidecar-3 ref=0 index=42 mode=FULL\n" + kAccept + kEndOfBatch);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_NE(result.out.find("server=server_c"), std::string::npos) << result.out;
}

TEST(Host, AcceptsSameRequestIdAfterRestartWithinBatch) {
    const AdapterRun result = run(kFirstBatch + mark(2) + kAccept + "POWER_OFF who=sidecar-3\n" + kStartLine +
                                  kSavedList + kAccept + kEndOfBatch);
    EXPECT_EQ(result.status, 0) << result.err;
}

TEST(Host, IsolatesInstances) {
    std::string other_start = kStartLine;
    other_start.replace(other_start.find("sidecar-3"), 9, "sidecar-9");
    const AdapterRun result =
        run(mark(1) + kStartLine + other_start + kCatalog + kSavedList + kEndOfBatch + mark(2) +
            "ACCEPT who=sidecar-9 rid=r-9 grade=listen time-left-ms=240\n" + kEndOfBatch);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.out.find("DISPATCH"), std::string::npos) << "sidecar-9 has received no list";
}

TEST(Host, SkipsStaleEventsAndReportsUnknownKindOnce) {
    const AdapterRun result =
        run(kFirstBatch + mark(2) + "EXPIRED who=sidecar-3 rid=never\n" +
            "VERDICT who=sidecar-3 rid=never server=server_a rc=completed hop=0 terminal=1\n" +
            "TICK_DUE who=sidecar-3 nonce=77\nHEALTH who=sidecar-3 server=server_a rc=completed\n" +
            "MEMO who=sidecar-3 src-peer=2 msg=-\nNOVELTY who=sidecar-3 x=1\nNOVELTY x=2\n" + kEndOfBatch);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_EQ(result.err.find("NOVELTY"), result.err.rfind("NOVELTY")) << "reported once";
    EXPECT_NE(result.err.find("NOVELTY"), std::string::npos);
}

TEST(Host, ReportsMalformedInputInOneLineWithLineNumber) {
    const auto error_output_of = [](const std::string& text) {
        const AdapterRun result = run(text);
        EXPECT_NE(result.status, 0) << text;
        EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
        return result.err;
    };
    const auto expect_contains = [](const std::string& text, const std::string& part) {
        EXPECT_NE(text.find(part), std::string::npos) << text;
    };
    expect_contains(
        error_output_of(kFirstBatch + mark(2) + "ACCEPT who=sidecar-3 rid=r-1 grade=listen\n" + kEndOfBatch),
        "line 9: ACCEPT: field 'time-left-ms'");
    expect_contains(
        error_output_of(kFirstBatch + mark(2) + "ACCEPT who=sidecar-3 rid=r grade=listen time-left-ms=abc\n" +
                        kEndOfBatch),
        "'time-left-ms'");
    expect_contains(error_output_of(kFirstBatch + mark(2) +
                                    "ACCEPT who=sidecar-8 rid=r grade=listen time-left-ms=1\n" + kEndOfBatch),
                    "'who'");
    expect_contains(error_output_of(mark(1) + "CATALOG ref=0 items=2\nM server=a phase=on\n" + kEndOfBatch),
                    "'items'");
    expect_contains(error_output_of(mark(1) + "CATALOG ref=16 items=0\n" + kEndOfBatch), "'ref'");
    expect_contains(error_output_of(kFirstBatch + mark(2) + kAccept), "OVER_TO_YOU");
    expect_contains(
        error_output_of(kFirstBatch + mark(2) + "TICK_DUE who=sidecar-3 nonce=-4\n" + kEndOfBatch),
        "'nonce'");
    expect_contains(
        error_output_of(kFirstBatch + mark(2) +
                        "VERDICT who=sidecar-3 rid=r-1 server=server_a hop=0 rc=odd\n" + kEndOfBatch),
        "'rc'");
    expect_contains(error_output_of("OVER_TO_YOU\n"), "MARK");
}

TEST(Codec, ReportsProblemOfMalformedLine) {
    const auto problem_of = [](std::string_view line) -> std::optional<WireProblem> {
        try {
            const Message message(line, 3);
        } catch (const WireError& error) {
            return error.problem();
        }
        return {};
    };
    EXPECT_EQ(problem_of(""), WireProblem::empty_line);
    EXPECT_EQ(problem_of("\r"), WireProblem::empty_line);
    EXPECT_EQ(problem_of("ACCEPT rid"), WireProblem::not_a_pair);
    EXPECT_EQ(problem_of("ACCEPT =r-1"), WireProblem::not_a_pair);
    EXPECT_EQ(problem_of("ACCEPT rid=r-1\r"), std::nullopt);
}

TEST(Host, ReportsInvalidSettingsAsFault) {
    std::string invalid_start = kStartLine;
    invalid_start.replace(invalid_start.find("rules.cold-from=0.16"), 20, "rules.cold-from=1.60");
    const AdapterRun result = run(mark(1) + invalid_start + kEndOfBatch);
    EXPECT_NE(result.out.find("FAULT who=sidecar-3 words="), std::string::npos) << result.out;
    EXPECT_NE(result.out.find("cold_from"), std::string::npos) << result.out;
}

TEST(Codec, ReadsDeploymentSettingsFromStartMessage) {
    const DeploymentSettings deployment =
        read_deployment_settings(Message(std::string_view(kStartLine).substr(0, kStartLine.size() - 1), 1));
    EXPECT_EQ(deployment.settings.classes.size(), 2U);
    EXPECT_EQ(deployment.settings.classes[1].idempotency, Idempotency::non_idempotent);
    EXPECT_EQ(deployment.settings.classes[0].latency_objective, 400);
    EXPECT_EQ(deployment.settings.local_zone, ZoneId{1});
    EXPECT_EQ(deployment.settings.slow_start_min_share, 0.16);
    EXPECT_EQ(deployment.settings.costs.cross_zone, 0.02);
    EXPECT_FALSE(deployment.settings.requires_subscription);
    EXPECT_EQ(deployment.classes[1], "deposit");
}

TEST(Host, RepliesToBatchOfOneMegabyte) {
    std::string batch = kFirstBatch + mark(2);
    for (int i = 0; i < 20000; ++i)
        batch += "ACCEPT who=sidecar-3 rid=long-" + std::to_string(i) + " grade=deposit time-left-ms=500\n";
    const AdapterRun result = run(batch + kEndOfBatch + mark(3, 9000) + kEndOfBatch);
    EXPECT_EQ(result.status, 0);
    EXPECT_NE(result.out.find("END frame=3\n"), std::string::npos);
}

}  // namespace
}  // namespace elmbay::balancer::wire
