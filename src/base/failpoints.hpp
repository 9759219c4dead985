/// @file
/// Failpoints: faults in the program itself, to prove that the tests of many processes find them.
///
/// Only a build with ELMBAY_FAILPOINTS (tests/process_testbed's own) has any. In every other build
/// failpoint_enabled() is a constant false, and the compiler removes what it guards.
#pragma once

#ifdef ELMBAY_FAILPOINTS
#include <cstdlib>
#include <string_view>
#endif

namespace elmbay {

#ifdef ELMBAY_FAILPOINTS
/// Whether the environment variable ELMBAY_PLANT names this failpoint. It is read once.
inline bool failpoint_enabled(std::string_view name) {
    static const char* const enabled_name = std::getenv("ELMBAY_PLANT");
    return enabled_name && name == enabled_name;
}
#else
/// Never: this build has no failpoints.
constexpr bool failpoint_enabled(const char* /*name*/) { return false; }
#endif

}  // namespace elmbay
