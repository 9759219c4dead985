#include "balancer/learned_state_validation.hpp"

#include <algorithm>

namespace elmbay::balancer {

namespace {

constexpr double kDay = 24 * 3600 * 1000.0, kMaxMean = 100, kMaxSamples = 10, kMaxPlaces = 100000;
constexpr double kMaxCarried = 10000, kMaxRetries = 10, kLongestOut = 10000;
constexpr std::uint32_t kMaxOutcomes = 20;

// Not a number compares false: it is out of every range.
bool within(double figure, double least, double most) { return figure >= least && figure <= most; }

void mend(double& figure, double least, double most, double unknown) {
    if (!within(figure, least, most)) figure = unknown;
}

void mend(DecayedMean& k) {
    if (!within(k.value, 0, kMaxMean) || !within(k.weight, 0, kMaxSamples) ||
        !within(k.last_sample_age_ms, 0, kDay))
        k = {0, 0, kDay};
}

}  // namespace

LearnedState sanitize(LearnedState k) {
    if (k.servers.size() > kMaxSavedServers) k.servers.resize(kMaxSavedServers);
    for (LearnedServerState& s : k.servers) {
        if (!within(s.online_since, 0, 1e15)) s.online_since = -1;  // of no process that there can be
        if (s.outcome_count > kMaxOutcomes) s.outcome_count = s.outcome_bits = 0;
        if (s.ejection_remaining_ms && !within(*s.ejection_remaining_ms, 0, kLongestOut))
            s.ejection_remaining_ms.reset();
        mend(s.slow_start_tokens, -1, 1, 1);
    }
    mend(k.load_ratio);
    mend(k.concurrency_limit, 0, kMaxPlaces, 0);
    mend(k.learned_limit, 0, kMaxPlaces, 0);
    mend(k.servers_behind_learned_limit, 0, kMaxPlaces, 0);
    mend(k.completion_rate, 0, kMaxCarried, 0);
    mend(k.retries_left, 0, kMaxRetries, 0);
    return k;
}

}  // namespace elmbay::balancer
