// What the scenario file says, laid out in time: every single change that a driver carries out, and every
// notice that the registry gives. Both are fixed by file and seed alone, before anything runs.
#pragma once

#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

enum class StepKind {
    freeze,           // stands still for `value` ms
    noisy_neighbour,  // `value` of the machine is taken from now on
    fail_fast,        // `value` of the requests fail from now on
    unresponsive,     // 1: accepts and answers none; 0: no longer
    drain,            // has been told to end
    stop,             // the process ends
    cut_off,          // the machine is cut off
    start,            // a process begins, cold
    sidecar_kill,
    sidecar_start,
    sidecar_restart,
    sidecar_reload,
    sidecar_pause,
    sidecar_resume,
    sidecar_cpu_share,  // `value` of its core from now on; 1: all
    sidecar_replace,    // restarted with the build or settings of fault number `value`
    sidecar_restore     // restarted as it was
};
const char* name_of(StepKind change);

struct TimelineStep {
    Millis at = 0;
    StepKind kind = StepKind::freeze;
    std::uint32_t target = 0;
    double value = 0;
    bool targets_sidecar() const { return kind >= StepKind::sidecar_kill; }
};
// In order of time, then of the file.
std::vector<TimelineStep> timeline(const Scenario& scenario);
std::string text_of(const TimelineStep& step);

// One change of the list. at: when the registry knows it; a sidecar is told spread_of() later.
struct EndpointNotice {
    Millis at = 0;
    std::uint32_t server = 0;
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  // 0: since before the start
};
// In order of time. What is told of one server stays in the order in which it happened.
std::vector<EndpointNotice> build_notices(const Scenario& scenario, const std::vector<TimelineStep>& steps);
Millis spread_of(const Scenario& scenario, std::uint32_t sidecar);

// The rate that clients ask at, as a multiple of the usual one: faults of kind load together.
double load_multiple_at(const Scenario& scenario, Millis at);
// Of one of them alone; 1 while it does not hold.
double load_multiple_of(const Scenario& scenario, const FaultSpec& fault, Millis at);

}  // namespace elmbay::simulation
