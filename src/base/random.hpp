/// @file
/// A seeded random number generator whose output does not depend on the standard library.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmbay::balancer {

/// Generates random numbers with SplitMix64 (Steele, Lea and Flood 2014). The distributions of the standard
/// library are not used, because they differ between implementations, and the same seed and the same events
/// must produce the same actions on every platform.
///
/// Not suitable for cryptography. Not thread-safe.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}

    /// Returns a number that is uniform in [0, 1), with the 53 bits of precision of a double.
    double uniform() { return static_cast<double>(next() >> kDiscardedBits) * kUnitStep; }

    /// Returns an integer that is uniform in [0, bound), or 0 if bound is 0.
    std::size_t below(std::size_t bound) {
        return static_cast<std::size_t>(uniform() * static_cast<double>(bound));
    }

    /// Returns a number that is uniform over all 64-bit numbers.
    std::uint64_t next() {
        state_ += kIncrement;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * kFirstMultiplier;
        mixed = (mixed ^ (mixed >> 27)) * kSecondMultiplier;
        return mixed ^ (mixed >> 31);
    }

private:
    // The constants of SplitMix64, as are the shifts in next().
    static constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;  // 2^64 divided by the golden ratio
    static constexpr std::uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9;
    static constexpr std::uint64_t kSecondMultiplier = 0x94d049bb133111eb;

    static constexpr unsigned kDiscardedBits = 64 - 53;  // the significand of a double has 53 bits
    static constexpr double kUnitStep = 0x1.0p-53;

    std::uint64_t state_;
};

}  // namespace elmbay::balancer
