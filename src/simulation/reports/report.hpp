/// @file
/// The result of a run: whether the invariants and expectations hold, the service that clients received, and
/// whether the measurement is reliable. It is available as text, as JSON and as one self-contained HTML page.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation/checking/invariant_checker.hpp"
#include "simulation/checking/sidecar_log.hpp"
#include "simulation/reports/service_metrics.hpp"

namespace elmbay::simulation {

/// Result of checking one invariant.
struct InvariantReport {
    std::string name;
    std::uint64_t violations = 0;
    std::vector<std::string> examples;  ///< The first few violations.
};

/// Result of comparing one metric with the bound that the scenario specifies.
struct ExpectationReport {
    std::string name;
    double bound = 0;
    double measured = 0;
    bool is_upper_bound = false;  ///< Whether the bound is an upper bound rather than a lower one.
    bool met = true;
};

/// Lateness of the emulator's own timers. If they fire late, measured latencies of the sidecar are too high.
struct TimerLateness {
    static constexpr Millis kLateThreshold = 10;
    /// Share of late timers above which the measurement of the sidecar is not reliable.
    static constexpr double kMaxLateShare = 0.01;

    bool measured = false;  ///< False in virtual time, in which timers are never late.
    Millis p99 = 0;
    Millis max = 0;
    double late_share = 0;  ///< Share of timers later than kLateThreshold.
    bool is_acceptable() const { return !measured || late_share <= kMaxLateShare; }
};

/// Time span and targets of a fault, for plots.
struct FaultBand {
    std::string name;
    std::string targets;  ///< Empty for faults without target processes.
    Millis start = 0;
    Millis end = 0;
};

/// The result of one run.
struct Report {
    /// Time after the restart of a sidecar that after_restart covers.
    static constexpr Millis kRestartWindow = 10000;

    /// Attempts and outcomes of restarted sidecars in their first kRestartWindow. In virtual time only.
    struct AfterRestartReport {
        std::uint64_t attempts = 0;
        std::uint64_t failed = 0;  ///< Attempts that ended without a response and were not cancelled.
        double offered_value = 0;
        double delivered_value = 0;
        double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
    };

    std::string scenario;
    std::string description;
    std::string mode;      ///< "virtual" or "real".
    std::string balancer;  ///< Name of a policy, or the command that starts a sidecar.
    std::uint64_t seed = 0;
    Millis duration = 0;
    std::uint64_t servers = 0;
    std::uint64_t sidecars = 0;
    std::uint64_t operations = 0;       ///< Operations of clients. Each is a request and its retries.
    std::uint64_t client_requests = 0;  ///< Requests that sidecars received, including retries of clients.
    std::uint64_t attempts = 0;         ///< Attempts of sidecars at servers.
    std::uint64_t max_attempts = 0;     ///< Maximum attempts of one client request.
    AfterRestartReport after_restart;
    std::uint64_t delayed_failures = 0;    ///< See InvariantChecker::delayed_failures().
    std::uint64_t overloaded_servers = 0;  ///< See InvariantChecker::overloaded_servers().
    std::uint64_t connections = 0;         ///< Connections opened to servers.
    double attempts_per_request = 0;
    std::vector<InvariantReport> invariants;
    std::vector<ExpectationReport> expectations;
    ServiceMetrics::Report metrics;
    TimerLateness timer_lateness;
    SidecarActivity sidecar_activity;
    std::vector<FaultBand> faults;
    std::vector<std::string> timeline;  ///< The scripted steps in chronological order.
    /// Other observations of the driver, such as a sidecar that ended unexpectedly.
    std::vector<std::string> notes;
    std::uint64_t log_lines = 0;
    std::uint64_t log_hash = 0;  ///< FNV-1a of the event log.

    bool invariants_hold() const;
    bool expectations_met() const;
    bool passed() const { return invariants_hold() && expectations_met() && timer_lateness.is_acceptable(); }
};

/// Builds the fields that do not depend on the driver: all except mode, balancer, timer lateness, sidecar
/// activity and the log.
Report make_report(const Scenario& scenario, const ClientModel& clients, const InvariantChecker& checker,
                   const ServiceMetrics& metrics);

/// Returns the report as text for a terminal.
std::string text_of(const Report& report);
/// Returns the complete report as JSON.
nlohmann::ordered_json json_of(const Report& report);
/// Returns the report as one self-contained HTML page with plots.
std::string html_of(const Report& report);
/// Reads the fields that comparison_of() needs from the JSON of a report.
///
/// @throws std::invalid_argument  if the text is not the JSON of a report
Report report_from_json(const std::string& text);
/// Returns a comparison of two runs of one scenario as text.
std::string comparison_of(const Report& a, const Report& b);

}  // namespace elmbay::simulation
