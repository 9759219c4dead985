#include "state/write_failure_log.hpp"

namespace elmbay::state {

namespace {

bool fails(const SnapshotWriter::Status& status) { return status.hangs || !status.last_error.empty(); }

}  // namespace

std::optional<std::string> WriteFailureLog::observe(const SnapshotWriter::Status& status) {
    if (fails(status) == failing_) return {};
    failing_ = !failing_;
    if (!failing_) return "written again";
    return "can't be written: " + (status.hangs ? "the disk hangs" : status.last_error);
}

void WriteFailureLog::begun(const SnapshotWriter::Status& status) { failing_ = fails(status); }

}  // namespace elmbay::state
