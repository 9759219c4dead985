// This machine's clocks.
#pragma once

#include "state/snapshot.hpp"

namespace elmbay::state {

// Now; boot is all zero where the machine does not tell.
Moment moment_now();

}  // namespace elmbay::state
