// Chance for simulations: every draw is keyed by what it is for, not by when it is made, so that the same
// file and seed give the same work to the same request whatever else happened before.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

#include "base/random.hpp"

namespace elmbay::simulation {

using balancer::Random;

// What a stream of draws is for. Two purposes never share numbers.
enum class StreamPurpose : std::uint64_t {
    arrivals = 1,
    work,
    attempt_work,
    fast_failure,
    latency,
    server_speed,
    target_selection,
    early_disconnect,
    notice_delay,
    balancer,
    backoff,
    membership_agent,
    fault_schedule
};

// A stream of its own for each seed, purpose and pair of names.
inline Random random_stream(std::uint64_t seed, StreamPurpose purpose, std::uint64_t a = 0,
                            std::uint64_t b = 0) {
    std::uint64_t state = Random(seed).next();
    for (const std::uint64_t part : {static_cast<std::uint64_t>(purpose), a, b})
        state = Random(state ^ (part * 0x9e3779b97f4a7c15ULL)).next();
    return Random(state);
}

// Of a text: FNV-1a, 64 bits. Names streams after names, and sums up event logs.
inline constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
inline std::uint64_t fnv1a(std::string_view text, std::uint64_t state = kFnvOffsetBasis) {
    for (const unsigned char c : text) state = (state ^ c) * 0x100000001b3ULL;
    return state;
}

inline double exponential(Random& random, double mean) { return -mean * std::log1p(-random.uniform()); }

inline double normal(Random& random) {
    const double radius = std::sqrt(-2 * std::log1p(-random.uniform()));
    return radius * std::cos(2 * 3.14159265358979323846 * random.uniform());
}

// With this mean and coefficient of variation.
inline double lognormal(Random& random, double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(variance) * normal(random) - variance / 2);
}

inline double uniform(Random& random, double low, double high) {
    return low + (high - low) * random.uniform();
}

}  // namespace elmbay::simulation
