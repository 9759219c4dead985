/// @file
/// Error of a wrong use of the program, which gives exit code 2.
#pragma once

#include <stdexcept>

namespace elmbay::simulation {

/// Arguments that contradict each other, or that name a file or scenario that does not exist.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace elmbay::simulation
