/// @file
/// [status] and [proof] of the operator's file.
#pragma once

#include <string>

#include "base/timing.hpp"

namespace elmbay {

/// The keys of [status].
struct StatusSettings {
    std::string socket;  ///< path of a Unix socket; empty: nothing listens
};

/// The keys of [proof]: clock skew, for tests of many processes only.
struct ClockSkewSettings {
    Millis clock_ahead = 0;   ///< milliseconds by which this process's clock is ahead of the machine's
    Millis clock_behind = 0;  ///< milliseconds by which it is behind
    /// @return milliseconds to add to the machine's clock.
    Millis clock_offset() const { return clock_ahead - clock_behind; }
};

}  // namespace elmbay
