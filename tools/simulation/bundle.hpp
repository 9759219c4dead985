// The scenarios that come with the program.
#pragma once

#include <string>
#include <vector>

namespace elmbay::simulation {

struct BundledScenario {
    std::string name;
    std::string text;
};
// In order of their names.
const std::vector<BundledScenario>& bundled();

}  // namespace elmbay::simulation
