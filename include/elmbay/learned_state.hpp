// What a Balancer has learned, as a value: taken from one run of a sidecar (Balancer::learned_state) and
// given to the next one (event StateRestored). Servers are named by the caller's integers, as everywhere.
//
// Times are spans before the moment at which the value was taken, so it needs no clock. A field that is not
// finite or is out of the range stated here is treated as not known. Nothing that a file holds can make the
// module break a rule, keep requests from a healthy server or throw.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace elmbay::balancer {

/// A mean in which samples count less the older they are.
struct DecayedMean {
    /// The mean itself, 0 to 100. Its unit is that of the field that holds it.
    double value = 0;
    /// The number of samples that the mean is worth, 0 to 10. At 0 nothing is known.
    double weight = 0;
    /// How long ago the last sample came: milliseconds, 0 to a day.
    double last_sample_age_ms = 0;
};

/// What is known of one process of one server.
struct LearnedServerState {
    /// The server, by the caller's integer.
    std::uint32_t server = 0;
    /// When the process started that this was learned of, as in ServerInfo::online_since: milliseconds, 0 to
    /// 1e15. The record is only used for the same process.
    double online_since = 0;
    /// The last outcomes, one bit each; 1 is a success and the newest is the lowest bit.
    std::uint32_t outcome_bits = 0;
    /// How many of those bits are in use, 0 to 20.
    std::uint32_t outcome_count = 0;
    /// How much longer the server was to stay ejected: milliseconds, 0 to 10,000. None if it was not ejected.
    std::optional<double> ejection_remaining_ms;
    /// Requests that the server might still take if it was in slow start, -1 to 1.
    double slow_start_tokens = 1;
};

/// What one sidecar has learned of its servers and of the load on them.
struct LearnedState {
    /// The servers, each once.
    std::vector<LearnedServerState> servers;
    /// Mean response time of warm servers, as a multiple of the latency objective.
    DecayedMean load_ratio;
    /// Attempts that might be in flight at warm servers, 0 to 100,000. At 0 it is not known.
    double concurrency_limit = 0;
    /// The largest concurrency at which responses were seen to meet the target, 0 to 100,000 attempts.
    double learned_limit = 0;
    /// Warm servers that carried learned_limit, 0 to 100,000, in the mean.
    double learned_limit_warm_servers = 0;
    /// Requests per millisecond that warm servers completed for this sidecar, 0 to 10,000.
    double completion_rate = 0;
    /// Retries that the retry budget still allowed, 0 to 10.
    double retries_left = 10;
};

}  // namespace elmbay::balancer
