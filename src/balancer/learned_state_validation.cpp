#include "balancer/learned_state_validation.hpp"

#include <algorithm>
#include <cstdint>

namespace elmbay::balancer {

namespace {

// The ranges documented in learned_state.hpp.
constexpr double kMaxSampleAge = 24 * 3600 * 1000.0;  // one day in milliseconds
constexpr double kMaxMean = 100;
constexpr double kMaxWeight = 10;
constexpr double kMaxAttempts = 100000;
constexpr double kMaxCompletionRate = 10000;  // requests per millisecond
constexpr double kMaxRetries = 10;
constexpr double kMaxEjectionTime = 10000;  // milliseconds
constexpr double kMaxTokens = 1;
constexpr double kMaxStartTime = 1e15;  // Unix milliseconds
constexpr std::uint32_t kMaxOutcomes = 20;

// Matches the start time of no server, so that only the tokens of the record are restored.
constexpr double kUnknownStartTime = -1;

// Returns false if the value is not a number.
bool is_within(double value, double minimum, double maximum) { return value >= minimum && value <= maximum; }

void sanitize(double& value, double minimum, double maximum, double fallback) {
    if (!is_within(value, minimum, maximum)) value = fallback;
}

void sanitize(DecayedMean& mean) {
    const bool is_valid = is_within(mean.value, 0, kMaxMean) && is_within(mean.weight, 0, kMaxWeight) &&
                          is_within(mean.last_sample_age_ms, 0, kMaxSampleAge);
    if (!is_valid) mean = {0, 0, kMaxSampleAge};
}

void sanitize(LearnedServerState& server) {
    sanitize(server.online_since, 0, kMaxStartTime, kUnknownStartTime);
    if (server.outcome_count > kMaxOutcomes) {
        server.outcome_count = 0;
        server.outcome_bits = 0;
    }
    const bool has_ejection = server.ejection_remaining_ms.has_value();
    if (has_ejection && !is_within(*server.ejection_remaining_ms, 0, kMaxEjectionTime)) {
        server.ejection_remaining_ms.reset();
    }
    sanitize(server.slow_start_tokens, -kMaxTokens, kMaxTokens, kMaxTokens);
}

}  // namespace

LearnedState sanitize(LearnedState learned_state) {
    if (learned_state.servers.size() > kMaxSavedServers) learned_state.servers.resize(kMaxSavedServers);
    for (LearnedServerState& server : learned_state.servers) sanitize(server);
    sanitize(learned_state.load_ratio);
    sanitize(learned_state.concurrency_limit, 0, kMaxAttempts, 0);
    sanitize(learned_state.learned_limit, 0, kMaxAttempts, 0);
    sanitize(learned_state.learned_limit_warm_servers, 0, kMaxAttempts, 0);
    sanitize(learned_state.completion_rate, 0, kMaxCompletionRate, 0);
    sanitize(learned_state.retries_left, 0, kMaxRetries, 0);
    return learned_state;
}

}  // namespace elmbay::balancer
