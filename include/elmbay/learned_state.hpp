// The learned state of a Balancer as a value: saved by one run of a sidecar (Balancer::learned_state) and
// passed to the next run (event StateRestored). Servers are identified by the caller's integers, as in
// balancer.hpp.
//
// Times are durations before the moment at which the state was saved, so the state needs no clock. A field
// that is not finite or is outside its documented range is treated as unknown. No file content can make the
// module violate a rule, withhold requests from a healthy server or throw an exception.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace elmbay::balancer {

/// A mean in which older samples have less weight.
struct DecayedMean {
    /// The mean, 0 to 100, in the unit of the field that holds it.
    double value = 0;
    /// The total weight of the samples, 0 to 10. At 0 the mean is unknown.
    double weight = 0;
    /// The age of the last sample: milliseconds, 0 to one day.
    double last_sample_age_ms = 0;
};

/// The learned state of one process of one server.
struct LearnedServerState {
    /// The server's identifier.
    std::uint32_t server = 0;
    /// The start time of the process, as in ServerInfo::online_since: milliseconds, 0 to 1e15. The record
    /// applies only to the same process.
    double online_since = 0;
    /// The last outcomes, one bit each: 1 is a success, and the lowest bit is the newest outcome.
    std::uint32_t outcome_bits = 0;
    /// The number of bits in use, 0 to 20.
    std::uint32_t outcome_count = 0;
    /// The remaining ejection time: milliseconds, 0 to 10,000. Absent if the server was not ejected.
    std::optional<double> ejection_remaining_ms;
    /// The slow start tokens of the server, -1 to 1. One token permits one request.
    double slow_start_tokens = 1;
};

/// The learned state of one sidecar: its servers and the load on them.
struct LearnedState {
    /// The servers, without duplicates.
    std::vector<LearnedServerState> servers;
    /// Mean response time of warm servers, as a multiple of the latency objective.
    DecayedMean load_ratio;
    /// The maximum number of attempts in flight at warm servers, 0 to 100,000. At 0 it is unknown.
    double concurrency_limit = 0;
    /// The largest concurrency at which response times met the target, 0 to 100,000 attempts.
    double learned_limit = 0;
    /// The mean number of warm servers at the time learned_limit was measured, 0 to 100,000.
    double learned_limit_warm_servers = 0;
    /// Requests per millisecond that warm servers completed for this sidecar, 0 to 10,000.
    double completion_rate = 0;
    /// Retries that the retry budget still permitted, 0 to 10.
    double retries_left = 10;
};

}  // namespace elmbay::balancer
