/// \file
/// The schedule of a scenario: every change that a driver carries out, and every notice of the endpoint list.
/// Both follow from the file and its seed alone, before anything runs.
#pragma once

#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// What a step changes. Kinds from sidecar_kill on are about sidecars.
enum class StepKind {
    freeze,           ///< The server makes no progress for `value` ms.
    noisy_neighbour,  ///< `value` is the share of the machine that is taken from now on.
    fail_fast,        ///< `value` is the share of requests that fail from now on.
    unresponsive,     ///< 1: accepts requests and answers none. 0: no longer.
    drain,            ///< The server is asked to drain.
    stop,             ///< The server's process ends.
    cut_off,          ///< The server's machine falls silent.
    start,            ///< A server's process starts cold.
    sidecar_kill,
    sidecar_start,
    sidecar_restart,
    sidecar_reload,
    sidecar_pause,
    sidecar_resume,
    sidecar_cpu_share,  ///< `value` is the share of a core that it gets from now on. 1: no limit.
    sidecar_replace,    ///< Restarted with the build or settings of fault number `value`, counted from 0.
    sidecar_restore     ///< Restarted as it was before sidecar_replace.
};
/// The kind's name in event logs and reports.
const char* name_of(StepKind kind);

/// One change of one server or sidecar.
struct TimelineStep {
    Millis at = 0;
    StepKind kind = StepKind::freeze;
    std::uint32_t target = 0;  ///< Number of a server or sidecar.
    double value = 0;          ///< By kind.
    bool targets_sidecar() const { return kind >= StepKind::sidecar_kill; }
};

/// All steps in order of time. Those of one moment stand in the order of the file.
std::vector<TimelineStep> build_timeline(const Scenario& scenario);
/// The step as a line of an event log.
std::string text_of(const TimelineStep& step);

/// One change of the endpoint list.
struct EndpointNotice {
    Millis at = 0;  ///< When the registry has it. Each sidecar gets it notice_skew() later.
    std::uint32_t server = 0;
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  ///< 0: since before the scenario began.
};

/// All notices in order of time. Those about one server stay in the order of its changes.
std::vector<EndpointNotice> build_notices(const Scenario& scenario, const std::vector<TimelineStep>& steps);
/// How much later than the registry a sidecar gets each notice.
Millis notice_skew(const Scenario& scenario, std::uint32_t sidecar);

/// Multiple of the usual request rate at a time: the product of all load surges.
double load_multiple_at(const Scenario& scenario, Millis at);
/// Multiple of the usual request rate due to one fault: 1 for other kinds, and while it is not active.
double load_multiple_of(const Scenario& scenario, const FaultSpec& fault, Millis at);

}  // namespace elmbay::simulation
