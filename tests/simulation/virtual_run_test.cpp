// The virtual driver: exactly the same twice, elmbay keeps all rules, and every bad balancer visibly fails.
#include "simulation/drivers/virtual/virtual_run.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "bundle.hpp"
#include "simulation/baselines/baseline_policies.hpp"

namespace elmbay::simulation {
namespace {

Scenario incident_named(const std::string& name) {
    for (const BundledScenario& b : bundled())
        if (b.name == name) {
            Scenario scenario = parse_scenario(b.text, name);
            scenario.name = name;
            return scenario;
        }
    throw std::invalid_argument(name);
}

Report play(const std::string& scenario, const std::string& balancer) {
    VirtualRunOptions options;
    options.balancer = balancer;
    return run_virtual_simulation(incident_named(scenario), options);
}

std::uint64_t broken(const Report& report, Invariant rule) {
    return report.invariants[static_cast<std::size_t>(rule)].violations;
}
bool missed(const Report& report, const std::string& expectation) {
    for (const ExpectationReport& e : report.expectations)
        if (e.name == expectation) return !e.met;
    return false;
}

TEST(Virtual, TheSameFileAndSeedGiveTheSameBytes) {
    const Scenario scenario = incident_named("all-at-once");
    std::ostringstream first, second, other;
    VirtualRunOptions options;
    options.log = &first;
    const Report a = run_virtual_simulation(scenario, options);
    options.log = &second;
    const Report b = run_virtual_simulation(scenario, options);
    EXPECT_GT(first.str().size(), 100000U);
    EXPECT_TRUE(first.str() == second.str());
    EXPECT_EQ(json_of(a).dump(), json_of(b).dump());
    Scenario moved = scenario;
    moved.overview.seed += 1;
    options.log = &other;
    run_virtual_simulation(moved, options);
    EXPECT_FALSE(first.str() == other.str());
}

class EveryScenario : public testing::TestWithParam<std::string> {};
TEST_P(EveryScenario, ElmbayKeepsAllRulesAndExpectations) {
    const Report report = play(GetParam(), "elmbay");
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    EXPECT_TRUE(report.expectations_met()) << text_of(report);
    EXPECT_GT(report.operations, 1000U);
    // Nothing fell between the books: each request ended or its client left.
    std::uint64_t ended = 0;
    for (const ClassReport& c : report.metrics.classes) ended += c.requested + c.abandoned;
    EXPECT_EQ(ended, report.operations);
}
std::vector<std::string> names() {
    std::vector<std::string> list;
    for (const BundledScenario& b : bundled()) list.push_back(b.name);
    return list;
}
INSTANTIATE_TEST_SUITE_P(BundledScenario, EveryScenario, testing::ValuesIn(names()), [](const auto& info) {
    std::string name = info.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

TEST(BadBalancers, EachFailsWhereItIsBad) {
    EXPECT_TRUE(missed(play("radio-feature", "random-storm"), "attempts"));
    EXPECT_TRUE(missed(play("radio-feature", "random-storm"), "goodput"));
    EXPECT_GT(broken(play("calm", "twice-at-once"), Invariant::no_duplicate_effect), 100U);
    EXPECT_GT(broken(play("fast-errors", "resend-unsafe"), Invariant::no_duplicate_effect), 10U);
    EXPECT_GT(broken(play("rolling-drain", "deaf-to-drains"), Invariant::drain_respected), 100U);
    EXPECT_GT(broken(play("rolling-drain", "flood-cold"), Invariant::cold_server_not_overloaded), 0U);
    EXPECT_TRUE(missed(play("fast-errors", "hold-answers"), "held_back"));
    EXPECT_TRUE(missed(play("fast-errors", "never-remove"), "worst_class"));
}

TEST(BadBalancers, TheSoundOneBelowThemKeepsTheRules) {
    for (const std::string& name : names()) {
        const Report report = play(name, "plain");
        EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    }
}

TEST(BadBalancers, AnUnknownOneIsAnError) { EXPECT_THROW(play("calm", "nobody"), std::invalid_argument); }

TEST(ClientModel, AskTheSameWhateverHappens) {
    const Scenario scenario = incident_named("radio-feature");
    const ClientModel a(scenario), b(scenario);
    ASSERT_EQ(a.arrivals().size(), b.arrivals().size());
    for (std::size_t i = 0; i < a.arrivals().size(); i += 97) EXPECT_DOUBLE_EQ(a.work(i), b.work(i));
    // Four times as many while it is on air (10 s to 20 s of 30).
    const auto between = [&](Millis from, Millis to) {
        return std::count_if(a.arrivals().begin(), a.arrivals().end(),
                             [&](const ClientArrival& x) { return x.at >= from && x.at < to; });
    };
    const double times = static_cast<double>(between(10000, 20000)) /
                         static_cast<double>(between(0, 10000) + between(20000, 30000)) * 2;
    EXPECT_NEAR(times, 4, 0.8);
}

TEST(ClientModel, AnUnsafeRequestIsAskedAgainOnlyAfterARefusal) {
    const Scenario scenario = incident_named("calm");
    const ClientModel clients(scenario);
    for (OperationId r = 0; r < 200; ++r) {
        const ClientRequest t = clients.first_request(r);
        const bool unsafe = scenario.classes[clients.arrival_of(r).class_index].idempotency() ==
                            balancer::Idempotency::non_idempotent;
        EXPECT_EQ(clients.next_request(t.at + 10, t, ResponseKind::failed, 0).has_value(), !unsafe);
        EXPECT_TRUE(clients.next_request(t.at + 10, t, ResponseKind::rejected, 0).has_value());
        EXPECT_FALSE(clients.next_request(t.at + 10, t, ResponseKind::served, 0).has_value());
    }
}

// All clients go away while their attempts wait: none of it is a loss, and nothing goes out for them
// afterwards.
TEST(Virtual, CallersGoneWhileTheirAttemptsWaitBreakNothing) {
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
    // Whoever leaves is told to the module, which withdraws what is out for them at that very moment.
    std::istringstream lines(log.str());
    std::string at, word, what, left_at, left_id;
    std::size_t left = 0, withdrawn = 0;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream(line) >> at >> word >> what;
        if (word == "leave") ++left, left_at = at, left_id = what;
        withdrawn +=
            word == "end" && at == left_at && what.starts_with(left_id + ".") && line.ends_with(" 6");
    }
    EXPECT_GT(left, report.operations / 4);
    EXPECT_GT(withdrawn, left / 2);
}

// A server that takes all and answers nothing costs the requests that are with it, and soon gets no more.
TEST(Virtual, AServerThatAcceptsAndServesNoneIsFoundOut) {
    const Scenario scenario = parse_scenario(
        "length = \"20s\"\n[fleet]\nservers = 8\n[callers]\nrate = 200\n"
        "[[fault]]\nkind = \"hollow\"\nat = \"2s\"\nwho = \"s-3\"\n",
        "f");
    const Report report = run_virtual_simulation(scenario, {});
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    double before = 0, after = 0;
    for (std::size_t s = 0; s < 2; ++s) before += report.metrics.servers[3][s].work / 2;
    for (std::size_t s = 12; s < 20 && s < report.metrics.servers[3].size(); ++s)
        after += report.metrics.servers[3][s].work / 8;
    EXPECT_LT(after, before / 4);
}

TEST(Virtual, AThousandSidecarsPlayToo) {
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
