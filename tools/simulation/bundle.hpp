/// @file
/// The scenarios that are part of the program. CMake generates the definition from scenarios/*.toml.
#pragma once

#include <string>
#include <vector>

namespace elmbay::simulation {

/// A scenario file, named without ".toml".
struct BundledScenario {
    std::string name;
    std::string text;
};

/// Returns all bundled scenarios in order of their names.
const std::vector<BundledScenario>& bundled_scenarios();

}  // namespace elmbay::simulation
