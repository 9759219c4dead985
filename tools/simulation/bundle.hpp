// The incidents that come with the program.
#pragma once

#include <string>
#include <vector>

namespace elmbay::simulation {

struct Bundled {
    std::string name;
    std::string text;
};
// In order of their names.
const std::vector<Bundled>& bundled();

}  // namespace elmbay::simulation
