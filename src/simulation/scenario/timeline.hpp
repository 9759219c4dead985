/// @file
/// The schedule of a scenario: every change that a driver applies, and every notice of the endpoint list.
/// Both are computed from the file and its seed before the run.
#pragma once

#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Kinds of steps. The kinds from sidecar_kill on target sidecars.
enum class StepKind {
    freeze,           ///< The server makes no progress for `value` ms.
    noisy_neighbour,  ///< Another program uses the share `value` of the machine from now on.
    fail_fast,        ///< The share `value` of the requests fails from now on.
    unresponsive,     ///< `value` 1: the server accepts requests and sends no response. 0: it responds again.
    drain,            ///< The server starts draining.
    stop,             ///< The server process ends.
    cut_off,          ///< The server's machine stops sending.
    start,            ///< A server process starts cold.
    sidecar_kill,
    sidecar_start,
    sidecar_restart,
    sidecar_reload,
    sidecar_pause,
    sidecar_resume,
    sidecar_cpu_share,  ///< The sidecar has the share `value` of a core from now on. 1: no limit.
    sidecar_replace,    ///< The sidecar is restarted with the build or settings of fault number `value`,
                        ///< counted from 0.
    sidecar_restore     ///< The sidecar is restarted with its build and settings from before sidecar_replace.
};
/// Returns the name of the kind in event logs and reports.
const char* name_of(StepKind kind);

/// One change of one server or sidecar.
struct TimelineStep {
    Millis at = 0;
    StepKind kind = StepKind::freeze;
    std::uint32_t target = 0;  ///< Number of a server or sidecar.
    double value = 0;          ///< Meaning depends on the kind.
    bool targets_sidecar() const { return kind >= StepKind::sidecar_kill; }
};

/// Returns all steps in chronological order. Simultaneous steps are in the order of the file.
std::vector<TimelineStep> build_timeline(const Scenario& scenario);
/// Returns the step as a line of the event log.
std::string text_of(const TimelineStep& step);

/// One change of the endpoint list.
struct EndpointNotice {
    /// Time when the registry publishes the notice. Each sidecar receives it notice_skew() later.
    Millis at = 0;
    std::uint32_t server = 0;
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  ///< 0: the server started before the scenario.
};

/// Returns all notices in chronological order. The notices of one server are in the order of its changes.
std::vector<EndpointNotice> build_notices(const Scenario& scenario, const std::vector<TimelineStep>& steps);
/// Returns the delay from publication by the registry to receipt by the sidecar, the same for every notice.
Millis notice_skew(const Scenario& scenario, std::uint32_t sidecar);

/// Returns the factor on the usual request rate at time `at`: the product over all load surges.
double load_multiple_at(const Scenario& scenario, Millis at);
/// Returns the factor of one fault on the usual request rate: 1 for other kinds, and while the fault is not
/// active.
double load_multiple_of(const Scenario& scenario, const FaultSpec& fault, Millis at);

}  // namespace elmbay::simulation
