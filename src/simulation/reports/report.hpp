// What a run came to: the verdict on the rules, service, and whether the run can be trusted. As text, JSON or
// one self-contained HTML page.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation/checking/invariant_checker.hpp"
#include "simulation/checking/sidecar_log.hpp"
#include "simulation/reports/service_metrics.hpp"

namespace elmbay::simulation {

struct RuleReport {
    std::string name;
    std::uint64_t broken = 0;
    std::vector<std::string> examples;
};
// A stated expectation: `most` of a figure, or the least of it.
struct ExpectationReport {
    std::string name;
    double stated = 0, seen = 0;
    bool at_most = false, kept = true;
};
// How late the emulator itself was. A late emulator makes a sidecar look slow.
struct Punctuality {
    bool measured = false;  // virtual time is never late
    Millis p99 = 0, most = 0;
    double late_share = 0;  // of its wake-ups, those later than kLate
    static constexpr Millis kLate = 10;
    static constexpr double kTrustedShare = 0.01;  // more late wake-ups than this: not to be trusted
    bool trusted() const { return !measured || late_share <= kTrustedShare; }
};
// A fault as the plots show it.
struct FaultBand {
    std::string name, who;
    Millis from = 0, to = 0;
};

struct Report {
    std::string scenario, about, mode, balancer;
    std::uint64_t seed = 0;
    Millis length = 0;
    std::uint64_t servers = 0, sidecars = 0, requests = 0, tries = 0, attempts = 0, most_attempts = 0;
    // What restarted sidecars did in their first kAfterRestart; virtual time only.
    static constexpr Millis kAfterRestart = 10000;
    struct Restarted {
        std::uint64_t attempts = 0, failed = 0;  // failed: those that ended neither served nor withdrawn
        double worth_asked = 0, worth_got = 0;
        double goodput() const { return worth_asked > 0 ? worth_got / worth_asked : 1; }
    } restarted;
    std::uint64_t held_back = 0, fallen = 0, connections = 0;
    double attempts_per_try = 0;
    std::vector<RuleReport> rules;
    std::vector<ExpectationReport> expectations;
    ServiceMetrics::Report metrics;
    Punctuality punctuality;
    SidecarsReport side;
    std::vector<FaultBand> faults;
    std::vector<std::string> steps;  // the scripted events in their order
    std::vector<std::string> notes;  // what else the driver saw: a sidecar that ended, say
    std::uint64_t log_lines = 0, log_hash = 0;

    bool rules_kept() const;
    bool expectations_kept() const;
    bool passed() const { return rules_kept() && expectations_kept() && punctuality.trusted(); }
};

// The part that both drivers share: fills rules, expectations, service and faults.
Report make_report(const Scenario& scenario, const ClientModel& clients, const InvariantChecker& checker,
                   const ServiceMetrics& metrics);

std::string text_of(const Report& report);
nlohmann::ordered_json json_of(const Report& report);
std::string page_of(const Report& report);  // one self-contained HTML file
// What comparison_of() needs of a report that was written by json_of(). Throws std::invalid_argument.
Report report_from_json(const std::string& text);
// Two runs of one scenario, side by side: what `compare` prints.
std::string comparison_of(const Report& a, const Report& b);

}  // namespace elmbay::simulation
