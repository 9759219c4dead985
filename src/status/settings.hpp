// [status] and [proof] of the operator's file.
#pragma once

#include <string>

#include "base/timing.hpp"

namespace elmbay {

struct StatusSettings {
    std::string socket;  // path of a Unix socket; empty: nothing listens
};

// For tests of many processes only.
struct ProofSettings {
    Millis clock_ahead = 0, clock_behind = 0;  // of this program's own clock against the machine's
    Millis clock_off() const { return clock_ahead - clock_behind; }
};

}  // namespace elmbay
