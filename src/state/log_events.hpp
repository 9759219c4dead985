/// @file
/// Formats log lines about snapshots, one event per line: `component=state event=NAME key=value ...`. Text
/// values are quoted, and `"`, `\` and control characters are escaped, so that text from a file cannot start
/// a second line. Nothing here performs I/O.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "state/snapshot_store.hpp"
#include "state/snapshot_writer.hpp"

namespace elmbay::state {

/// Returns one log line for the error and for each warning of the load at the start of the process. Empty if
/// the load had none.
std::vector<std::string> format_load_events(const LoadResult& result, const std::string& directory);
/// Returns the log line for a shutdown that stopped waiting for the last write after `timeout`.
std::string format_final_write_abandoned_event(std::chrono::milliseconds timeout);

/// Reduces the writer's status to one log line when writes begin to fail or hang, and one when they succeed
/// again. Further failures in between are not logged. Not thread-safe.
class WriteFailureLog {
public:
    /// Records the status right after SnapshotWriter::start(). format_load_events() reports a failure of the
    /// start, so this class logs only the recovery from it.
    void record_start(const SnapshotWriter::Status& status);
    /// Compares the current status with the previous one and returns the line to log, if any. To be called at
    /// least once between two saves.
    std::optional<std::string> observe(const SnapshotWriter::Status& status);

private:
    bool failing_ = false;
    std::uint64_t failed_saves_when_healthy_ = 0;  // Status::failed_saves when writes last succeeded
};

}  // namespace elmbay::state
