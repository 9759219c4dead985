/// @file
/// Access to environment variables, for load_config() and reload_config().
#pragma once

#include <cstdlib>

namespace elmbay {

/// @return the value of the environment variable; nullptr if it is not set.
inline const char* environment_variable(const char* name) { return std::getenv(name); }

}  // namespace elmbay
