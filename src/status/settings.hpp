/// @file
/// The settings in sections [status] and [proof] of the operator's file.
#pragma once

#include <string>

#include "base/timing.hpp"

namespace elmbay {

/// The keys of [status].
struct StatusSettings {
    std::string socket;  ///< path of the Unix socket; if empty, no socket is opened
};

/// The keys of [proof]: clock skew, only for tests with many processes.
struct ClockSkewSettings {
    Millis clock_ahead = 0;   ///< milliseconds by which this process's clock is ahead of the host's
    Millis clock_behind = 0;  ///< milliseconds by which this process's clock is behind the host's
    /// @return milliseconds to add to the host's clock.
    Millis clock_offset() const { return clock_ahead - clock_behind; }
};

}  // namespace elmbay
