/// @file
/// The balancer's source of random numbers: seeded, and the same with every standard library.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmbay::balancer {

/// SplitMix64 (Steele, Lea and Flood 2014). The standard library's distributions are not used, as they differ
/// from one library to the next, and the same seed and events must give the same actions everywhere.
///
/// Not for secrets. Not thread-safe.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}

    /// Uniform in [0, 1), with the 53 bits that a double holds.
    double uniform() { return static_cast<double>(next() >> kDiscardedBits) * kUnitStep; }

    /// Uniform in [0, n). 0 if n is 0.
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(uniform() * static_cast<double>(n)); }

    /// Uniform over all 64-bit numbers.
    std::uint64_t next() {
        state_ += kIncrement;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * kFirstMultiplier;
        mixed = (mixed ^ (mixed >> 27)) * kSecondMultiplier;
        return mixed ^ (mixed >> 31);
    }

private:
    // The algorithm's own constants; the shifts above belong to them.
    static constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;  // 2^64 divided by the golden ratio
    static constexpr std::uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9;
    static constexpr std::uint64_t kSecondMultiplier = 0x94d049bb133111eb;

    static constexpr unsigned kDiscardedBits = 64 - 53;  // a double's significand has 53
    static constexpr double kUnitStep = 0x1.0p-53;

    std::uint64_t state_;
};

}  // namespace elmbay::balancer
