// Chaos runs: plays a schedule of faults on processes and says whether every rule was kept.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "process_testbed/fault_schedule.hpp"
#include "process_testbed/testbed_options.hpp"

namespace elmbay::process_testbed {

/// A schedule names a sidecar or a server that the testbed does not have.
class ScheduleRangeError : public std::invalid_argument {
public:
    ScheduleRangeError() : std::invalid_argument("the schedule names more than the fleet has") {}
};

/// What a chaos run found.
struct ChaosResult {
    bool passed = true;          ///< whether no rule was broken and no descriptor leaked
    std::string explanation;     ///< if not kept: what was broken, and the events of whom it concerns
    std::uint64_t requests = 0;  ///< how many clients sent
    std::uint64_t served = 0;    ///< how many of them were served
};

/// Starts a testbed, carries the schedule out, heals and thaws everything and waits for all outcomes.
///
/// Blocks until then. All processes have ended when it returns.
/// @throws ScheduleRangeError
/// @throws SidecarNotReady if the program does not start.
ChaosResult run_schedule(const Options& options, const Schedule& schedule);

}  // namespace elmbay::process_testbed
