/// @file
/// Random numbers of simulations. Each draw is keyed by its purpose and not by the order of draws, so that
/// the same scenario and seed give a request the same work whatever happened before.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

#include "base/random.hpp"

namespace elmbay::simulation {

using balancer::Random;

/// The purpose of a stream of draws. Streams of different purposes are independent of each other.
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

/// Returns the generator for a seed, a purpose and up to two keys, such as numbers of requests and servers.
inline Random random_stream(std::uint64_t seed, StreamPurpose purpose, std::uint64_t first_key = 0,
                            std::uint64_t second_key = 0) {
    std::uint64_t state = Random(seed).next();
    for (const std::uint64_t key : {static_cast<std::uint64_t>(purpose), first_key, second_key})
        state = Random(state ^ (key * 0x9e3779b97f4a7c15ULL)).next();
    return Random(state);
}

/// Hashes a text with FNV-1a, 64 bits. It makes stream keys from names, and checksums of event logs.
inline constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
inline std::uint64_t fnv1a(std::string_view text, std::uint64_t state = kFnvOffsetBasis) {
    for (const unsigned char byte : text) state = (state ^ byte) * 0x100000001b3ULL;
    return state;
}

/// Draws from an exponential distribution.
inline double exponential(Random& random, double mean) { return -mean * std::log1p(-random.uniform()); }

/// Draws from the standard normal distribution (Box-Muller).
inline double normal(Random& random) {
    const double radius = std::sqrt(-2 * std::log1p(-random.uniform()));
    return radius * std::cos(2 * 3.14159265358979323846 * random.uniform());
}

/// Draws from a log-normal distribution with this mean and coefficient of variation.
inline double lognormal(Random& random, double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(variance) * normal(random) - variance / 2);
}

inline double uniform(Random& random, double low, double high) {
    return low + (high - low) * random.uniform();
}

}  // namespace elmbay::simulation
