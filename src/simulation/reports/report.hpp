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

struct InvariantReport {
    std::string name;
    std::uint64_t violations = 0;
    std::vector<std::string> examples;
};
// A stated expectation: `most` of a figure, or the least of it.
struct ExpectationReport {
    std::string name;
    double bound = 0, measured = 0;
    bool is_upper_bound = false, met = true;
};
// How late the emulator itself was. A late emulator makes a sidecar look slow.
struct Punctuality {
    bool measured = false;  // virtual time is never late
    Millis p99 = 0, max = 0;
    double late_share = 0;  // of its wake-ups, those later than kLate
    static constexpr Millis kLateThreshold = 10;
    static constexpr double kMaxLateShare = 0.01;  // more late wake-ups than this: not to be trusted
    bool trusted() const { return !measured || late_share <= kMaxLateShare; }
};
// A fault as the plots show it.
struct FaultBand {
    std::string name, targets;
    Millis start = 0, end = 0;
};

struct Report {
    std::string scenario, description, mode, balancer;
    std::uint64_t seed = 0;
    Millis duration = 0;
    std::uint64_t servers = 0, sidecars = 0, operations = 0, client_requests = 0, attempts = 0,
                  max_attempts = 0;
    // What restarted sidecars did in their first kAfterRestart; virtual time only.
    static constexpr Millis kRestartWindow = 10000;
    struct AfterRestartReport {
        std::uint64_t attempts = 0, failed = 0;  // failed: those that ended neither served nor withdrawn
        double offered_value = 0, delivered_value = 0;
        double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
    } after_restart;
    std::uint64_t delayed_failures = 0, overloaded_servers = 0, connections = 0;
    double attempts_per_request = 0;
    std::vector<InvariantReport> invariants;
    std::vector<ExpectationReport> expectations;
    ServiceMetrics::Report metrics;
    Punctuality punctuality;
    SidecarActivity sidecar_activity;
    std::vector<FaultBand> faults;
    std::vector<std::string> timeline;  // the scripted events in their order
    std::vector<std::string> notes;     // what else the driver saw: a sidecar that ended, say
    std::uint64_t log_lines = 0, log_hash = 0;

    bool invariants_hold() const;
    bool expectations_met() const;
    bool passed() const { return invariants_hold() && expectations_met() && punctuality.trusted(); }
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
