// Formats load results for comparisons and for failure messages of tests.
#pragma once

#include <string>

#include "state/snapshot_store.hpp"

namespace elmbay::state::test {

// Returns the error and the warnings, separated by "; ". Empty if there are none.
inline std::string describe_load(const LoadResult& loaded) {
    std::string text = loaded.error ? loaded.error.message() : "";
    for (const LoadWarning& note : loaded.warnings)
        text += (text.empty() ? "" : "; ") + note.file + ": " + note.text;
    return text;
}

}  // namespace elmbay::state::test
