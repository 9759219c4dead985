/// @file
/// Log lines of the assembly (format: base/log_line.hpp), and the limits on how often they appear. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "base/timing.hpp"
#include "cluster/member_table.hpp"

namespace elmbay {

/// `[cluster]` is on, but the deployment's settings forbid messages between sidecars.
std::string cluster_not_allowed_event();

/// One line for each change of a cluster member, with a bound: a partition of hundreds must not fill the log.
/// Not thread-safe.
class MemberChangeLog {
public:
    /// Lines per second. The last of them says that the rest of its second is suppressed.
    static constexpr std::size_t kMaxPerSecond = 20;

    /// @return the line to log, if there is one.
    std::optional<std::string> observe(const cluster::MemberChange& change);

private:
    std::size_t changes_this_second_ = 0;
    Millis second_began_at_ = 0;
};

/// One line when an endpoint list has more servers than are kept. Not thread-safe.
class SkippedServersLog {
public:
    /// Milliseconds between two lines: each list of an oversized fleet has too many servers.
    static constexpr Millis kMinInterval = 60000;

    /// @param skipped servers of the list that were not taken over; may be 0.
    /// @return the line to log, if there is one.
    std::optional<std::string> observe(Millis now, std::size_t skipped);

private:
    std::optional<Millis> last_logged_at_;
};

}  // namespace elmbay
