/// @file
/// Failpoints: deliberate faults in the program, which prove that the multi-process tests detect such faults.
///
/// Only builds with ELMBAY_FAILPOINTS, which tests/process_testbed makes, contain failpoints. In every other
/// build failpoint_enabled() is always false, and the compiler removes the code that it guards.
#pragma once

#ifdef ELMBAY_FAILPOINTS
#include <cstdlib>
#include <string_view>
#endif

namespace elmbay {

#ifdef ELMBAY_FAILPOINTS
/// Returns whether the environment variable ELMBAY_PLANT names this failpoint. The variable is read once.
inline bool failpoint_enabled(std::string_view name) {
    static const char* const enabled_name = std::getenv("ELMBAY_PLANT");
    return enabled_name && name == enabled_name;
}
#else
/// Always returns false, because this build has no failpoints.
constexpr bool failpoint_enabled(const char* /*name*/) { return false; }
#endif

}  // namespace elmbay
