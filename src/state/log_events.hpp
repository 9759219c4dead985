/// @file
/// Log lines of the state: one event a line, `component=state event=NAME key=value ...`. Values that are
/// words are quoted, with `"`, `\` and control characters escaped: what a file says can't make a second line.
/// Pure functions.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "state/snapshot_store.hpp"
#include "state/snapshot_writer.hpp"

namespace elmbay::state {

/// A line for each thing that a load at the start passed over or failed on; none if all is well.
std::vector<std::string> format_load_events(const LoadResult& result, const std::string& directory);
/// The line for a shutdown that did not wait for the last write any longer.
std::string format_final_write_abandoned_event(std::chrono::milliseconds timeout);

/// One line when writes begin to fail or hang, and one when they work again, whatever happens in between. One
/// thread at a time.
class WriteFailureLog {
public:
    /// Failures that begin at the start are logged by format_load_events(): only their end is logged here.
    void record_start(const SnapshotWriter::Status& status);
    /// The status as it is now, to be looked at between any two saves. The line to log, if any.
    std::optional<std::string> observe(const SnapshotWriter::Status& status);

private:
    bool failing_ = false;
    std::uint64_t failures_before_ = 0;  // failed saves before the failures at hand
};

}  // namespace elmbay::state
