// Chaos runs: run a schedule of faults on sidecar processes and report whether every invariant held.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "process_testbed/fault_schedule.hpp"
#include "process_testbed/testbed_options.hpp"

namespace elmbay::process_testbed {

/// A schedule refers to a sidecar or a server that the testbed does not have.
class ScheduleRangeError : public std::invalid_argument {
public:
    ScheduleRangeError()
        : std::invalid_argument(
              "invalid schedule: a step refers to a sidecar or server that the testbed does not have") {}
};

/// The result of a chaos run.
struct ChaosResult {
    bool passed = true;          ///< whether no invariant was violated and no descriptor leaked
    std::string explanation;     ///< if not passed: the violations, and the events of the processes involved
    std::uint64_t requests = 0;  ///< number of requests that clients sent
    std::uint64_t served = 0;    ///< number of requests that were served
};

/// Starts a testbed, runs the schedule, removes all faults, resumes all processes and waits for all outcomes.
///
/// Blocks until then. All processes have ended when it returns.
/// @throws ScheduleRangeError
/// @throws SidecarNotReady if a sidecar does not become ready.
ChaosResult run_schedule(const Options& options, const Schedule& schedule);

}  // namespace elmbay::process_testbed
