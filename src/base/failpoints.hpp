// Faults planted on purpose, to prove that the tests of many processes find them. Only a build with
// ELMBAY_FAILPOINTS (tests/process_testbed's own) knows any; in every other failpoint_enabled() is false for
// the compiler.
#pragma once

#ifdef ELMBAY_FAILPOINTS
#include <cstdlib>
#include <string_view>
#endif

namespace elmbay {

#ifdef ELMBAY_FAILPOINTS
inline bool failpoint_enabled(std::string_view which) {
    static const char* const chosen = std::getenv("ELMBAY_PLANT");
    return chosen && which == chosen;
}
#else
constexpr bool failpoint_enabled(const char*) { return false; }
#endif

}  // namespace elmbay
