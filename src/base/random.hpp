// The one source of chance: seeded, and the same with every standard library.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmbay::balancer {

// SplitMix64: the same numbers with every standard library.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }

private:
    std::uint64_t state_;
};

}  // namespace elmbay::balancer
