// What a load had to say, for comparisons and for the messages of tests.
#pragma once

#include <string>

#include "state/snapshot_store.hpp"

namespace elmbay::state::test {

// The error, and the notes, apart by "; "; empty: all is well.
inline std::string text_of(const LoadResult& loaded) {
    std::string text = loaded.error ? loaded.error.message() : "";
    for (const LoadNote& note : loaded.notes)
        text += (text.empty() ? "" : "; ") + note.file + ": " + note.text;
    return text;
}

}  // namespace elmbay::state::test
