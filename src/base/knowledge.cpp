#include "base/knowledge.hpp"

#include <algorithm>

namespace elmbay::balancer {

namespace {

constexpr double kDay = 24 * 3600 * 1000.0, kMostMean = 100, kMostSamples = 10, kMostPlaces = 100000;
constexpr double kMostCarried = 10000, kMostRetries = 10, kLongestOut = 10000;
constexpr std::uint32_t kMostOutcomes = 20;

// Not a number compares false: it is out of every range.
bool within(double figure, double least, double most) { return figure >= least && figure <= most; }

void mend(double& figure, double least, double most, double unknown) {
    if (!within(figure, least, most)) figure = unknown;
}

void mend(FadingKnowledge& k) {
    if (!within(k.value, 0, kMostMean) || !within(k.weight, 0, kMostSamples) || !within(k.since, 0, kDay))
        k = {0, 0, kDay};
}

}  // namespace

Knowledge sound(Knowledge k) {
    if (k.servers.size() > kMostRememberedServers) k.servers.resize(kMostRememberedServers);
    for (ServerKnowledge& s : k.servers) {
        if (!within(s.online_since, 0, 1e15)) s.online_since = -1;  // of no process that there can be
        if (s.seen > kMostOutcomes) s.seen = s.outcomes = 0;
        if (s.out_ms && !within(*s.out_ms, 0, kLongestOut)) s.out_ms.reset();
        mend(s.tokens, -1, 1, 1);
    }
    mend(k.crowd);
    mend(k.room, 0, kMostPlaces, 0);
    mend(k.learned, 0, kMostPlaces, 0);
    mend(k.taught_by, 0, kMostPlaces, 0);
    mend(k.carried, 0, kMostCarried, 0);
    mend(k.retries_left, 0, kMostRetries, 0);
    return k;
}

}  // namespace elmbay::balancer
