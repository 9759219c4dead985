// One line when writes begin to fail or hang, and one when they work again, whatever happens in between.
#pragma once

#include <optional>
#include <string>

#include "state/snapshot_writer.hpp"

namespace elmbay::state {

class WriteFailureLog {
public:
    // The status as it is now, to be looked at between any two saves. What is to be said, if anything.
    std::optional<std::string> observe(const SnapshotWriter::Status& status);
    // A spell that begins with the start is told with what start() gave: only its end is said.
    void begun(const SnapshotWriter::Status& status);

private:
    bool failing_ = false;
};

}  // namespace elmbay::state
