// What a Balancer has learned, as a value: taken from one life of a sidecar (Balancer::learned_state) and
// given to the next (event StateRestored). Servers are named by the caller's integers, as everywhere.
//
// Times are spans before the moment at which it was taken, so the value needs no clock. A field that is not
// finite or out of the range stated here is as if it had not been there; nothing a file holds can make the
// module break a rule, shun a healthy server or throw.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace elmbay::balancer {

// A mean that fades: value, the weight of the samples behind it and how long ago the last one came.
struct DecayedMean {
    double value = 0;   // 0 to 100; what it means, the owner says
    double weight = 0;  // samples, 0 to 10; 0: nothing is known
    double since = 0;   // ms, 0 to a day
};

struct LearnedServerState {
    std::uint32_t server = 0;
    double online_since = 0;       // of the process that this was learned of, as in ServerInfo
    std::uint32_t outcomes = 0;    // the last ones, a bit each, 1: success; the newest is the lowest bit
    std::uint32_t seen = 0;        // how many of those bits mean something, 0 to 20
    std::optional<double> out_ms;  // removed from the pool; how long it was to stay out, 0 to 10 s
    double tokens = 1;             // sends that it might have taken if it was cold, -1 to 1
};

struct LearnedState {
    std::vector<LearnedServerState> servers;  // each once
    DecayedMean crowd;                        // warm servers' answers' time over their objective
    double room = 0;                          // attempts that might be out, 0 to 100,000; 0: not known
    double learned = 0;                       // the most that could be out, the same range
    double taught_by = 0;                     // warm servers that taught it, 0 to 100,000
    double carried = 0;                       // requests a ms that warm servers completed, 0 to 10,000
    double retries_left = 10;                 // 0 to 10
};

}  // namespace elmbay::balancer
