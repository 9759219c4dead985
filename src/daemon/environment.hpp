/// @file
/// The process's environment, as load_config() and reload_config() read it.
#pragma once

#include <cstdlib>

namespace elmbay {

/// @return the value; nullptr if the variable is not set.
inline const char* environment_variable(const char* name) { return std::getenv(name); }

}  // namespace elmbay
