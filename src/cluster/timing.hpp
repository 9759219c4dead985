/// @file
/// The periods and timeouts of the membership protocol.
#pragma once

#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// Periods and timeouts, each with its reason. All are milliseconds above 0. The platform's messages take
/// 1.5 to 14 ms one way, and its sidecars stand still for up to 270 ms.
struct Timing {
    /// Between two probes. It sets the cost: about two datagrams a member a second.
    Millis probe_period = 1000;
    /// Until a ping is repeated: over twice the longest round trip.
    Millis ping_retry = 80;
    /// Until others are asked to probe: a datagram lost twice is rarer than a slow member.
    Millis direct_timeout = 200;
    /// Of a suspicion that enough others share: a frozen member needs 270 ms and a ping to refute it.
    Millis min_suspicion = 2000;
    /// Of a suspicion that only one member has.
    Millis max_suspicion = 5000;
    /// Of the final probe, after which a suspect has failed.
    Millis final_probe = 600;
    /// Between two datagrams that carry gossip alone, while there is any.
    Millis gossip_interval = 200;
    /// A member that has received nothing for so long after its start is isolated.
    Millis discovery = 5000;
    /// A member that has received something, and then nothing for so long, is isolated.
    Millis isolated_after = 4000;
    /// Woken later than this after the due time, this process is taken to have stalled.
    Millis stall_threshold = 150;
    /// Between probes while many fail; FailureBurst bounds how often.
    Millis burst_period = 200;
    /// Between two requests for a whole table, while digests differ.
    Millis sync_interval = 5000;
    /// The same for a member that has just started; spread at random, as many may have started with it.
    Millis first_sync = 500;
    /// Between two pages of a table.
    Millis page_interval = 50;
    /// Until a page that was asked for is given up.
    Millis page_timeout = 400;
};

}  // namespace elmbay::cluster
