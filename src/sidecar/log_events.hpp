/// @file
/// Log lines of the sidecar (format: base/log_line.hpp), and limits on their rate. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "base/timing.hpp"
#include "cluster/member_table.hpp"

namespace elmbay {

/// Returns the log line for an enabled `[cluster]` while the deployment's settings forbid messages between
/// sidecars.
std::string cluster_not_allowed_event();

/// Returns the log line for the moment at which sending is suspended, because discovery has not confirmed the
/// endpoint list of the configuration.
std::string list_unconfirmed_event();

/// Returns the log line for the moment at which sending is resumed, because discovery has confirmed the
/// endpoint list.
std::string list_confirmed_event();

/// Produces one line for each state change of a cluster member, at a limited rate, so that a partition of
/// hundreds of members does not fill the log. Not thread-safe.
class MemberChangeLog {
public:
    /// Maximum number of lines per second. The last one reports that the other lines of its second are
    /// suppressed.
    static constexpr std::size_t kMaxPerSecond = 20;

    /// @return the line to log, or nothing.
    std::optional<std::string> observe(const cluster::MemberChange& change);

private:
    std::size_t changes_this_second_ = 0;
    Millis second_started_at_ = 0;
};

/// Produces one line when the registry skips servers of an endpoint list. Not thread-safe.
class SkippedServersLog {
public:
    /// Minimum interval between two lines, in milliseconds. Without it, each list of an oversized fleet would
    /// be logged.
    static constexpr Millis kMinInterval = 60000;

    /// @param skipped number of servers of the list that were skipped; may be 0.
    /// @return the line to log, or nothing.
    std::optional<std::string> observe(Millis now, std::size_t skipped);

private:
    std::optional<Millis> last_logged_at_;
};

}  // namespace elmbay
