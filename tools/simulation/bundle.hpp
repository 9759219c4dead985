/// \file
/// The scenarios that are part of the program. CMake generates the definition from scenarios/*.toml.
#pragma once

#include <string>
#include <vector>

namespace elmbay::simulation {

/// A scenario file by its name, without ".toml".
struct BundledScenario {
    std::string name;
    std::string text;
};

/// All of them in order of their names.
const std::vector<BundledScenario>& bundled_scenarios();

}  // namespace elmbay::simulation
