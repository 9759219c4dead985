/// @file
/// Progress bar of a long run on a terminal.
#pragma once

#include <functional>

namespace elmbay::simulation {

/// Returns a function that draws the completed share, from 0 to 1, on standard error. The function is empty
/// if standard error is not a terminal, or if `quiet` is set.
std::function<void(double)> progress_bar(bool quiet);

}  // namespace elmbay::simulation
