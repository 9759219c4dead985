#include "progress_bar.hpp"

#include <unistd.h>

#include <iostream>
#include <string>

namespace elmbay::simulation {

namespace {

constexpr int kWidth = 40;

void draw(double share) {
    const int filled = static_cast<int>(share * kWidth);
    std::cerr << "\r[" << std::string(static_cast<std::size_t>(filled), '=')
              << std::string(static_cast<std::size_t>(kWidth - filled), ' ') << "] "
              << static_cast<int>(share * 100) << "% " << (share >= 1 ? "\n" : "") << std::flush;
}

}  // namespace

std::function<void(double)> progress_bar(bool quiet) {
    if (quiet || ::isatty(STDERR_FILENO) == 0) return {};
    return draw;
}

}  // namespace elmbay::simulation
