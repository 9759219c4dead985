// Tests that runs in virtual time are reproducible, that elmbay satisfies all invariants and expectations,
// and that each deliberately faulty balancer violates the one that it should.
#include "simulation/drivers/virtual/virtual_run.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "bundle.hpp"
#include "simulation/baselines/baseline_policies.hpp"

namespace elmbay::simulation {
namespace {

Scenario bundled_scenario(const std::string& name) {
    for (const BundledScenario& candidate : bundled_scenarios())
        if (candidate.name == name) {
            Scenario scenario = parse_scenario(candidate.text, name);
            scenario.name = name;
            return scenario;
        }
    throw std::invalid_argument(name);
}

Report run(const std::string& scenario_name, const std::string& balancer) {
    VirtualRunOptions options;
    options.balancer = balancer;
    return run_virtual_simulation(bundled_scenario(scenario_name), options);
}

std::uint64_t violations(const Report& report, Invariant invariant) {
    return report.invariants[static_cast<std::size_t>(invariant)].violations;
}
bool missed(const Report& report, const std::string& expectation) {
    for (const ExpectationReport& candidate : report.expectations)
        if (candidate.name == expectation) return !candidate.met;
    return false;
}

TEST(VirtualRun, GivesIdenticalLogAndReportForSameScenarioAndSeed) {
    const Scenario scenario = bundled_scenario("all-at-once");
    std::ostringstream first_log, second_log, other_log;
    VirtualRunOptions options;
    options.log = &first_log;
    const Report first = run_virtual_simulation(scenario, options);
    options.log = &second_log;
    const Report second = run_virtual_simulation(scenario, options);
    EXPECT_GT(first_log.str().size(), 100000U);
    EXPECT_TRUE(first_log.str() == second_log.str());
    EXPECT_EQ(json_of(first).dump(), json_of(second).dump());
    Scenario reseeded = scenario;
    reseeded.overview.seed += 1;
    options.log = &other_log;
    run_virtual_simulation(reseeded, options);
    EXPECT_FALSE(first_log.str() == other_log.str());
}

class EveryScenario : public testing::TestWithParam<std::string> {};
TEST_P(EveryScenario, ElmbayHoldsInvariantsAndMeetsExpectations) {
    const Report report = run(GetParam(), "elmbay");
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    EXPECT_TRUE(report.expectations_met()) << text_of(report);
    EXPECT_GT(report.operations, 1000U);
    // The report accounts for all operations: each one ended or its client disconnected.
    std::uint64_t ended = 0;
    for (const ClassReport& class_report : report.metrics.classes)
        ended += class_report.requested + class_report.abandoned;
    EXPECT_EQ(ended, report.operations);
}
std::vector<std::string> scenario_names() {
    std::vector<std::string> result;
    for (const BundledScenario& candidate : bundled_scenarios()) result.push_back(candidate.name);
    return result;
}
INSTANTIATE_TEST_SUITE_P(BundledScenario, EveryScenario, testing::ValuesIn(scenario_names()),
                         [](const auto& info) {
                             std::string name = info.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

TEST(BaselineBalancers, FaultyOnesViolateTheInvariantOrExpectationTheyTarget) {
    EXPECT_TRUE(missed(run("radio-feature", "random-storm"), "attempts"));
    EXPECT_TRUE(missed(run("radio-feature", "random-storm"), "goodput"));
    EXPECT_GT(violations(run("calm", "twice-at-once"), Invariant::no_duplicate_effect), 100U);
    EXPECT_GT(violations(run("fast-errors", "resend-unsafe"), Invariant::no_duplicate_effect), 10U);
    EXPECT_GT(violations(run("rolling-drain", "deaf-to-drains"), Invariant::drain_respected), 100U);
    EXPECT_GT(violations(run("rolling-drain", "flood-cold"), Invariant::cold_server_not_overloaded), 0U);
    EXPECT_TRUE(missed(run("fast-errors", "hold-answers"), "held_back"));
    EXPECT_TRUE(missed(run("fast-errors", "never-remove"), "worst_class"));
}

TEST(BaselineBalancers, PlainPolicyHoldsAllInvariants) {
    for (const std::string& name : scenario_names()) {
        const Report report = run(name, "plain");
        EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    }
}

TEST(BaselineBalancers, UnknownNameIsRejected) { EXPECT_THROW(run("calm", "nobody"), std::invalid_argument); }

TEST(ClientModel, DrawsSameArrivalsAndWorkForSameSeed) {
    const Scenario scenario = bundled_scenario("radio-feature");
    const ClientModel first(scenario), second(scenario);
    ASSERT_EQ(first.arrivals().size(), second.arrivals().size());
    for (std::size_t i = 0; i < first.arrivals().size(); i += 97)
        EXPECT_DOUBLE_EQ(first.work(i), second.work(i));
    // The load surge multiplies the rate by four from 10 s to 20 s of 30 s.
    const auto between = [&](Millis from, Millis to) {
        return std::count_if(
            first.arrivals().begin(), first.arrivals().end(),
            [&](const ClientArrival& arrival) { return arrival.at >= from && arrival.at < to; });
    };
    const double multiple = static_cast<double>(between(10000, 20000)) /
                            static_cast<double>(between(0, 10000) + between(20000, 30000)) * 2;
    EXPECT_NEAR(multiple, 4, 0.8);
}

TEST(ClientModel, RetriesNonIdempotentRequestOnlyAfterRejection) {
    const Scenario scenario = bundled_scenario("calm");
    const ClientModel clients(scenario);
    for (OperationId operation = 0; operation < 200; ++operation) {
        const ClientRequest request = clients.first_request(operation);
        const bool non_idempotent =
            scenario.classes[clients.arrival_of(operation).class_index].idempotency() ==
            balancer::Idempotency::non_idempotent;
        EXPECT_EQ(clients.next_request(request.at + 10, request, ResponseKind::failed, 0).has_value(),
                  !non_idempotent);
        EXPECT_TRUE(clients.next_request(request.at + 10, request, ResponseKind::rejected, 0).has_value());
        EXPECT_FALSE(clients.next_request(request.at + 10, request, ResponseKind::served, 0).has_value());
    }
}

// Guards against violations when all clients disconnect while their attempts wait at frozen or crashed
// servers: no outcome is lost, and no attempt is started for a disconnected client.
TEST(VirtualRun, HoldsInvariantsWhenClientsDisconnectDuringAttempts) {
    const Scenario scenario = parse_scenario(
        "length = \"5s\"\n[callers]\nrate = 200\nimpatient = 1\n[fleet]\nservers = 3\n"
        "[[fault]]\nkind = \"freeze\"\nat = \"1s\"\nwho = \"all\"\npause = \"900ms\"\nevery = \"1s\"\n"
        "[[fault]]\nkind = \"die\"\nat = \"1.8s\"\nlasts = \"400ms\"\nwho = [\"s-0\", \"s-1\"]\n"
        "[[fault]]\nkind = \"die\"\nat = \"3.8s\"\nlasts = \"400ms\"\nwho = [\"s-1\", \"s-2\"]\n",
        "f");
    std::ostringstream log;
    VirtualRunOptions options;
    options.log = &log;
    const Report report = run_virtual_simulation(scenario, options);
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    // The decision module is notified of each disconnect and cancels the pending attempts at the same time.
    std::istringstream lines(log.str());
    std::string at, event, id, disconnected_at, disconnected_id;
    std::size_t disconnects = 0, cancelled = 0;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream(line) >> at >> event >> id;
        if (event == "leave") ++disconnects, disconnected_at = at, disconnected_id = id;
        cancelled += event == "end" && at == disconnected_at && id.starts_with(disconnected_id + ".") &&
                     line.ends_with(" 6");
    }
    EXPECT_GT(disconnects, report.operations / 4);
    EXPECT_GT(cancelled, disconnects / 2);
}

// An unresponsive server accepts requests and completes none. The attempts that it holds fail, and it soon
// gets no more.
TEST(VirtualRun, MovesLoadAwayFromUnresponsiveServer) {
    const Scenario scenario = parse_scenario(
        "length = \"20s\"\n[fleet]\nservers = 8\n[callers]\nrate = 200\n"
        "[[fault]]\nkind = \"hollow\"\nat = \"2s\"\nwho = \"s-3\"\n",
        "f");
    const Report report = run_virtual_simulation(scenario, {});
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    double work_before = 0, work_after = 0;
    for (std::size_t second = 0; second < 2; ++second)
        work_before += report.metrics.servers[3][second].work / 2;
    for (std::size_t second = 12; second < 20 && second < report.metrics.servers[3].size(); ++second)
        work_after += report.metrics.servers[3][second].work / 8;
    EXPECT_LT(work_after, work_before / 4);
}

TEST(VirtualRun, HoldsInvariantsWithThousandSidecars) {
    Scenario scenario = parse_scenario(
        "length = \"3s\"\n[fleet]\nservers = 60\n[callers]\nrate = 1000\n[sidecars]\ncount = 1000\n"
        "[[fault]]\nkind = \"die\"\nat = \"1s\"\nwho = \"25%\"\n",
        "f");
    const Report report = run_virtual_simulation(scenario, {});
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    EXPECT_GT(report.client_requests, 2000U);
}

}  // namespace
}  // namespace elmbay::simulation
