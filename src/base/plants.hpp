// Faults planted on purpose, to prove that the tests of many processes find them. Only a build with
// ELMBAY_PLANTS (tests/fleet's own) knows any; in every other planted() is false for the compiler.
#pragma once

#ifdef ELMBAY_PLANTS
#include <cstdlib>
#include <string_view>
#endif

namespace elmbay {

#ifdef ELMBAY_PLANTS
inline bool planted(std::string_view which) {
    static const char* const chosen = std::getenv("ELMBAY_PLANT");
    return chosen && which == chosen;
}
#else
constexpr bool planted(const char*) { return false; }
#endif

}  // namespace elmbay
