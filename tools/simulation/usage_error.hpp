/// \file
/// The error of a person who uses the program: exit code 2.
#pragma once

#include <stdexcept>

namespace elmbay::simulation {

/// Arguments that make no sense together, or name something that is not there.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace elmbay::simulation
