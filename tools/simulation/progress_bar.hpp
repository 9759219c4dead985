/// \file
/// Progress of a long run, for a person who waits.
#pragma once

#include <functional>

namespace elmbay::simulation {

/// A function that draws the share that is done on standard error. Empty if that is no terminal, or if
/// `quiet`.
std::function<void(double)> progress_bar(bool quiet);

}  // namespace elmbay::simulation
