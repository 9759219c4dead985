/// \file
/// The result of a run: whether the invariants and expectations hold, what clients got, and whether the run
/// can be trusted. As text, as JSON, or as one self-contained HTML page.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation/checking/invariant_checker.hpp"
#include "simulation/checking/sidecar_log.hpp"
#include "simulation/reports/service_metrics.hpp"

namespace elmbay::simulation {

/// How one invariant fared.
struct InvariantReport {
    std::string name;
    std::uint64_t violations = 0;
    std::vector<std::string> examples;  ///< The first few violations.
};

/// How one metric compares with the bound that the scenario states.
struct ExpectationReport {
    std::string name;
    double bound = 0;
    double measured = 0;
    bool is_upper_bound = false;  ///< Otherwise a lower one.
    bool met = true;
};

/// How late the emulator's own timers fired. A late emulator makes a sidecar look slow.
struct TimerLateness {
    static constexpr Millis kLateThreshold = 10;
    /// Share of late timers beyond which a run says nothing about the sidecar.
    static constexpr double kMaxLateShare = 0.01;

    bool measured = false;  ///< Virtual time is never late.
    Millis p99 = 0;
    Millis max = 0;
    double late_share = 0;  ///< Share of timers later than kLateThreshold.
    bool is_acceptable() const { return !measured || late_share <= kMaxLateShare; }
};

/// A fault as plots show it.
struct FaultBand {
    std::string name;
    std::string targets;  ///< Empty for faults without target processes.
    Millis start = 0;
    Millis end = 0;
};

/// The result of one run.
struct Report {
    /// Time after a sidecar's restart that after_restart covers.
    static constexpr Millis kRestartWindow = 10000;

    /// What restarted sidecars did in their first kRestartWindow. Virtual time only.
    struct AfterRestartReport {
        std::uint64_t attempts = 0;
        std::uint64_t failed = 0;  ///< Attempts that ended neither with a response nor by cancellation.
        double offered_value = 0;
        double delivered_value = 0;
        double goodput() const { return offered_value > 0 ? delivered_value / offered_value : 1; }
    };

    std::string scenario;
    std::string description;
    std::string mode;      ///< "virtual" or "real".
    std::string balancer;  ///< A policy's name, or the command that starts a sidecar.
    std::uint64_t seed = 0;
    Millis duration = 0;
    std::uint64_t servers = 0;
    std::uint64_t sidecars = 0;
    std::uint64_t operations = 0;       ///< What clients want; each is a request and its retries.
    std::uint64_t client_requests = 0;  ///< Requests that sidecars got, retries of clients included.
    std::uint64_t attempts = 0;         ///< Requests that servers got.
    std::uint64_t max_attempts = 0;     ///< Most attempts of one client request.
    AfterRestartReport after_restart;
    std::uint64_t delayed_failures = 0;    ///< See InvariantChecker::delayed_failures().
    std::uint64_t overloaded_servers = 0;  ///< Cold servers that fell over.
    std::uint64_t connections = 0;         ///< Opened to servers.
    double attempts_per_request = 0;
    std::vector<InvariantReport> invariants;
    std::vector<ExpectationReport> expectations;
    ServiceMetrics::Report metrics;
    TimerLateness timer_lateness;
    SidecarActivity sidecar_activity;
    std::vector<FaultBand> faults;
    std::vector<std::string> timeline;  ///< The scripted steps in their order.
    std::vector<std::string>
        notes;  ///< What else the driver observed, such as a sidecar that ended by itself.
    std::uint64_t log_lines = 0;
    std::uint64_t log_hash = 0;  ///< FNV-1a of the event log.

    bool invariants_hold() const;
    bool expectations_met() const;
    bool passed() const { return invariants_hold() && expectations_met() && timer_lateness.is_acceptable(); }
};

/// Builds the part that both drivers share: all but mode, balancer, timer_lateness, sidecar activity and the
/// log.
Report make_report(const Scenario& scenario, const ClientModel& clients, const InvariantChecker& checker,
                   const ServiceMetrics& metrics);

/// The report as a person reads it on a terminal.
std::string text_of(const Report& report);
/// The whole report.
nlohmann::ordered_json json_of(const Report& report);
/// The report as one self-contained HTML page with plots.
std::string html_of(const Report& report);
/// Reads from the JSON of a report what comparison_of() needs.
///
/// \throws std::invalid_argument  if the text is not JSON, or not a report's
Report report_from_json(const std::string& text);
/// Two runs of one scenario side by side, as text.
std::string comparison_of(const Report& a, const Report& b);

}  // namespace elmbay::simulation
